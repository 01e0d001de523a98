//! Counters of the quotas of tenants.

use prometheus::{IntCounterVec, Registry};

use super::{counter_by, counter_by_outcome};

/// Counters of the quotas of tenants.
#[derive(Debug)]
pub(in crate::edge::gateway) struct Quotas {
    /// Requests of tenants with a quota, by what the quota decided.
    requests: IntCounterVec,
    /// Tokens used, by where they came from.
    tokens: IntCounterVec,
}

impl Quotas {
    /// Creates the counters and registers them.
    pub(super) fn new(registry: &Registry) -> Quotas {
        Quotas {
            requests: counter_by_outcome(
                registry,
                "gateway_quota_requests_total",
                "Requests of tenants with a quota by what the quota decided.",
            ),
            tokens: counter_by(
                registry,
                "gateway_quota_tokens_total",
                "Tokens of quotas that were used, by where they came from.",
                &["source"],
            ),
        }
    }

    pub(in crate::edge::gateway) fn count_request(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    pub(in crate::edge::gateway) fn count_token(&self, source: &str) {
        self.tokens.with_label_values(&[source]).inc();
    }
}
