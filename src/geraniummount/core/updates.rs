//! News that waits to be times_sent to some more VMs.

use crate::core::gossip::Source;
use crate::prelude::*;

/// Bounded list of news; the news times_sent least goes first.
#[derive(Clone, Debug)]
pub struct UpdateQueue {
    updates: Vec<Update>,
}

#[derive(Clone, Debug)]
struct Update {
    subject: Subject,
    times_sent: u32,
}

/// Whom or what the news is about; the news itself is what is known when it
/// is times_sent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// A leaf by name, as one source has it.
    Leaf(LeafName, Source),
    /// A VM by name.
    Vm(VmName),
}

/// Most subjects that wait at once.
const MAX_UPDATES: usize = 512;
/// How often each subject is times_sent, times the logarithm of the members.
const SEND_FACTOR: u32 = 3;

impl UpdateQueue {
    /// No news.
    pub fn new() -> UpdateQueue {
        UpdateQueue {
            updates: Vec::new(),
        }
    }

    /// Tells of `subject` from now on; tells anew if it was times_sent before.
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

    /// Takes the subjects for one datagram among `members` VMs.
    pub fn take(&mut self, max_subjects: usize, members: usize) -> Vec<Subject> {
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
