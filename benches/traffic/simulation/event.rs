//! What happens at a moment of simulated time.

use super::*;

pub(super) enum Event {
    Arrive,
    PartAtOwner {
        part: Part,
        query: usize,
        owner: usize,
    },
    CancelAtOwner {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    PartAtLeaf {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    LeafDone {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    CompletionAtOwner {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
        completion: Completion,
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
    ProbeTimeout {
        leaf: usize,
        owner: usize,
    },
    LossBegins,
    LossDetected(Vec<usize>),
}

pub(super) struct Timed {
    pub(super) at: Instant,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        self.sequence == other.sequence
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
