//! How many queries are turned away while the leaves can't keep up.
//!
//! Load pattern: leaves of some shards are lost or slow, and what is left of
//! them gets more than it can do. Their parts wait in long queues, too many
//! shards are missing when the answer is due, and nearly no query is served
//! though most could be. No VM sees the queues. It sees how many parts are
//! overdue in its own answers, against the number that an answer may lack, and
//! turns away a share of its queries until these are few. All VMs see the same
//! and so come to like shares. Each answer counts at once: queues grow within
//! fractions of a second, and a share that follows them late swings.
//!
//! What is turned away has not run and may come back at once elsewhere.

use std::time::{Duration, Instant};

use crate::core::points::Points;

/// Overdue parts, as a share of those that an answer may lack, at which the
/// share that is turned away stays as it is.
const TARGET: f64 = 0.4;

/// Change of the share with each answer, for each unit off the target.
const GAIN: f64 = 0.02;

/// Overdue parts beyond this, as a share of those that an answer may lack,
/// count no more.
const MOST_OVERDUE: f64 = 3.0;

/// Largest share that is turned away; the rest shows when it is over.
const MOST: f64 = 0.7;

/// Time in which the share halves by itself.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Share below which nothing is turned away.
const FEWEST: f64 = 0.05;

/// Extra share of less urgent queries.
const LESS_URGENT: f64 = 1.3;

/// Share of the queries over one set of shards that is turned away.
#[derive(Clone, Debug)]
pub struct Overload {
    share: f64,
    updated: Instant,
    points: Points,
}

impl Overload {
    /// Starts with nothing turned away.
    pub fn new(now: Instant) -> Overload {
        Overload {
            share: 0.0,
            updated: now,
            points: Points::after(0.5),
        }
    }

    /// Notes an answer: how many parts were overdue, and how many it may lack.
    pub fn on_answer(&mut self, overdue: usize, may_lack: usize, now: Instant) {
        self.decay(now);
        let latest = overdue as f64 / may_lack.max(1) as f64;
        let change = (latest.min(MOST_OVERDUE) - TARGET) * GAIN;
        self.share = (self.share + change).clamp(0.0, MOST);
    }

    /// Returns whether the next query is admitted.
    pub fn admits(&mut self, is_urgent: bool, now: Instant) -> bool {
        self.decay(now);
        if !self.is_active() {
            return true;
        }
        let share = if is_urgent {
            self.share
        } else {
            self.share * LESS_URGENT
        };
        self.points.next_point() >= share
    }

    /// Returns whether queries are turned away.
    pub fn is_active(&self) -> bool {
        self.share >= FEWEST
    }

    /// Returns the share that is turned away now, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated);
        self.updated = now;
        self.share *= 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
    }
}
