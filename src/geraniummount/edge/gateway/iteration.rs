//! Iterations of the event loop, and how far it is behind.

use std::time::{Duration, Instant};

/// Maximum number of iterations in a row that have as many events as fit, after which timers are
/// handled although further events may be waiting.
const MAX_FULL_ITERATIONS: u32 = 8;

/// The current iteration of the event loop.
#[derive(Debug)]
pub(super) struct Iteration {
    /// Number of the iteration.
    pub(super) number: u64,
    /// When its events were received.
    began_at: Instant,
    /// Time that the iteration before took to handle its events.
    previous: Duration,
    /// Number of iterations in a row, up to this one, that had as many events as fit.
    full: u32,
}

impl Iteration {
    pub(super) fn new() -> Iteration {
        Iteration {
            number: 0,
            began_at: Instant::now(),
            previous: Duration::ZERO,
            full: 0,
        }
    }

    /// Begins the next iteration, whose events were received at `now`. `is_full` says whether they are
    /// as many as are received at once, so that others may be waiting.
    pub(super) fn begin(&mut self, now: Instant, is_full: bool) {
        self.number += 1;
        self.began_at = now;
        self.full = if is_full { self.full + 1 } else { 0 };
    }

    /// Returns when the events of the iteration were received.
    pub(super) fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Returns whether no events are waiting that came before those of this iteration. Timers do not
    /// wait for that without end.
    pub(super) fn has_fetched_all(&self) -> bool {
        self.full.is_multiple_of(MAX_FULL_ITERATIONS)
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
