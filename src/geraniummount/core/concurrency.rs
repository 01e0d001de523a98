//! How many parts a leaf gets at once: at most its declared slots, fewer when
//! it sheds, answers slowly or has just started.
//!
//! The limit falls by a factor and rises by a small step an answer, so that
//! it settles just below what the leaf bears.

use std::time::Duration;

/// Factor on the limit when the leaf sheds.
const SHED_LIMIT_FACTOR: f64 = 0.7;

/// Rise of the limit with each good answer.
const LIMIT_INCREASE_PER_ANSWER: f64 = 0.1;

/// Fall of the limit with each answer while the leaf is slow.
const LIMIT_DECREASE_PER_SLOW_ANSWER: f64 = 0.02;

/// The leaf is slow while its recent median exceeds its best by this factor.
const SLOW_MEDIAN_FACTOR: u32 = 3;

/// Growth of the best median with each answer, so that an old best fades.
const BEST_MEDIAN_GROWTH: f64 = 1.001;

/// Adaptive limit on the parts that run at once at one leaf.
#[derive(Clone, Debug)]
pub struct Concurrency {
    declared_slots: u16,
    limit: f64,
    best_median: Option<Duration>,
}

impl Concurrency {
    /// Starts at the declared slots.
    pub fn new(declared_slots: u16) -> Concurrency {
        Concurrency {
            declared_slots,
            limit: f64::from(declared_slots),
            best_median: None,
        }
    }

    /// Returns the parts that may run at once now; at least one.
    pub fn limit(&self) -> u16 {
        (self.limit as u16).clamp(1, self.declared_slots.max(1))
    }

    /// Takes over a changed declaration.
    pub fn set_declared_slots(&mut self, declared_slots: u16) {
        if declared_slots == self.declared_slots {
            return;
        }
        self.declared_slots = declared_slots;
        self.limit = f64::from(declared_slots);
    }

    /// Notes a good answer, with the recent median of the leaf.
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

    /// Notes that the leaf shed a part.
    pub fn on_shed(&mut self) {
        self.set_limit(self.limit * SHED_LIMIT_FACTOR);
    }

    /// Notes that the leaf has just started or just answered again.
    pub fn on_cold(&mut self) {
        self.set_limit(1.0);
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, f64::from(self.declared_slots.max(1)));
    }
}
