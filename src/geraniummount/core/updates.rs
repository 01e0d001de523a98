//! Queue of membership updates, changed records of VMs and changed notices about leaves, that are
//! sent along with the datagrams between VMs.

use crate::core::gossip::Source;
use crate::prelude::*;

/// Bounded queue of updates. Those sent least often are sent first.
#[derive(Clone, Debug)]
pub struct UpdateQueue {
    updates: Vec<Update>,
}

#[derive(Clone, Debug)]
struct Update {
    subject: Subject,
    /// Number of datagrams that the update was sent with.
    times_sent: u32,
}

/// Subject of an update. The content is looked up when the update is sent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// Notice whether a leaf is leaving, by the name of the leaf and the source of the notice.
    Leaf(LeafName, Source),
    /// Record of a VM, by name.
    Vm(VmName),
}

/// Maximum number of queued updates.
const MAX_UPDATES: usize = 512;
/// Each update is sent this many times the binary logarithm, rounded down, of the number of VMs in
/// the failure domain plus one.
const SEND_FACTOR: u32 = 3;

impl UpdateQueue {
    /// Creates an empty queue.
    pub fn new() -> UpdateQueue {
        UpdateQueue {
            updates: Vec::new(),
        }
    }

    /// Queues an update. If the subject is queued already, its `times_sent` restarts at 0. If the
    /// queue is full, the last update in sending order is dropped.
    pub fn push(&mut self, subject: Subject) {
        self.updates.retain(|update| update.subject != subject);
        if self.updates.len() >= MAX_UPDATES {
            self.updates.pop();
        }
        self.updates.insert(
            0,
            Update {
                subject,
                times_sent: 0,
            },
        );
    }

    /// Returns at most `max_subjects` subjects for one datagram in a failure domain with `members`
    /// other VMs, and drops the updates that have been sent often enough.
    pub fn take(&mut self, max_subjects: usize, members: usize) -> Vec<Subject> {
        // `+ 2`: this VM, and one more so that `limit` is at least `SEND_FACTOR`.
        let limit = SEND_FACTOR * (members as u32 + 2).ilog2();
        self.updates.sort_by_key(|update| update.times_sent);
        let mut taken = Vec::new();
        for update in self.updates.iter_mut().take(max_subjects) {
            update.times_sent += 1;
            taken.push(update.subject.clone());
        }
        self.updates.retain(|update| update.times_sent < limit);
        taken
    }
}

impl Default for UpdateQueue {
    fn default() -> UpdateQueue {
        UpdateQueue::new()
    }
}
