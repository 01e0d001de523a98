//! Sliding window of the most recent durations, from which quantiles are computed.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of durations in the window; older ones are evicted.
const MAX_DURATIONS: usize = 128;

/// The most recent durations, kept both in order of arrival and sorted by length.
#[derive(Clone, Debug, Default)]
pub struct DurationWindow {
    by_arrival: VecDeque<Duration>,
    by_length: Vec<Duration>,
}

impl DurationWindow {
    /// Adds a duration and evicts the oldest one if the window is full.
    pub fn record(&mut self, duration: Duration) {
        if self.by_arrival.len() == MAX_DURATIONS {
            self.evict_oldest();
        }
        let index = self.by_length.partition_point(|&kept| kept < duration);
        self.by_length.insert(index, duration);
        self.by_arrival.push_back(duration);
    }

    /// Returns the quantile for `share` (0.0 to 1.0): the duration that this share of the window
    /// does not exceed. Returns `None` if the window is empty.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let last = self.by_length.len().checked_sub(1)?;
        let index = (share.clamp(0.0, 1.0) * last as f64).round() as usize;
        Some(self.by_length[index])
    }

    /// Returns the median, or `None` if the window is empty.
    pub fn median(&self) -> Option<Duration> {
        self.quantile(0.5)
    }

    /// Returns the number of durations in the window.
    pub fn len(&self) -> usize {
        self.by_length.len()
    }

    /// Returns whether the window is empty.
    pub fn is_empty(&self) -> bool {
        self.by_length.is_empty()
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.by_arrival.pop_front() else {
            return;
        };
        if let Ok(index) = self.by_length.binary_search(&oldest) {
            self.by_length.remove(index);
        }
    }
}
