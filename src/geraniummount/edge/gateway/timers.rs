//! Timers of the event loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Maximum time that the event loop waits for events.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What a timer is for. A key is an index into one of the gateway's slabs. Variants with a key also
/// carry a serial number, because keys are reused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A call, which is a caller's request in flight, by key and serial number.
    Call(usize, u64),
    /// A connection from a caller, by key and serial number.
    Caller(usize, u64),
    /// A connection to a leaf, by key and serial number.
    Leaf(usize, u64),
    /// A delegated request, by key and serial number.
    Delegated(usize, u64),
    /// A connection to another VM, by key and serial number.
    Peer(usize, u64),
    /// End of the time for which requests of other VMs are held after a stall.
    HeldRequests,
    /// Removal of leaves that are no longer registered.
    Unregistered,
    /// Check whether the rates of requests have to be exchanged with the other VMs.
    Fleet,
    /// Check whether the shared list of requests that crash leaves has to be completed.
    Quarantine,
    /// End of the time for which requests wait for a trial.
    Trials,
    /// Renewal of the confirmation of the keys, or answer to a question about it.
    Keys,
    /// Questions to other VMs on quotas, and the end of waits for their answers.
    Quota,
    /// Start or end of a check of the links to the leaves.
    LeafLinks,
    /// Start or timeout of a check whether the store is reachable.
    StoreCheck,
    /// Progress of a planned stop.
    Stop,
}

/// Timers, ordered by when they are due. A timer is never cancelled; its handler checks whether
/// there is anything to do.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    pub(super) fn add(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Returns the time until the next timer is due, at most `MAX_WAIT`.
    pub(super) fn time_until_next(&self, now: Instant) -> Option<Duration> {
        let next = self.heap.peek();
        let wait = next.map(|Reverse((at, _))| at.saturating_duration_since(now));
        Some(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
    }

    /// Removes and returns a timer that is due.
    pub(super) fn pop(&mut self, now: Instant) -> Option<Timer> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
