//! Time since the machine was started, including the time for which it was suspended.

use std::time::Duration;

/// Time since the machine was started, including the time for which it was suspended.
///
/// `std::time::Instant` does not count that time, so a permission that ends by it would outlive a
/// suspended VM.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates the time that is `since_start` after the start of the machine.
    pub fn new(since_start: Duration) -> BootTime {
        BootTime(since_start)
    }

    /// Returns the time that has passed since `earlier`; zero if that is later.
    pub fn saturating_duration_since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time that is `duration` later.
    pub fn saturating_add(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_add(duration))
    }

    /// Returns the time that is `duration` earlier; the start of the machine if that is before it.
    pub fn saturating_sub(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(duration))
    }
}
