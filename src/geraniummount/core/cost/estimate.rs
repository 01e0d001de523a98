//! Decayed mean of the work of requests with the same key.

use std::time::{Duration, Instant};

/// Number of requests whose mean the estimate is at most.
const MAX_WEIGHT: f64 = 64.0;

/// Time in which the weight of what was learned halves without new requests.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// A request counts as at most this many means. Otherwise a single pause of a leaf would be taken
/// for the work of a request; with two kinds of requests under one key, the mean still follows the
/// expensive one if it is at least a quarter of them.
const MAX_MEANS: f64 = 4.0;

/// Number of requests before the cap applies, as the first may be the cheap ones.
const MIN_CAPPED_WEIGHT: f64 = 4.0;

/// Decayed mean of the work of requests.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    mean_seconds: f64,
    /// Number of requests that the mean stands for at `updated_at`.
    weight: f64,
    updated_at: Instant,
}

impl Estimate {
    /// Creates an estimate without requests.
    pub fn new(now: Instant) -> Estimate {
        Estimate {
            mean_seconds: 0.0,
            weight: 0.0,
            updated_at: now,
        }
    }

    /// Records the work of a request.
    pub fn record(&mut self, work: Duration, now: Instant) {
        let weight = self.weight(now);
        let mut seconds = work.as_secs_f64();
        if weight >= MIN_CAPPED_WEIGHT {
            seconds = seconds.min(self.mean_seconds * MAX_MEANS);
        }
        self.weight = (weight + 1.0).min(MAX_WEIGHT);
        self.mean_seconds += (seconds - self.mean_seconds) / self.weight;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the mean work.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds.max(0.0))
    }

    /// Returns the number of requests that the mean stands for.
    pub fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.weight * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns when a request was last recorded.
    pub(super) fn updated_at(&self) -> Instant {
        self.updated_at
    }
}
