//! Counters of the attempts at leaves.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, Registry};

use super::{counter_by, counter_by_outcome, register};

/// Counters of the attempts at leaves.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Attempts by how they ended.
    pub(super) ended: IntCounterVec,
    /// Attempts at leaves that name a limit, by kind of attempt.
    pub(super) limited: IntCounterVec,
    /// Attempts that were not sent although their leaf had been chosen, by reason.
    pub(super) held_back: IntCounterVec,
    /// Time that answered attempts took relative to their forecasts.
    pub(super) forecast_ratio: Histogram,
}

/// Upper bounds of the histogram buckets of the ratio of time taken to forecast.
const RATIO_BUCKETS: &[f64] = &[0.125, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0, 8.0];

fn ratio_histogram(registry: &Registry) -> Histogram {
    let options = HistogramOpts::new(
        "gateway_forecast_ratio",
        "Time that answered attempts took relative to their forecast, if placed by cost.",
    );
    let histogram = Histogram::with_opts(options.buckets(RATIO_BUCKETS.to_vec()));
    let histogram = histogram.expect("histogram options should be valid constants");
    register(registry, Box::new(histogram.clone()));
    histogram
}

impl Attempts {
    /// Creates the counters and registers them.
    pub(super) fn new(registry: &Registry) -> Attempts {
        Attempts {
            ended: counter_by_outcome(
                registry,
                "gateway_attempts_total",
                "Attempts at leaves by how they ended.",
            ),
            limited: counter_by(
                registry,
                "gateway_limited_attempts_total",
                "Attempts at leaves that limit the requests of all VMs together.",
                &["kind"],
            ),
            held_back: counter_by(
                registry,
                "gateway_held_back_attempts_total",
                "Attempts not sent because their leaf is evacuated or became cold.",
                &["reason"],
            ),
            forecast_ratio: ratio_histogram(registry),
        }
    }
}
