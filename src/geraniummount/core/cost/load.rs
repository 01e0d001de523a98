//! What a leaf says about its own load.

use std::time::{Duration, Instant};

/// Time in which the weight of a report halves. The load changes many times a second, and a report
/// is as old as the way back from the leaf when it arrives.
const HALF_LIFE: Duration = Duration::from_millis(100);

/// Limits of the factor by which work takes longer, which bound the effect of an absurd value.
const PACE_FACTORS: (f64, f64) = (0.2, 5.0);

/// What a leaf says about its own load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of requests that can run at the same time; positive.
    pub slots: u32,
    /// How long work takes, in percent of the usual time.
    pub pace_percent: u32,
}

/// A load with what this VM knew when it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    load: Load,
    /// Number of requests of this VM that were in flight at the leaf, and that the load includes.
    own: usize,
    received_at: Instant,
}

impl Report {
    /// Creates a report that arrives now.
    pub fn new(load: Load, own: usize, now: Instant) -> Report {
        Report {
            load,
            own,
            received_at: now,
        }
    }

    /// Returns how long ago the report arrived.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received_at)
    }

    /// Returns the number of slots of the leaf.
    pub fn slots(&self) -> u32 {
        self.load.slots
    }

    /// Returns the expected number of requests of others at the leaf now.
    pub fn others(&self, now: Instant) -> f64 {
        let all = f64::from(self.load.running) + f64::from(self.load.waiting);
        (all - self.own as f64).max(0.0) * self.weight(now)
    }

    /// Returns the factor by which work takes longer now than usual.
    pub fn pace(&self, now: Instant) -> f64 {
        let factor = f64::from(self.load.pace_percent) / 100.0;
        let factor = factor.clamp(PACE_FACTORS.0, PACE_FACTORS.1);
        1.0 + (factor - 1.0) * self.weight(now)
    }

    fn weight(&self, now: Instant) -> f64 {
        0.5_f64.powf(self.age(now).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
