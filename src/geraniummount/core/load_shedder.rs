//! Sheds a share of the queries while the leaves are overloaded.
//!
//! Load pattern: leaves of some shards are lost or slow, and the remaining ones get more load than
//! they can handle. Their parts wait in long queues, too many shards are missing when the answer is
//! due, and almost no query is served although most could be. No VM sees the queues. Each VM sees
//! how many parts of its own answers are overdue, relative to the number that an answer may lack,
//! and sheds a share of its queries until few parts are overdue. All VMs observe the same condition
//! and converge to similar shares. Each answer updates the share at once: queues grow within
//! fractions of a second, and a share that follows them with a delay oscillates.
//!
//! A shed query has not run, and its caller may retry it at once on another VM.
//!
//! A part is the share of a query that goes to one shard. A part is overdue if the leaves had no
//! capacity for it or did not answer it in time.

use std::time::{Duration, Instant};

use crate::core::low_discrepancy::Sequence;

/// Ratio of overdue parts to those that an answer may lack at which the shed share stays constant.
const TARGET_OVERDUE_RATIO: f64 = 0.4;

/// Change of the shed share per answer and unit of deviation from the target ratio.
const SHED_SHARE_GAIN: f64 = 0.02;

/// Maximum ratio of overdue parts to those that an answer may lack; a higher one counts as this
/// one.
const MAX_OVERDUE_RATIO: f64 = 3.0;

/// Maximum shed share. The queries that are still admitted show when the overload is over.
const MAX_SHED_SHARE: f64 = 0.7;

/// Time in which the shed share halves without new answers.
const SHED_SHARE_HALF_LIFE: Duration = Duration::from_secs(6);

/// Minimum shed share; no query is shed while the shed share is below this one.
const MIN_SHED_SHARE: f64 = 0.05;

/// Factor on the shed share for non-urgent queries.
const NON_URGENT_FACTOR: f64 = 1.3;

/// Load shedder for the queries over one set of shards.
#[derive(Clone, Debug)]
pub struct LoadShedder {
    /// Share of the urgent queries to shed, from 0 to 1.
    shed_share: f64,
    /// When the shed share last decayed.
    updated_at: Instant,
    /// Evenly spread points; a query is shed if its point is below its share.
    sequence: Sequence,
}

impl LoadShedder {
    /// Creates a load shedder that sheds no query.
    pub fn new(now: Instant) -> LoadShedder {
        LoadShedder {
            shed_share: 0.0,
            updated_at: now,
            sequence: Sequence::starting_after(0.5),
        }
    }

    /// Records an answer: the number of overdue parts and the number of parts that it may lack.
    pub fn on_answer(&mut self, overdue: usize, max_missing: usize, now: Instant) {
        self.decay(now);
        let overdue_ratio = overdue as f64 / max_missing.max(1) as f64;
        let change =
            (overdue_ratio.min(MAX_OVERDUE_RATIO) - TARGET_OVERDUE_RATIO) * SHED_SHARE_GAIN;
        self.shed_share = (self.shed_share + change).clamp(0.0, MAX_SHED_SHARE);
    }

    /// Returns whether the next query is admitted. A query is urgent if no other queries over the
    /// same shards take precedence over it.
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

    /// Returns whether queries are being shed.
    pub fn is_shedding(&self) -> bool {
        self.shed_share >= MIN_SHED_SHARE
    }

    /// Returns the share of the queries to shed now, from 0 to 1, for a caller that decides by itself
    /// which ones these are.
    pub fn share_to_shed(&mut self, now: Instant) -> f64 {
        self.decay(now);
        if self.is_shedding() {
            self.shed_share
        } else {
            0.0
        }
    }

    /// Returns the share of the queries that is being shed, from 0 to 1.
    pub fn shed_share(&self) -> f64 {
        self.shed_share
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.shed_share *= 0.5_f64.powf(age.as_secs_f64() / SHED_SHARE_HALF_LIFE.as_secs_f64());
    }
}
