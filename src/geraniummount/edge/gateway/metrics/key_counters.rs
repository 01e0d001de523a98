//! Counters of the confirmation of keys.

use prometheus::{IntCounterVec, Registry};

use super::{counter_by, counter_by_outcome};

/// Counters of the confirmation of keys.
#[derive(Debug)]
pub(super) struct KeyCounters {
    /// Confirmations, by where they come from.
    pub(super) confirmations: IntCounterVec,
    /// Requests whose key could not be confirmed, by what was done with them.
    pub(super) unconfirmed_requests: IntCounterVec,
}

impl KeyCounters {
    /// Creates the counters and registers them.
    pub(super) fn new(registry: &Registry) -> KeyCounters {
        KeyCounters {
            confirmations: counter_by(
                registry,
                "gateway_key_confirmations_total",
                "Confirmations that keys may still be used, by where they come from.",
                &["source"],
            ),
            unconfirmed_requests: counter_by_outcome(
                registry,
                "gateway_unconfirmed_requests_total",
                "Requests whose key could not be confirmed, by what was done with them.",
            ),
        }
    }
}
