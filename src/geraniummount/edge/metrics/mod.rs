//! Prometheus metrics of the process.
//!
//! A [`Metrics`] is cheap to clone, and all clones share one registry. The rest of the process
//! calls one method for each event. The names and labels of the metrics are defined only in this
//! module.
//!
//! A query is any request of a caller to a service, and a part is the share of it that goes to one
//! shard. This VM owns a leaf if it holds the leaf's queue of parts. The platform consists of two
//! services that the users run: a key-value service and the membership list (the list of all
//! processes, VMs and leaves). A claim is the record in the key-value service that an idempotency
//! key was taken.

mod label;

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

pub use self::label::{AttemptKind, Call, CallResult, Claimant, QueryResult};

use crate::core::{claims, vm};
use crate::edge::leaf;
use crate::prelude::*;

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_SECONDS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.1, 0.13, 0.16, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Upper bounds of the histogram buckets for coverage, from 0 to 1.
const COVERAGE_BUCKETS: &[f64] = &[0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Metrics of one process. [`Metrics::new`] gives the help text of each.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    parts: IntCounterVec,
    queries: IntCounterVec,
    query_seconds: HistogramVec,
    coverage: HistogramVec,
    failures: IntCounterVec,
    dropped_replies: IntCounterVec,
    late_replies: IntCounter,
    leaf_queue: IntGaugeVec,
    leaf_busy: IntGaugeVec,
    leaf_slots: IntGaugeVec,
    leaf_connections: IntGaugeVec,
    platform_calls: IntCounterVec,
    claims: IntCounterVec,
    heartbeat_bytes_sent: IntCounter,
    heartbeat_bytes_received: IntCounter,
    revision: IntGauge,
    /// Number of known VMs, by state.
    members: IntGaugeVec,
}

/// Load of a leaf that this VM owns, as shown by the gauges.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Name of the leaf.
    pub leaf: LeafName,
    /// Number of queued parts.
    pub queued: u32,
    /// Number of parts in flight at the leaf.
    pub busy: u16,
    /// Current maximum number of parts in flight at the leaf.
    pub slots: u16,
    /// Number of open connections to the leaf.
    pub connections: u16,
}

impl From<&leaf::Dump> for Load {
    fn from(dump: &leaf::Dump) -> Load {
        Load {
            leaf: dump.leaf.clone(),
            queued: dump.queued,
            busy: dump.busy,
            slots: dump.slots,
            connections: dump.connections,
        }
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers all metrics with a new registry.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let r = &registry;
        Metrics {
            parts: counters(
                r,
                "parts_total",
                "Parts sent to leaves",
                &["service", "kind"],
            ),
            queries: counters(r, "queries_total", "Queries ended", &["service", "result"]),
            query_seconds: histograms(
                r,
                "query_seconds",
                "Time of a query",
                DURATION_BUCKETS_SECONDS,
            ),
            coverage: histograms(
                r,
                "coverage_ratio",
                "Share of shards in an answer",
                COVERAGE_BUCKETS,
            ),
            failures: counters(
                r,
                "failures_total",
                "Requests that failed",
                &["reason", "verdict"],
            ),
            dropped_replies: counters(r, "dropped_replies_total", "Replies not used", &["reason"]),
            late_replies: counter(r, "late_replies_total", "Replies after their query's end"),
            leaf_queue: gauges(r, "leaf_queue", "Parts that wait for a leaf", "leaf"),
            leaf_busy: gauges(r, "leaf_busy", "Parts that a leaf is running", "leaf"),
            leaf_slots: gauges(r, "leaf_slots", "Parts that a leaf may run at once", "leaf"),
            leaf_connections: gauges(r, "leaf_connections", "Connections to a leaf", "leaf"),
            platform_calls: counters(
                r,
                "platform_calls_total",
                "Calls to the platform ended",
                &["kind", "result"],
            ),
            claims: counters(
                r,
                "claims_total",
                "Claims of keys for own callers",
                &["by", "result"],
            ),
            heartbeat_bytes_sent: counter(r, "control_sent_bytes_total", "Heartbeat bytes sent"),
            heartbeat_bytes_received: counter(
                r,
                "control_received_bytes_total",
                "Heartbeat bytes read",
            ),
            revision: gauge(
                r,
                "config_revision",
                "Revision of the configuration in force",
            ),
            members: gauges(r, "members", "Known VMs", "state"),
            registry,
        }
    }

    /// Counts a part that was dispatched to a leaf.
    pub fn count_part(&self, service: &str, kind: AttemptKind) {
        let labels = [service, kind.as_str()];
        self.parts.with_label_values(&labels).inc();
    }

    /// Counts a query that ended, with or without an answer, and records its duration.
    pub fn observe_query(&self, service: &str, result: QueryResult, elapsed: Duration) {
        let labels = [service, result.as_str()];
        self.queries.with_label_values(&labels).inc();
        let seconds = self.query_seconds.with_label_values(&[service]);
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Records the coverage of an answer: the share of the query's shards whose results the answer
    /// includes, from 0 to 1.
    pub fn observe_coverage(&self, service: &str, ratio: f64) {
        self.coverage.with_label_values(&[service]).observe(ratio);
    }

    /// Counts a request that failed, by reason and verdict (whether it may have run).
    pub fn count_failure(&self, failure: &Failure) {
        let labels = [failure.reason.as_str(), failure.verdict.as_str()];
        self.failures.with_label_values(&labels).inc();
    }

    /// Counts a reply that was discarded, for example because it was mismatched or truncated.
    pub fn count_dropped_reply(&self, reason: Reason) {
        let labels = [reason.as_str()];
        self.dropped_replies.with_label_values(&labels).inc();
    }

    /// Counts a reply that arrived after its query had ended.
    pub fn count_late_reply(&self) {
        self.late_replies.inc();
    }

    /// Sets the gauges of the leaves in `loads` and removes the gauges of all other leaves. `loads`
    /// contains the leaves that this VM owns.
    pub fn set_leaves(&self, loads: impl IntoIterator<Item = Load>) {
        let gauges = [
            &self.leaf_queue,
            &self.leaf_busy,
            &self.leaf_slots,
            &self.leaf_connections,
        ];
        gauges.iter().for_each(|gauge| gauge.reset());
        for load in loads {
            let values = [
                i64::from(load.queued),
                i64::from(load.busy),
                i64::from(load.slots),
                i64::from(load.connections),
            ];
            for (gauge, value) in gauges.iter().zip(values) {
                gauge.with_label_values(&[&load.leaf]).set(value);
            }
        }
    }

    /// Counts a call to the platform that ended.
    pub fn count_platform_call(&self, call: Call, result: CallResult) {
        let labels = [call.as_str(), result.as_str()];
        self.platform_calls.with_label_values(&labels).inc();
    }

    /// Counts a claim of an idempotency key for a caller of this VM. `by` tells whether this VM or
    /// another one claimed the key.
    pub fn count_claim(&self, by: Claimant, answer: claims::Answer) {
        let labels = [by.as_str(), label::claim_result(answer)];
        self.claims.with_label_values(&labels).inc();
    }

    /// Counts bytes of heartbeats (the messages by which VMs tell each other their state) sent to
    /// other VMs.
    pub fn count_control_sent(&self, bytes: usize) {
        self.heartbeat_bytes_sent.inc_by(bytes as u64);
    }

    /// Counts bytes of heartbeats received from other VMs.
    pub fn count_control_received(&self, bytes: usize) {
        self.heartbeat_bytes_received.inc_by(bytes as u64);
    }

    /// Sets the revision of the configuration in force, which is the position of its last change in
    /// the log of all changes.
    pub fn set_revision(&self, revision: Revision) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Sets the number of known VMs in a state.
    pub fn set_members(&self, state: vm::State, count: usize) {
        let gauge = self.members.with_label_values(&[label::vm_state(state)]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        match TextEncoder::new().encode(&families, &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics can't be written: {error}\n"),
        }
    }
}

// Names and help texts are constants. Registration fails only if a name is invalid or used twice,
// and any test that creates a `Metrics` detects that.

fn full_name(name: &str) -> String {
    format!("geraniummount_{name}")
}

fn register<M: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    created: prometheus::Result<M>,
) -> M {
    let metric = created.expect("metric name and labels are valid");
    let boxed = Box::new(metric.clone());
    registry.register(boxed).expect("metric name is unique");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(full_name(name), help))
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(full_name(name), help);
    register(registry, IntCounterVec::new(opts, labels))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(full_name(name), help))
}

fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let opts = Opts::new(full_name(name), help);
    register(registry, IntGaugeVec::new(opts, &[label]))
}

fn histograms(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> HistogramVec {
    let opts = HistogramOpts::new(full_name(name), help).buckets(buckets.to_vec());
    register(registry, HistogramVec::new(opts, &["service"]))
}
