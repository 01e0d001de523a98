//! One operator's change on its way into the log.
//!
//! The change is checked against the newest configuration known, and then
//! appended by compare-and-swap to the slot that follows. Whoever appends
//! first wins the slot; the other checks its change again on top of the
//! winner's. A write whose reply was lost may still take effect, so it is
//! sent again to the same slot under the same version until the slot shows
//! which change it holds.

use crate::core::change::{Change, Entry};
use crate::core::fault::Fault;
use crate::core::validation;
use crate::prelude::*;

/// A change that is being proposed.
#[derive(Clone, Debug)]
pub struct Proposal {
    change: Change,
    catalog: Catalog,
    append: Option<Append>,
    is_in_doubt: bool,
}

/// A write that puts the change into the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Entry to write into its slot.
    pub entry: Entry,
    /// Version of the slot that the write replaces.
    pub version: u64,
}

/// What a slot of the log was seen to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Its version; 0 where it was never written.
    pub version: u64,
    /// The entry in it.
    pub entry: Option<Entry>,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect.
    Done,
    /// The slot had another version: it took no effect.
    Mismatch,
    /// No reply: it may have taken effect, or may do so later.
    Unknown,
    /// It was certainly not carried out.
    Refused,
}

/// What the proposer does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the slot of this revision.
    Read(Revision),
    /// Write this entry.
    Append(Append),
    /// Load a newer configuration: the log went on past the slot.
    CatchUp,
    /// Tell the operator.
    Done(Decision),
}

/// How a proposal ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The change is in the log.
    Accepted(Entry),
    /// Another change of the resource came first.
    Conflict {
        /// Generation that the change was made for.
        expected: Generation,
        /// Generation that the resource has; 0 where there is none.
        actual: Generation,
    },
    /// The change does not fit the configuration.
    Invalid(Vec<Fault>),
    /// The platform did not answer; the change is certainly not in the log.
    NotApplied,
    /// The platform did not say whether the change is in the log.
    Undecided,
}

impl Proposal {
    /// Starts to propose a change on top of `catalog`.
    pub fn start(change: Change, catalog: Catalog) -> (Proposal, Action) {
        let proposal = Proposal {
            change,
            catalog,
            append: None,
            is_in_doubt: false,
        };
        let action = proposal.check();
        (proposal, action)
    }

    /// Returns the revision that the change is to have.
    pub fn revision(&self) -> Revision {
        self.catalog.revision + 1
    }

    /// Goes on after a slot was read; `None` when the platform did not answer.
    pub fn on_slot_read(&mut self, slot: Option<Slot>) -> Action {
        let Some(slot) = slot else {
            return Action::Done(self.give_up());
        };
        let next = self.catalog.revision + 1;
        let Some(entry) = slot.entry else {
            return self.append(slot.version);
        };
        if entry.revision < next {
            return self.append(slot.version);
        }
        if entry.revision > next {
            return Action::CatchUp;
        }
        if entry.change.id == self.change.id {
            return Action::Done(Decision::Accepted(entry));
        }
        // The slot is taken for good, so an own write to it has failed.
        self.is_in_doubt = false;
        self.append = None;
        self.catalog.apply(&entry);
        self.check()
    }

    /// Goes on after a write.
    pub fn on_write(&mut self, outcome: WriteOutcome) -> Action {
        let next = Action::Read(self.catalog.revision + 1);
        match (outcome, self.append.clone()) {
            (WriteOutcome::Done, Some(append)) => Action::Done(Decision::Accepted(append.entry)),
            (WriteOutcome::Done | WriteOutcome::Mismatch, _) => next,
            (WriteOutcome::Unknown, _) => {
                self.is_in_doubt = true;
                next
            }
            (WriteOutcome::Refused, _) => Action::Done(self.give_up()),
        }
    }

    /// Goes on after a newer configuration was loaded, or could not be.
    pub fn on_catch_up(&mut self, catalog: Option<Catalog>) -> Action {
        let newer = catalog.filter(|catalog| catalog.revision > self.catalog.revision);
        match newer {
            Some(catalog) if !self.is_in_doubt => {
                self.append = None;
                self.catalog = catalog;
                self.check()
            }
            _ => Action::Done(self.give_up()),
        }
    }

    /// Ends the proposal without waiting any longer.
    pub fn give_up(&self) -> Decision {
        if self.is_in_doubt {
            Decision::Undecided
        } else {
            Decision::NotApplied
        }
    }

    fn check(&self) -> Action {
        let actual = self.catalog.generation(self.change.kind, &self.change.name);
        if actual != self.change.base {
            let expected = self.change.base;
            return Action::Done(Decision::Conflict { expected, actual });
        }
        let faults = validation::check(&self.catalog, &self.change);
        if !faults.is_empty() {
            return Action::Done(Decision::Invalid(faults));
        }
        Action::Read(self.catalog.revision + 1)
    }

    fn append(&mut self, version: u64) -> Action {
        let entry = Entry {
            revision: self.catalog.revision + 1,
            change: self.change.clone(),
        };
        let append = Append { entry, version };
        self.append = Some(append.clone());
        Action::Append(append)
    }
}
