//! Iterations of the event loop, and how far it is behind.

use std::time::{Duration, Instant};

/// The current iteration of the event loop.
#[derive(Debug)]
pub(super) struct Iteration {
    /// Number of the iteration.
    pub(super) number: u64,
    /// When its events were received.
    began_at: Instant,
    /// Time that the iteration before took to handle its events.
    previous: Duration,
}

impl Iteration {
    pub(super) fn new() -> Iteration {
        Iteration {
            number: 0,
            began_at: Instant::now(),
            previous: Duration::ZERO,
        }
    }

    /// Begins the next iteration, whose events were received at `now`.
    pub(super) fn begin(&mut self, now: Instant) {
        self.number += 1;
        self.began_at = now;
    }

    /// Ends the iteration before it waits for further events.
    pub(super) fn end(&mut self) {
        self.previous = self.began_at.elapsed();
    }

    /// Returns for how long an event that is handled now may have waited at most: it may have come
    /// while the events of the iteration before were handled.
    pub(super) fn max_waited(&self) -> Duration {
        self.previous + self.began_at.elapsed()
    }
}
