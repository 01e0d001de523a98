//! Adaptive limit on the parts that run at one leaf at the same time.
//!
//! A part is the share of a request that goes to one shard. The limit is at most the leaf's
//! declared slots, the number of requests that it runs concurrently. The limit falls by a factor
//! when the leaf sheds a part (rejects it before running it), by a small step with each answer
//! while the leaf is slow, and to one part when the leaf starts or fails. It rises by a small step
//! with each other answer. The limit therefore settles just below the load that the leaf can
//! sustain.

use std::time::Duration;

/// Factor applied to the limit when the leaf sheds a part.
const SHED_LIMIT_FACTOR: f64 = 0.7;

/// Slots added to the limit by each answer while the leaf is not slow.
const LIMIT_INCREASE_PER_ANSWER: f64 = 0.1;

/// Slots subtracted from the limit by each answer while the leaf is slow.
const LIMIT_DECREASE_PER_SLOW_ANSWER: f64 = 0.02;

/// The leaf is slow while its recent median service time exceeds its best one by this factor.
const SLOW_MEDIAN_FACTOR: u32 = 3;

/// Factor by which the best median grows with each answer, which makes an old best expire.
const BEST_MEDIAN_GROWTH: f64 = 1.001;

/// Adaptive limit on the parts that run at one leaf at the same time.
#[derive(Clone, Debug)]
pub struct Concurrency {
    declared_slots: u16,
    /// Current limit, in parts; its fraction accumulates the small steps.
    limit: f64,
    /// Lowest median service time so far, grown by [`BEST_MEDIAN_GROWTH`] with each answer.
    best_median: Option<Duration>,
}

impl Concurrency {
    /// Creates a limit that starts at the declared slots.
    pub fn new(declared_slots: u16) -> Concurrency {
        Concurrency {
            declared_slots,
            limit: f64::from(declared_slots),
            best_median: None,
        }
    }

    /// Returns how many parts may run at the same time now; at least one.
    pub fn limit(&self) -> u16 {
        (self.limit as u16).clamp(1, self.declared_slots.max(1))
    }

    /// Applies a changed number of declared slots and resets the limit to it.
    pub fn set_declared_slots(&mut self, declared_slots: u16) {
        if declared_slots == self.declared_slots {
            return;
        }
        self.declared_slots = declared_slots;
        self.limit = f64::from(declared_slots);
    }

    /// Records a successful answer together with the leaf's recent median service time.
    pub fn on_answer(&mut self, median: Duration) {
        let best = self
            .best_median
            .map_or(median, |best| best.mul_f64(BEST_MEDIAN_GROWTH).min(median));
        self.best_median = Some(best);
        let change = if median > best * SLOW_MEDIAN_FACTOR {
            -LIMIT_DECREASE_PER_SLOW_ANSWER
        } else {
            LIMIT_INCREASE_PER_ANSWER
        };
        self.set_limit(self.limit + change);
    }

    /// Records that the leaf shed a part.
    pub fn on_shed(&mut self) {
        self.set_limit(self.limit * SHED_LIMIT_FACTOR);
    }

    /// Lowers the limit to one part. The leaf has just started, or it has failed and gets one part
    /// at a time when it answers again.
    pub fn reset_to_one(&mut self) {
        self.set_limit(1.0);
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, f64::from(self.declared_slots.max(1)));
    }
}
