//! Decides by the progress of a query over many shards when its late parts are hedged.
//!
//! Load pattern: a VM of a large fleet sends such a query every few seconds. Most of its connections
//! are cold by then, the VM itself needs a good part of the time to send and read some hundred
//! parts, and the latency of other queries says little about this one: by it, a VM hedged either
//! all parts of a query, which delayed all of them, or none, and missed those of paused leaves. The
//! other parts of the same query met the same conditions. Once most of them are answered, the rest
//! is late, and it is no more than the retry allowance pays for.
//!
//! If the leaves of a whole failure domain do not answer, it can be that only half of the parts are
//! ever answered. The others are then hedged as well, but later, and only if the answered ones came
//! quickly: while answers still arrive one after the other, it is the VM that is slow, and hedges
//! would delay it further.
//!
//! A part is the share of the query that goes to one shard. A hedge is a second attempt at a late
//! part, at another leaf.

use std::time::{Duration, Instant};

/// Minimum number of shards whose progress says something about a single part.
const MIN_SHARDS: usize = 10;

/// Share of the parts that are answered before the rest can be late. The rest is what the retry
/// allowance pays for.
const ANSWERED_SHARE: f64 = 0.8;

/// A part is late after this many times the time in which [`ANSWERED_SHARE`] were answered.
const LATE_FACTOR: f64 = 1.2;

/// Share of the parts that are answered even if the leaves of a whole failure domain do not answer.
const PARTIAL_SHARE: f64 = 0.45;

/// While fewer than [`ANSWERED_SHARE`] are answered, a part is late after this many times the time
/// in which [`PARTIAL_SHARE`] were, and not before [`MIN_PARTIAL_WAIT_SHARE`].
const PARTIAL_LATE_FACTOR: f64 = 1.8;

/// Share of the time until the answer is due before which no part is late while fewer than
/// [`ANSWERED_SHARE`] are answered.
const MIN_PARTIAL_WAIT_SHARE: f64 = 0.5;

/// Pace at which the parts of a request are answered.
#[derive(Debug)]
pub(super) struct Pace {
    started_at: Instant,
    /// Number of parts.
    parts: usize,
    /// Number of parts that were answered.
    answered: usize,
    /// Time until the answer is due.
    window: Duration,
    /// Time from the start after which a part is late; `None` while fewer than [`PARTIAL_SHARE`] are
    /// answered.
    late_after: Option<Duration>,
}

impl Pace {
    /// Creates the pace of a request without answers, which is due at `answer_by`.
    pub(super) fn new(parts: usize, answer_by: Instant, now: Instant) -> Pace {
        Pace {
            started_at: now,
            parts,
            answered: 0,
            window: answer_by.saturating_duration_since(now),
            late_after: None,
        }
    }

    /// Returns whether there are enough parts to judge each by the others.
    pub(super) fn has_enough_parts(&self) -> bool {
        self.parts >= MIN_SHARDS
    }

    /// Records an answered part. Returns when the open parts are late if this has just become known
    /// or changed.
    pub(super) fn on_answer(&mut self, now: Instant) -> Option<Instant> {
        self.answered += 1;
        if !self.has_enough_parts() {
            return None;
        }
        let elapsed = now.saturating_duration_since(self.started_at);
        let late_after = if self.answered == self.count_of(ANSWERED_SHARE) {
            elapsed.mul_f64(LATE_FACTOR)
        } else if self.answered == self.count_of(PARTIAL_SHARE) {
            let min = self.window.mul_f64(MIN_PARTIAL_WAIT_SHARE);
            elapsed.mul_f64(PARTIAL_LATE_FACTOR).max(min)
        } else {
            return None;
        };
        let late_after = self.late_after.map_or(late_after, |at| at.min(late_after));
        self.late_after = Some(late_after);
        Some(self.started_at + late_after)
    }

    /// Returns the time after which a part that is sent now is hedged. `usual` is this time by the
    /// latency of other requests; while too few parts are answered, parts are not hedged earlier, nor
    /// before the answer is due.
    pub(super) fn hedge_delay(&self, usual: Duration, now: Instant) -> Duration {
        if !self.has_enough_parts() {
            return usual;
        }
        let due_in = (self.started_at + self.window).saturating_duration_since(now);
        self.late_after.unwrap_or(due_in.max(usual))
    }

    /// Returns the number of parts that make up a share of all.
    fn count_of(&self, share: f64) -> usize {
        (self.parts as f64 * share).ceil() as usize
    }
}
