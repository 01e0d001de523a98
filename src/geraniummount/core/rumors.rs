//! News that waits to be told to some more VMs.

use crate::core::gossip::Source;
use crate::prelude::*;

/// Bounded list of news; the news told least goes first.
#[derive(Clone, Debug)]
pub struct Rumors {
    waiting: Vec<Rumor>,
}

#[derive(Clone, Debug)]
struct Rumor {
    subject: Subject,
    told: u32,
}

/// Whom or what the news is about; the news itself is what is known when it
/// is told.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// A leaf by name, as one source has it.
    Leaf(LeafName, Source),
    /// A VM by name.
    Vm(VmName),
}

/// Most subjects that wait at once.
const MAX_WAITING: usize = 512;
/// How often each subject is told, times the logarithm of the members.
const TELL_FACTOR: u32 = 3;

impl Rumors {
    /// No news.
    pub fn new() -> Rumors {
        Rumors {
            waiting: Vec::new(),
        }
    }

    /// Tells of `subject` from now on; tells anew if it was told before.
    pub fn spread(&mut self, subject: Subject) {
        self.waiting.retain(|rumor| rumor.subject != subject);
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop();
        }
        self.waiting.insert(0, Rumor { subject, told: 0 });
    }

    /// Takes the subjects for one datagram among `members` VMs.
    pub fn take(&mut self, most: usize, members: usize) -> Vec<Subject> {
        let limit = TELL_FACTOR * (members as u32 + 2).ilog2();
        self.waiting.sort_by_key(|rumor| rumor.told);
        let mut taken = Vec::new();
        for rumor in self.waiting.iter_mut().take(most) {
            rumor.told += 1;
            taken.push(rumor.subject.clone());
        }
        self.waiting.retain(|rumor| rumor.told < limit);
        taken
    }
}

impl Default for Rumors {
    fn default() -> Rumors {
        Rumors::new()
    }
}
