//! Quantiles of the most recent durations of one kind.

use std::collections::VecDeque;
use std::time::Duration;

/// Durations that are kept; older ones no longer count.
const KEPT: usize = 128;

/// Recent durations, kept in order of arrival and in order of length.
#[derive(Clone, Debug, Default)]
pub struct Quantile {
    arrived: VecDeque<Duration>,
    sorted: Vec<Duration>,
}

impl Quantile {
    /// Adds a duration and forgets the oldest beyond the window.
    pub fn record(&mut self, duration: Duration) {
        if self.arrived.len() == KEPT {
            self.forget_oldest();
        }
        let place = self.sorted.partition_point(|&kept| kept < duration);
        self.sorted.insert(place, duration);
        self.arrived.push_back(duration);
    }

    /// Returns the duration that a share of the recent ones does not exceed.
    pub fn at(&self, share: f64) -> Option<Duration> {
        let last = self.sorted.len().checked_sub(1)?;
        let place = (share.clamp(0.0, 1.0) * last as f64).round() as usize;
        Some(self.sorted[place])
    }

    /// Returns the median.
    pub fn median(&self) -> Option<Duration> {
        self.at(0.5)
    }

    /// Returns the number of durations that count.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Returns whether nothing was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.arrived.pop_front() else {
            return;
        };
        if let Ok(place) = self.sorted.binary_search(&oldest) {
            self.sorted.remove(place);
        }
    }
}
