//! Metrics of the account of memory and connections.

use prometheus::{IntCounterVec, IntGaugeVec, Registry};

use super::counter_by;
use super::gauges::gauge_by;

/// Metrics of the account of memory and connections.
#[derive(Debug)]
pub(in crate::edge::gateway) struct MemoryMetrics {
    /// Requests refused as memory was short, by how far they were read.
    refusals: IntCounterVec,
    /// Connections closed as memory or descriptors were short.
    closings: IntCounterVec,
    /// Bytes held, by holder.
    held_bytes: IntGaugeVec,
}

impl MemoryMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn new(registry: &Registry) -> MemoryMetrics {
        let refusals = counter_by(
            registry,
            "gateway_memory_refused_total",
            "Requests refused as memory was short, by how far they were read.",
            &["state"],
        );
        let closings = counter_by(
            registry,
            "gateway_memory_closed_total",
            "Connections closed as memory or descriptors were short.",
            &["why"],
        );
        let held_bytes = gauge_by(
            registry,
            "gateway_memory_held_bytes",
            "Bytes held for callers, leaves and other VMs.",
            "holder",
        );
        MemoryMetrics {
            refusals,
            closings,
            held_bytes,
        }
    }

    pub(in crate::edge::gateway) fn count_refusal(&self, state: &str) {
        self.refusals.with_label_values(&[state]).inc();
    }

    pub(in crate::edge::gateway) fn count_closing(&self, why: &str) {
        self.closings.with_label_values(&[why]).inc();
    }

    pub(in crate::edge::gateway) fn set_held_bytes(&self, holder: &str, bytes: i64) {
        self.held_bytes.with_label_values(&[holder]).set(bytes);
    }
}
