//! Limits how often one VM writes one bucket.
//!
//! A bucket is one of the values in the platform's store over which claims of idempotency keys are
//! hashed. It is always written as a whole. Claims that arrive faster than one per
//! [`WRITE_INTERVAL`] are combined into one write per interval, which keeps the number of calls and
//! bytes from growing with the claim rate.

use std::time::{Duration, Instant};

/// Average time between two writes of a bucket. Over all buckets this allows
/// 256 writes per second.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Writes that may follow each other at once after an idle time.
const MAX_WRITE_BURST: u32 = 4;

/// Rate limiter for the writes of one bucket by one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct WriteLimiter {
    /// Time up to which past writes have used up the rate, at one write per
    /// interval.
    booked_until: Option<Instant>,
}

impl WriteLimiter {
    /// Returns the earliest time at which the next write may be sent.
    pub fn next_write_at(&self, now: Instant) -> Instant {
        let credit = WRITE_INTERVAL * (MAX_WRITE_BURST - 1);
        let due = self
            .booked_until
            .and_then(|until| until.checked_sub(credit));
        due.map_or(now, |due| due.max(now))
    }

    /// Records a write. A write that failed on a version mismatch is not
    /// recorded.
    pub fn on_write(&mut self, now: Instant) {
        let booked_until = self.booked_until.map_or(now, |until| until.max(now));
        self.booked_until = Some(booked_until + WRITE_INTERVAL);
    }
}
