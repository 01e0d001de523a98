//! Count of events whose weight decays with age.

use std::time::{Duration, Instant};

/// Minimum time over which a rate is measured; a shorter one would be mostly chance.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(1);

/// Count of events whose weight decays with age.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decayed {
    count: f64,
    updated_at: Instant,
    time_constant: Duration,
}

impl Decayed {
    pub(super) fn new(time_constant: Duration, now: Instant) -> Decayed {
        Decayed {
            count: 0.0,
            updated_at: now,
            time_constant,
        }
    }

    pub(super) fn add(&mut self, weight: f64, now: Instant) {
        self.count = self.at(now) + weight;
        self.updated_at = now;
    }

    pub(super) fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.count * decay(self.time_constant, age)
    }
}

/// Returns the count of one event per second after events were counted for `age`.
pub(super) fn weight_of_one_per_second(time_constant: Duration, age: Duration) -> f64 {
    let age = age.max(MIN_MEASURED_TIME);
    time_constant.as_secs_f64() * (1.0 - decay(time_constant, age))
}

fn decay(time_constant: Duration, age: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
