//! Statistics of the queries of one second or of a whole run.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;

use super::sample::{Outcome, Sample};
use crate::ops::exit::Exit;

/// Maximum latency of the histogram; longer ones are recorded as this.
const MAX_LATENCY: Duration = Duration::from_secs(600);

/// Significant decimal digits of a latency in the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Statistics of the queries that were due in one period.
#[derive(Clone, Debug)]
pub(super) struct Stats {
    pub(super) sent: u64,
    pub(super) answered: u64,
    /// Answers that include every shard.
    pub(super) whole: u64,
    /// Queries that did not run.
    pub(super) refused: u64,
    /// Queries that failed or were not answered; they may have run.
    pub(super) failed: u64,
    /// Sum of the shares of shards that the answers include.
    covered_shares: f64,
    /// Latencies of the answered queries, in microseconds.
    latencies: Histogram<u64>,
}

impl Stats {
    /// Creates statistics without queries.
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

    /// Adds the sample of a query.
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

    /// Returns the mean share of shards that the answers include; 0 without answers.
    pub(super) fn mean_coverage(&self) -> f64 {
        if self.answered == 0 {
            return 0.0;
        }
        self.covered_shares / self.answered as f64
    }

    /// Returns a quantile of the latency of answered queries, in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the maximum latency of an answered query, in milliseconds.
    pub(super) fn max_ms(&self) -> f64 {
        self.latencies.max() as f64 / 1e3
    }
}
