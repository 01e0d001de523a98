//! How often one VM writes one value.
//!
//! A value is written whole. When claims come faster than one an
//! [`WRITE_INTERVAL`], those of an interval go into one write, so that calls and
//! bytes no longer grow with the claims.

use std::time::{Duration, Instant};

/// Time between two writes of a value in the long run: 256 writes a second
/// for all values.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Writes that may come at once after a quiet time.
const MAX_WRITE_BURST: u32 = 4;

/// Writes of one value by one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct WriteLimiter {
    /// When the writes so far are paid for, at one an interval.
    booked_until: Option<Instant>,
}

impl WriteLimiter {
    /// Returns when the next write may be sent.
    pub fn next_write_at(&self, now: Instant) -> Instant {
        let credit = WRITE_INTERVAL * (MAX_WRITE_BURST - 1);
        let due = self
            .booked_until
            .and_then(|until| until.checked_sub(credit));
        due.map_or(now, |due| due.max(now))
    }

    /// Notes a write; one that met another version does not count.
    pub fn on_write(&mut self, now: Instant) {
        let booked_until = self.booked_until.map_or(now, |until| until.max(now));
        self.booked_until = Some(booked_until + WRITE_INTERVAL);
    }
}
