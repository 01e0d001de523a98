//! The gateway's metrics in Prometheus format. An attempt is one try to run a part of a caller's
//! request at one leaf.

mod attempts;
mod gauges;
mod key_counters;
mod memory;
mod quotas;

use std::time::Duration;

use log::warn;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
};

use self::attempts::Attempts;
use self::gauges::Gauges;
use self::key_counters::KeyCounters;
use self::memory::MemoryMetrics;
use self::quotas::Quotas;
use crate::core::fair_share::Cause;
use crate::util::logger;

/// Upper bounds of the histogram buckets of response times.
const LATENCY_BUCKETS_SECONDS: &[f64] = &[
    0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.16, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0,
];

/// Greatest priority that has a label of its own, which bounds the number of labels.
const MAX_LABELLED_PRIORITY: u32 = 9;

/// Metrics of one gateway.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    /// Requests by outcome, including those that were rejected.
    answers: IntCounterVec,
    answer_seconds: Histogram,
    attempts: Attempts,
    /// Requests that were passed to other VMs, by outcome.
    delegations: IntCounterVec,
    keys: KeyCounters,
    /// Requests of other VMs, by whether they were served or why not.
    peer_requests: IntCounterVec,
    /// Requests that were shed in deployments with tenants, by priority and cause.
    shed: IntCounterVec,
    pub(super) memory: MemoryMetrics,
    pub(super) caller_connections: IntCounter,
    pub(super) leaf_connections: IntCounter,
    pub(super) gauges: Gauges,
    pub(super) quotas: Quotas,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let answers = counter_by_outcome(
            &registry,
            "gateway_answers_total",
            "Requests by what the caller got.",
        );
        let delegations = counter_by_outcome(
            &registry,
            "gateway_delegations_total",
            "Requests passed to other VMs by how that ended.",
        );
        let peer_requests = counter_by_outcome(
            &registry,
            "gateway_peer_requests_total",
            "Requests of other VMs by whether they were served.",
        );
        let shed = counter_by(
            &registry,
            "gateway_shed_total",
            "Requests shed by priority and tenant.",
            &["priority", "cause"],
        );
        let answer_seconds = answer_histogram(&registry);
        Metrics {
            caller_connections: counter(
                &registry,
                "gateway_caller_connections_total",
                "Connections from callers.",
            ),
            leaf_connections: counter(
                &registry,
                "gateway_leaf_connections_total",
                "Connections to leaves.",
            ),
            attempts: Attempts::new(&registry),
            memory: MemoryMetrics::new(&registry),
            gauges: Gauges::new(&registry),
            keys: KeyCounters::new(&registry),
            quotas: Quotas::new(&registry),
            registry,
            answers,
            answer_seconds,
            delegations,
            peer_requests,
            shed,
        }
    }
}

impl Metrics {
    pub(super) fn count_answer(&self, outcome: &str) {
        self.answers.with_label_values(&[outcome]).inc();
    }

    pub(super) fn observe_answer_time(&self, took: Duration) {
        self.answer_seconds.observe(took.as_secs_f64());
    }

    pub(super) fn count_attempt(&self, outcome: &str) {
        self.attempts.ended.with_label_values(&[outcome]).inc();
    }

    pub(super) fn observe_forecast(&self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-4);
        self.attempts.forecast_ratio.observe(ratio);
    }

    pub(super) fn count_limited_attempt(&self, is_extra: bool) {
        let kind = if is_extra { "extra" } else { "first" };
        self.attempts.limited.with_label_values(&[kind]).inc();
    }

    pub(super) fn count_held_back(&self, reason: &str) {
        self.attempts.held_back.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_delegation(&self, outcome: &str) {
        self.delegations.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_key_confirmation(&self, source: &str) {
        self.keys.confirmations.with_label_values(&[source]).inc();
    }

    pub(super) fn count_unconfirmed_request(&self, outcome: &str) {
        let counters = &self.keys.unconfirmed_requests;
        counters.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_peer_request(&self, outcome: &str) {
        self.peer_requests.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_shed(&self, priority: u32, cause: Cause) {
        let priority = match priority {
            0..=MAX_LABELLED_PRIORITY => priority.to_string(),
            _ => format!("over-{MAX_LABELLED_PRIORITY}"),
        };
        let labels = [priority.as_str(), cause.as_str()];
        self.shed.with_label_values(&labels).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn encode(&self) -> Vec<u8> {
        let suppressed = i64::try_from(logger::suppressed_lines()).unwrap_or(i64::MAX);
        self.gauges.suppressed_log_lines.set(suppressed);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            warn!("metrics outcome=not-written error=\"{error}\"");
        }
        text
    }
}

/// Creates and registers the histogram of response times.
fn answer_histogram(registry: &Registry) -> Histogram {
    let options = HistogramOpts::new("gateway_answer_seconds", "Time of requests.");
    let histogram = Histogram::with_opts(options.buckets(LATENCY_BUCKETS_SECONDS.to_vec()));
    let histogram = histogram.expect("histogram options should be valid constants");
    register(registry, Box::new(histogram.clone()));
    histogram
}

fn register(registry: &Registry, collector: Box<dyn prometheus::core::Collector>) {
    registry
        .register(collector)
        .expect("each metric name should be registered once");
}

fn counter_by_outcome(registry: &Registry, name: &str, help: &str) -> IntCounterVec {
    counter_by(registry, name, help, &["outcome"])
}

fn counter_by(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels);
    let counters = counters.expect("metric names should be valid constants");
    register(registry, Box::new(counters.clone()));
    counters
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("metric names should be valid constants");
    register(registry, Box::new(counter.clone()));
    counter
}
