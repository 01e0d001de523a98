//! Events of the simulation, ordered by their simulated time.
//!
//! Leaves, VMs and queries are given by index.

use super::*;

/// Event of the simulation.
pub(super) enum Event {
    /// The next query arrives.
    Arrive,
    /// A part reaches the owner of its leaf.
    PartAtOwner {
        part: Part,
        query: usize,
        owner: usize,
    },
    /// The cancellation of an attempt reaches the owner of the leaf.
    CancelAtOwner {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    /// An attempt reaches its leaf.
    PartAtLeaf {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    /// A leaf finishes an attempt.
    LeafDone {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    /// The completion of an attempt reaches the owner of the leaf.
    CompletionAtOwner {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
        completion: Completion,
    },
    /// The cancellation of an attempt reaches the leaf.
    CancelAtLeaf { attempt: AttemptId, leaf: usize },
    /// A leaf's reply to a health probe reaches the owner.
    Health { leaf: usize, owner: usize },
    /// The outcome of an attempt reaches the query's VM.
    Outcome { query: usize, outcome: Outcome },
    /// A query's next timer expires.
    WakeQuery(usize),
    /// A queue's next timer expires.
    WakeQueue { leaf: usize, owner: usize },
    /// A health probe of a leaf ends without an answer.
    ProbeTimeout { leaf: usize, owner: usize },
    /// The loss of the run begins.
    LossBegins,
    /// The other VMs detect the loss of these VMs.
    LossDetected(Vec<usize>),
}

/// Event with its time. Events at the same time are ordered by sequence number.
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
