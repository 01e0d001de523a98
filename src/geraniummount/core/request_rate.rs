//! Measures how many requests arrive, with exponentially decaying weight.

use std::time::{Duration, Instant};

/// Time in which the weight of earlier requests decays to about a third (a factor of e).
pub const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Minimum time over which a rate is measured; a shorter one would be mostly chance.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(2);

/// Recent requests.
#[derive(Clone, Debug)]
pub struct RequestRate {
    /// Number of recent requests, weighted by age, at `updated_at`.
    recent: f64,
    /// When a request was last recorded.
    updated_at: Instant,
    started_at: Instant,
}

impl RequestRate {
    /// Starts to measure.
    pub fn new(now: Instant) -> RequestRate {
        RequestRate {
            recent: 0.0,
            updated_at: now,
            started_at: now,
        }
    }

    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        self.recent = self.recent_at(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the number of recent requests, weighted by age, when the last one was recorded.
    pub fn recent(&self) -> f64 {
        self.recent
    }

    /// Returns the number of requests per second. The time before the start does not lower it.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.recent_at(now) / self.weight(now)
    }

    /// Returns the number of requests per second without the last request. When a request arrives,
    /// this is the mean rate, also if requests are rare; the request itself would raise it.
    pub fn per_second_before_last(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let before = (self.recent - 1.0).max(0.0) * decay(age);
        before / self.weight(now)
    }

    /// Returns the sum of the weights of one request per second.
    fn weight(&self, now: Instant) -> f64 {
        let measured = now.saturating_duration_since(self.started_at);
        let measured = measured.max(MIN_MEASURED_TIME);
        TIME_CONSTANT.as_secs_f64() * (1.0 - decay(measured))
    }

    fn recent_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.recent * decay(age)
    }
}

/// Returns the weight of a request of this age.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
