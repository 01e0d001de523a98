//! The queries of one second, or of a whole run, summed up.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;

use super::sample::{Ending, Sample};
use crate::ops::exit::Exit;

/// Longest time that the histogram tells apart.
const LONGEST: Duration = Duration::from_secs(600);

/// Significant digits of the histogram.
const DIGITS: u8 = 3;

/// Queries that were due in one span of time.
#[derive(Clone, Debug)]
pub(super) struct Second {
    pub(super) sent: u64,
    pub(super) answered: u64,
    pub(super) whole: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    /// Sum of the answers' shares of shards.
    shares: f64,
    /// Times of the answers, in microseconds.
    times: Histogram<u64>,
}

impl Second {
    /// Begins with no queries.
    pub(super) fn new() -> Result<Second, Report<Exit>> {
        let longest = u64::try_from(LONGEST.as_micros()).unwrap_or(u64::MAX);
        let times = Histogram::new_with_max(longest, DIGITS).change_context(Exit::Other)?;
        Ok(Second {
            sent: 0,
            answered: 0,
            whole: 0,
            refused: 0,
            failed: 0,
            shares: 0.0,
            times,
        })
    }

    /// Adds a query.
    pub(super) fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        match sample.ending {
            Ending::Answered(share) => {
                self.answered += 1;
                self.whole += u64::from(share >= 1.0);
                self.shares += share;
                let micros = u64::try_from(sample.took.as_micros()).unwrap_or(u64::MAX);
                self.times.saturating_record(micros);
            }
            Ending::NotRun(_) => self.refused += 1,
            Ending::Failed(_) => self.failed += 1,
        }
    }

    /// Returns the mean share of shards in the answers; 0 without answers.
    pub(super) fn coverage(&self) -> f64 {
        if self.answered == 0 {
            return 0.0;
        }
        self.shares / self.answered as f64
    }

    /// Returns a quantile of the answers' times, in milliseconds.
    pub(super) fn millis(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the longest time of an answer, in milliseconds.
    pub(super) fn max_millis(&self) -> f64 {
        self.times.max() as f64 / 1e3
    }
}
