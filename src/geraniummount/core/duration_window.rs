//! Quantiles of the most recent durations of one kind.

use std::collections::VecDeque;
use std::time::Duration;

/// Durations that are kept; older ones no longer count.
const MAX_DURATIONS: usize = 128;

/// Recent durations, kept in order of arrival and in order of length.
#[derive(Clone, Debug, Default)]
pub struct DurationWindow {
    by_arrival: VecDeque<Duration>,
    by_length: Vec<Duration>,
}

impl DurationWindow {
    /// Adds a duration and forgets the oldest beyond the window.
    pub fn record(&mut self, duration: Duration) {
        if self.by_arrival.len() == MAX_DURATIONS {
            self.evict_oldest();
        }
        let index = self.by_length.partition_point(|&kept| kept < duration);
        self.by_length.insert(index, duration);
        self.by_arrival.push_back(duration);
    }

    /// Returns the duration that a share of the recent ones does not exceed.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let last = self.by_length.len().checked_sub(1)?;
        let index = (share.clamp(0.0, 1.0) * last as f64).round() as usize;
        Some(self.by_length[index])
    }

    /// Returns the median.
    pub fn median(&self) -> Option<Duration> {
        self.quantile(0.5)
    }

    /// Returns the number of durations that count.
    pub fn len(&self) -> usize {
        self.by_length.len()
    }

    /// Returns whether nothing was recorded yet.
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
