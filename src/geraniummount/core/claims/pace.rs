//! How often one VM writes one value.
//!
//! A value is written whole. When claims come faster than one an
//! [`INTERVAL`], those of an interval go into one write, so that calls and
//! bytes no longer grow with the claims.

use std::time::{Duration, Instant};

/// Time between two writes of a value in the long run: 256 writes a second
/// for all values.
const INTERVAL: Duration = Duration::from_millis(250);
/// Writes that may come at once after a quiet time.
const BURST: u32 = 4;

/// Writes of one value by one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// When the writes so far are paid for, at one an interval.
    paid: Option<Instant>,
}

impl Pace {
    /// Returns when the next write may be sent.
    pub fn due(&self, now: Instant) -> Instant {
        let credit = INTERVAL * (BURST - 1);
        let due = self.paid.and_then(|paid| paid.checked_sub(credit));
        due.map_or(now, |due| due.max(now))
    }

    /// Notes a write; one that met another version does not count.
    pub fn note(&mut self, now: Instant) {
        let paid = self.paid.map_or(now, |paid| paid.max(now));
        self.paid = Some(paid + INTERVAL);
    }
}
