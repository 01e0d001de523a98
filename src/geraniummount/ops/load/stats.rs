//! The queries of one second, or of a whole run, summed up.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;

use super::sample::{Outcome, Sample};
use crate::ops::exit::Exit;

/// Longest time that the histogram tells apart.
const MAX_LATENCY: Duration = Duration::from_secs(600);

/// Significant digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Queries that were due in one span of time.
#[derive(Clone, Debug)]
pub(super) struct Stats {
    pub(super) sent: u64,
    pub(super) answered: u64,
    pub(super) whole: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    /// Sum of the answers' shares of shards.
    covered_shares: f64,
    /// Times of the answers, in microseconds.
    latencies: Histogram<u64>,
}

impl Stats {
    /// Begins with no queries.
    pub(super) fn new() -> Result<Stats, Report<Exit>> {
        let max_micros = u64::try_from(MAX_LATENCY.as_micros()).unwrap_or(u64::MAX);
        let latencies =
            Histogram::new_with_max(max_micros, SIGNIFICANT_DIGITS).change_context(Exit::Other)?;
        Ok(Stats {
            sent: 0,
            answered: 0,
            whole: 0,
            refused: 0,
            failed: 0,
            covered_shares: 0.0,
            latencies,
        })
    }

    /// Adds a query.
    pub(super) fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        match sample.outcome {
            Outcome::Answered(share) => {
                self.answered += 1;
                self.whole += u64::from(share >= 1.0);
                self.covered_shares += share;
                let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
                self.latencies.saturating_record(micros);
            }
            Outcome::NotRun(_) => self.refused += 1,
            Outcome::Failed(_) => self.failed += 1,
        }
    }

    /// Returns the mean share of shards in the answers; 0 without answers.
    pub(super) fn mean_coverage(&self) -> f64 {
        if self.answered == 0 {
            return 0.0;
        }
        self.covered_shares / self.answered as f64
    }

    /// Returns a quantile of the answers' times, in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the longest time of an answer, in milliseconds.
    pub(super) fn max_ms(&self) -> f64 {
        self.latencies.max() as f64 / 1e3
    }
}
