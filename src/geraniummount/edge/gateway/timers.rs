//! What is due when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Longest sleep of the event loop.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What is due. Those with a key carry a serial number, as a key is used again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    Call(usize, u64),
    Caller(usize, u64),
    Leaf(usize, u64),
    Unregistered,
    StoreCheck,
    Stop,
}

/// Timers in the order in which they are due. None is taken back: who is woken
/// looks whether something is due.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    pub(super) fn add(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Returns how long nothing is due.
    pub(super) fn time_until_next(&self, now: Instant) -> Option<Duration> {
        let next = self.heap.peek();
        let wait = next.map(|Reverse((at, _))| at.saturating_duration_since(now));
        Some(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
    }

    /// Takes one that is due.
    pub(super) fn pop(&mut self, now: Instant) -> Option<Timer> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
