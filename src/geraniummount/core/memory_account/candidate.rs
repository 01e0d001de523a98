//! A connection that can be closed when memory or descriptors run short.

use std::time::{Duration, Instant};

/// A connection that can be closed: it has no request under way.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the connection.
    pub key: usize,
    /// Number of bytes that it holds.
    pub bytes: usize,
    /// When its head, its body or its answer began, or when it became idle.
    pub since: Instant,
}

impl Candidate {
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns what it has cost so far, in bytes times milliseconds: much for one that holds much and
    /// is slow, little for one that has just begun.
    pub(super) fn cost(&self, now: Instant) -> u128 {
        self.age(now).as_millis() * self.bytes as u128
    }
}
