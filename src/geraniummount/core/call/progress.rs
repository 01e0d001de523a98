//! Decides by the progress of a query over many shards when its late parts are hedged.
//!
//! Load pattern: a VM of a large fleet sends such a query every few seconds. Most of its connections
//! are cold by then, the VM itself needs a good part of the time to send and read some hundred
//! parts, and the latency of other queries says little about this one: by it, a VM hedged either
//! all parts of a query, which delayed all of them, or none, and missed those of paused leaves. The
//! other parts of the same query met the same conditions. Once most of them are answered, the rest
//! is late, and it is no more than the retry allowance pays for.
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

/// Share of the time until the answer is due after which parts are hedged even if fewer are
/// answered, because the leaves of a whole failure domain may be gone.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Progress of a request.
#[derive(Debug)]
pub(super) struct Progress {
    started_at: Instant,
    /// Number of parts.
    parts: usize,
    /// Number of parts that were answered.
    answered: usize,
    /// Time after which a part is late; `None` while too few are answered.
    late_after: Option<Duration>,
}

impl Progress {
    pub(super) fn new(parts: usize, now: Instant) -> Progress {
        Progress {
            started_at: now,
            parts,
            answered: 0,
            late_after: None,
        }
    }

    /// Returns whether there are enough parts to judge each by the others.
    pub(super) fn is_telling(&self) -> bool {
        self.parts >= MIN_SHARDS
    }

    /// Records an answered part. Returns when the open parts are late if this has just become
    /// known.
    pub(super) fn on_answer(&mut self, now: Instant) -> Option<Instant> {
        self.answered += 1;
        let enough = (self.parts as f64 * ANSWERED_SHARE).ceil() as usize;
        if !self.is_telling() || self.late_after.is_some() || self.answered < enough {
            return None;
        }
        let elapsed = now.saturating_duration_since(self.started_at);
        let late_after = elapsed.mul_f64(LATE_FACTOR);
        self.late_after = Some(late_after);
        Some(self.started_at + late_after)
    }

    /// Returns the time after which a part that is sent now is hedged. `usual` is this time by the
    /// latency of other requests, and `answer_by` the time when the answer is due.
    pub(super) fn hedge_delay(&self, usual: Duration, answer_by: Instant) -> Duration {
        if !self.is_telling() {
            return usual;
        }
        let window = answer_by.saturating_duration_since(self.started_at);
        self.late_after
            .unwrap_or_else(|| usual.max(window.mul_f64(MAX_WAIT_SHARE)))
    }
}
