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

use crate::core::low_discrepancy::Sequence;

/// Overdue parts, as a share of those that an answer may lack, at which the
/// share that is turned away stays as it is.
const TARGET_OVERDUE_RATIO: f64 = 0.4;

/// Change of the share with each answer, for each unit off the target.
const SHED_SHARE_GAIN: f64 = 0.02;

/// Overdue parts beyond this, as a share of those that an answer may lack,
/// count no more.
const MAX_OVERDUE_RATIO: f64 = 3.0;

/// Largest share that is turned away; the rest shows when it is over.
const MAX_SHED_SHARE: f64 = 0.7;

/// Time in which the share halves by itself.
const SHED_SHARE_HALF_LIFE: Duration = Duration::from_secs(6);

/// Share below which nothing is turned away.
const MIN_SHED_SHARE: f64 = 0.05;

/// Extra share of less urgent queries.
const NON_URGENT_FACTOR: f64 = 1.3;

/// Share of the queries over one set of shards that is turned away.
#[derive(Clone, Debug)]
pub struct LoadShedder {
    shed_share: f64,
    updated_at: Instant,
    sequence: Sequence,
}

impl LoadShedder {
    /// Starts with nothing turned away.
    pub fn new(now: Instant) -> LoadShedder {
        LoadShedder {
            shed_share: 0.0,
            updated_at: now,
            sequence: Sequence::starting_after(0.5),
        }
    }

    /// Notes an answer: how many parts were overdue, and how many it may lack.
    pub fn on_answer(&mut self, overdue: usize, max_missing: usize, now: Instant) {
        self.decay(now);
        let overdue_ratio = overdue as f64 / max_missing.max(1) as f64;
        let change =
            (overdue_ratio.min(MAX_OVERDUE_RATIO) - TARGET_OVERDUE_RATIO) * SHED_SHARE_GAIN;
        self.shed_share = (self.shed_share + change).clamp(0.0, MAX_SHED_SHARE);
    }

    /// Returns whether the next query is admitted.
    pub fn admits(&mut self, is_urgent: bool, now: Instant) -> bool {
        self.decay(now);
        if !self.is_shedding() {
            return true;
        }
        let share = if is_urgent {
            self.shed_share
        } else {
            self.shed_share * NON_URGENT_FACTOR
        };
        self.sequence.next_point() >= share
    }

    /// Returns whether queries are turned away.
    pub fn is_shedding(&self) -> bool {
        self.shed_share >= MIN_SHED_SHARE
    }

    /// Returns the share that is turned away now, from 0 to 1.
    pub fn shed_share(&self) -> f64 {
        self.shed_share
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.shed_share *= 0.5_f64.powf(age.as_secs_f64() / SHED_SHARE_HALF_LIFE.as_secs_f64());
    }
}
