//! What happens at a moment of simulated time.

use super::*;

pub(super) enum Event {
    Arrive,
    AtOwner {
        part: Part,
        query: usize,
        owner: usize,
    },
    CancelAtOwner {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    AtLeaf {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    LeafDone {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    AtOwnerAgain {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
        ending: Completion,
    },
    CancelAtLeaf {
        attempt: AttemptId,
        leaf: usize,
    },
    Health {
        leaf: usize,
        owner: usize,
    },
    Outcome {
        query: usize,
        outcome: Outcome,
    },
    WakeQuery(usize),
    WakeQueue {
        leaf: usize,
        owner: usize,
    },
    HealthSilent {
        leaf: usize,
        owner: usize,
    },
    Lose,
    Detected(Vec<usize>),
}

pub(super) struct Timed {
    pub(super) at: Instant,
    pub(super) order: u64,
    pub(super) event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        self.order == other.order
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
