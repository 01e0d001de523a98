//! State machine that proposes one operator's change and appends it to the change log.
//!
//! The change is validated against the newest known configuration and then written by
//! compare-and-swap to the slot of the next revision. If two proposers compete for a slot, the
//! first write wins, and the loser validates its change again on top of the winner's. A write whose
//! reply was lost may still take effect. It is therefore resent to the same slot with the same
//! expected version until a read of the slot shows which change it holds.
//!
//! The log is a ring of slots, which are keys of the platform's store; later entries overwrite the
//! slots of earlier ones. A revision is a position in the log, and the generation of a resource is
//! the revision at which it was last changed. A catalog is the whole configuration at one revision.
//! A write is in doubt while it may have taken effect or may still do so.

use crate::core::config::change::{Change, Entry};
use crate::core::config::fault::Fault;
use crate::core::config::validation;
use crate::prelude::*;

/// A change that is being proposed, and the configuration that it is validated against.
#[derive(Clone, Debug)]
pub struct Proposal {
    change: Change,
    /// Newest known configuration, which the change is validated against.
    catalog: Catalog,
    /// Last write to the slot of the next revision.
    append: Option<Append>,
    /// Whether a write to that slot is in doubt.
    is_in_doubt: bool,
}

/// A compare-and-swap write that appends the change to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Entry to write to the slot of its revision.
    pub entry: Entry,
    /// Version that the slot must have for the write to take effect.
    pub version: u64,
}

/// Content of a slot of the log at the time it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Version of the slot; 0 if it was never written.
    pub version: u64,
    /// Entry that the slot holds, if any.
    pub entry: Option<Entry>,
}

/// Outcome of a compare-and-swap write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done,
    /// The slot had another version; the write took no effect.
    Mismatch,
    /// No reply was received; the write may have taken effect or may still do so.
    Unknown,
    /// The write was rejected and will not take effect.
    Refused,
}

/// Next step that the proposer has to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the slot of this revision and call [`Proposal::on_slot_read`].
    Read(Revision),
    /// Write this entry and call [`Proposal::on_write`].
    Append(Append),
    /// Load a newer configuration and call [`Proposal::on_catch_up`], because the slot that was
    /// read holds the entry of a later revision already.
    CatchUp,
    /// Report the decision to the operator.
    Done(Decision),
}

/// Final result of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The change is in the log.
    Accepted(Entry),
    /// The resource no longer has the generation that the change is based on.
    Conflict {
        /// Generation that the change is based on.
        expected: Generation,
        /// Current generation of the resource; 0 if it does not exist.
        actual: Generation,
    },
    /// The change failed validation against the configuration.
    Invalid(Vec<Fault>),
    /// The proposal was given up, for example because the platform did not answer. The change is
    /// certainly not in the log.
    NotApplied,
    /// The proposal was given up while a write was in doubt. The change may be in the log or may
    /// still be added to it.
    Undecided,
}

impl Proposal {
    /// Starts the proposal of a change on top of `catalog` and returns the first step.
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

    /// Returns the revision that the change is proposed for.
    pub fn revision(&self) -> Revision {
        self.catalog.revision + 1
    }

    /// Continues after a slot was read; `slot` is `None` if the platform did not answer.
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
        // Another change occupies the slot for good: any earlier write of this proposal to the slot
        // has failed, and the outcome is no longer in doubt.
        self.is_in_doubt = false;
        self.append = None;
        self.catalog.apply(&entry);
        self.check()
    }

    /// Continues after a write.
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

    /// Continues after a configuration was loaded; `catalog` is `None` if that failed. Gives up if
    /// the configuration is not newer or if a write is in doubt.
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

    /// Returns the decision if the proposal ends now, without further attempts.
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
