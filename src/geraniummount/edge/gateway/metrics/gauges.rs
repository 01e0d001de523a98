//! Gauges of one gateway: values that rise and fall.

use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

use super::register;

/// Gauges of one gateway.
#[derive(Debug)]
pub(in crate::edge::gateway) struct Gauges {
    pub(in crate::edge::gateway) routes_version: IntGauge,
    pub(in crate::edge::gateway) registered_leaves: IntGauge,
    /// 1 while the leaves change faster than a watch delivers the changes.
    pub(in crate::edge::gateway) is_behind: IntGauge,
    pub(in crate::edge::gateway) quarantined_requests: IntGauge,
    pub(in crate::edge::gateway) evacuated_domains: IntGauge,
    pub(in crate::edge::gateway) cold_leaves: IntGauge,
    /// 1 while this VM reaches no leaves.
    pub(in crate::edge::gateway) leaf_links_lost: IntGauge,
    /// Other VMs to which requests can be delegated.
    pub(in crate::edge::gateway) known_peers: IntGauge,
    pub(in crate::edge::gateway) key_confirmation_age_ms: IntGauge,
    /// Portions of the quotas that this VM has borrowed.
    pub(in crate::edge::gateway) quota_loans: IntGauge,
    /// Share of the quotas that this VM may use, in millionths.
    pub(in crate::edge::gateway) quota_portion: IntGauge,
    pub(super) suppressed_log_lines: IntGauge,
}

impl Gauges {
    /// Creates the gauges and registers them.
    pub(super) fn new(registry: &Registry) -> Gauges {
        let gauge = |name, help| gauge(registry, name, help);
        Gauges {
            routes_version: gauge("gateway_routes_version", "Version of the routes in force."),
            registered_leaves: gauge("gateway_leaves", "Leaves that are registered."),
            is_behind: gauge(
                "gateway_store_behind",
                "1 while the leaves change faster than a watch delivers the changes.",
            ),
            quarantined_requests: gauge(
                "gateway_quarantined_requests",
                "Requests that are withheld because they crash leaves.",
            ),
            evacuated_domains: gauge(
                "gateway_evacuated_domains",
                "Failure domains whose leaves get no requests.",
            ),
            cold_leaves: gauge(
                "gateway_cold_leaves",
                "Leaves whose requests are limited because they are cold.",
            ),
            leaf_links_lost: gauge(
                "gateway_leaf_links_lost",
                "1 while this VM reaches no leaves.",
            ),
            known_peers: gauge(
                "gateway_known_peers",
                "Other VMs to which requests can be delegated.",
            ),
            key_confirmation_age_ms: gauge(
                "gateway_key_confirmation_age_ms",
                "Time since the newest confirmation of the keys began, in milliseconds.",
            ),
            quota_loans: gauge(
                "gateway_quota_loans",
                "Portions of the quotas that this VM has borrowed.",
            ),
            quota_portion: gauge(
                "gateway_quota_portion_millionths",
                "Share of the quotas that this VM may use, in millionths.",
            ),
            suppressed_log_lines: gauge(
                "gateway_log_lines_suppressed",
                "Lines that the log did not take.",
            ),
        }
    }
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("metric names should be valid constants");
    register(registry, Box::new(gauge.clone()));
    gauge
}

/// Creates a gauge for each value of a label.
pub(super) fn gauge_by(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]);
    let gauges = gauges.expect("metric names should be valid constants");
    register(registry, Box::new(gauges.clone()));
    gauges
}
