//! The resources, as operators' calls read and change them.
//!
//! Reads are answered from this VM's copy of the configuration. A change is
//! proposed by the calling thread itself, straight to the log in the
//! platform's service; the control thread learns of it like any other VM.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::{info, warn};

use crate::core::change::{self, Change, Entry};
use crate::core::change_log::{ChangeLog, Delta, LOG_SLOTS};
use crate::core::fault::Fault;
use crate::core::proposal::{Action, Append, Decision, Proposal, Slot, WriteOutcome};
use crate::core::resource::{Kind, Resource};
use crate::edge::platform::log_store::LogStore;
use crate::prelude::*;
use crate::util::published::Published;

/// Time for which a change is tried before it is reported undecided.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Wait before a call that failed in doubt is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// When an operator may come back after the platform did not answer.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time until an accepted change is in force on the VM that took it.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Undecided changes that are followed.
const MAX_UNDECIDED: usize = 64;

/// Tells the control thread of changes.
pub type DeltaSink = Box<dyn Fn(Delta) + Send + Sync>;

/// Operators' access to the resources; clones share one state.
#[derive(Clone)]
pub struct Registry {
    shared: Arc<Shared>,
}

struct Shared {
    log: Arc<Published<ChangeLog>>,
    store: LogStore,
    delta_sink: DeltaSink,
    /// Revision of a checkpoint that was seen; a later one only takes its
    /// place with a higher revision.
    saved_checkpoint: AtomicU64,
    undecided: Mutex<Vec<Undecided>>,
}

/// A change whose write had no reply.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Undecided {
    /// The change's number, written as text as not every reader of JSON keeps
    /// all digits of a number.
    #[serde(serialize_with = "write_as_text")]
    pub change: ChangeId,
    /// Kind of its resource.
    pub kind: Kind,
    /// Name of its resource.
    pub name: String,
    /// Revision that it would have.
    pub revision: Revision,
    /// What is known by now.
    pub state: UndecidedState,
}

/// What became of an undecided change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UndecidedState {
    /// Not known yet.
    Undecided,
    /// It is in the log.
    Accepted,
    /// Another change has its place in the log.
    NotApplied,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Accepted {
    /// Revision of the configuration from this change on.
    pub revision: Revision,
    /// Generation of the resource; 0 once it is deleted.
    pub generation: Generation,
}

/// Why a call on the resources failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// There is no such resource.
    NotFound,
    /// The change does not fit the configuration.
    Invalid {
        /// Everything that is wrong with it.
        faults: Vec<Fault>,
    },
    /// The resource was changed meanwhile.
    Conflict {
        /// Generation that the change was made for.
        expected: Generation,
        /// Generation that the resource has; 0 where there is none.
        actual: Generation,
    },
    /// The platform did not say whether the change was accepted; `status`
    /// tells once it is known.
    Undecided {
        /// The change's number.
        change: ChangeId,
    },
    /// The platform did not answer; the change was certainly not made.
    PlatformDown {
        /// When to come back.
        retry_after: Duration,
    },
}

impl Registry {
    /// Makes the registry on this VM's copy of the log.
    pub fn new(log: Arc<Published<ChangeLog>>, store: LogStore, delta_sink: DeltaSink) -> Registry {
        Registry {
            shared: Arc::new(Shared {
                log,
                store,
                delta_sink,
                saved_checkpoint: AtomicU64::new(0),
                undecided: Mutex::new(Vec::new()),
            }),
        }
    }

    /// Returns the configuration in force on this VM.
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(self.shared.log.get().catalog())
    }

    /// Creates or replaces a resource from a spec in JSON. `if_match` names
    /// the generation to replace, 0 to create only; without it the change is
    /// made for the generation that this VM knows.
    pub fn put(
        &self,
        kind: Kind,
        name: &str,
        spec_json: &str,
        if_match: Option<Generation>,
    ) -> Result<Accepted, Error> {
        let resource = Resource::parse(kind, spec_json);
        let resource = resource.map_err(|fault| Error::Invalid {
            faults: vec![fault],
        })?;
        let action = change::Action::Put(resource);
        let entry = self.make_change(kind, name, action, if_match)?;
        Ok(Accepted {
            revision: entry.revision,
            generation: entry.revision,
        })
    }

    /// Deletes a resource; `if_match` as in [`Registry::put`].
    pub fn delete(
        &self,
        kind: Kind,
        name: &str,
        if_match: Option<Generation>,
    ) -> Result<Accepted, Error> {
        if if_match.is_none() && self.catalog().generation(kind, name) == 0 {
            return Err(Error::NotFound);
        }
        let entry = self.make_change(kind, name, change::Action::Delete, if_match)?;
        Ok(Accepted {
            revision: entry.revision,
            generation: 0,
        })
    }

    /// Waits until the revision in force is larger than `revision`, at most
    /// `timeout`; returns the configuration in force then.
    pub fn wait_for_newer(&self, revision: Revision, timeout: Duration) -> Arc<Catalog> {
        let newer = |log: &ChangeLog| log.revision() > revision;
        let log = self.shared.log.wait_until(newer, timeout);
        Arc::clone(log.catalog())
    }

    /// Returns what a VM at `revision` lacks.
    pub fn changes_since(&self, revision: Revision) -> Delta {
        self.shared.log.get().delta_since(revision)
    }

    /// Returns the latest changes whose writes had no reply, and what is
    /// known of them by now.
    pub fn undecided(&self) -> Vec<Undecided> {
        let log = self.shared.log.get();
        let mut undecided = lock(&self.shared.undecided);
        for change in undecided.iter_mut() {
            change.update_state(&log);
        }
        undecided.clone()
    }

    fn make_change(
        &self,
        kind: Kind,
        name: &str,
        action: change::Action,
        if_match: Option<Generation>,
    ) -> Result<Entry, Error> {
        let catalog = self.catalog();
        let base = if_match.unwrap_or_else(|| catalog.generation(kind, name));
        let change = Change {
            id: rand::random(),
            kind,
            name: name.to_owned(),
            base,
            action,
        };
        let (decision, revision) = self.propose(change.clone(), &catalog);
        match decision {
            Decision::Accepted(entry) => {
                info!(
                    "control: {kind} {name} accepted as revision {}",
                    entry.revision
                );
                self.wait_for_newer(entry.revision - 1, IN_FORCE_TIMEOUT);
                Ok(entry)
            }
            Decision::Conflict { expected, actual } => Err(Error::Conflict { expected, actual }),
            Decision::Invalid(faults) => Err(Error::Invalid { faults }),
            Decision::NotApplied => Err(Error::PlatformDown {
                retry_after: PLATFORM_RETRY_AFTER,
            }),
            Decision::Undecided => {
                warn!("control: the platform did not say whether {kind} {name} was accepted");
                self.track_undecided(&change, revision);
                Err(Error::Undecided { change: change.id })
            }
        }
    }

    /// Carries a proposal to its end; returns also the revision it tried last.
    fn propose(&self, change: Change, catalog: &Catalog) -> (Decision, Revision) {
        let deadline = Instant::now() + PROPOSE_TIMEOUT;
        let (mut proposal, mut action) = Proposal::start(change, catalog.clone());
        loop {
            if let Action::Done(decision) = action {
                return (decision, proposal.revision());
            }
            if Instant::now() >= deadline {
                return (proposal.give_up(), proposal.revision());
            }
            action = match action {
                Action::Read(revision) => proposal.on_slot_read(self.read_slot(revision, deadline)),
                Action::Append(append) => proposal.on_write(self.append(&append)),
                Action::CatchUp => proposal.on_catch_up(self.shared.store.load_checkpoint()),
                Action::Done(_) => continue,
            };
        }
    }

    /// Reads a slot, and again while the platform does not answer.
    fn read_slot(&self, revision: Revision, deadline: Instant) -> Option<Slot> {
        loop {
            if let Some(slot) = self.shared.store.read(revision) {
                self.report_entry(slot.entry.as_ref(), revision);
                return Some(slot);
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return None;
            }
            std::thread::sleep(RETRY_DELAY);
        }
    }

    fn append(&self, append: &Append) -> WriteOutcome {
        if !self.is_slot_free(append.entry.revision) {
            return WriteOutcome::Refused;
        }
        let write = self.shared.store.append(append);
        if write == WriteOutcome::Done {
            self.report_entry(Some(&append.entry), append.entry.revision);
        }
        write
    }

    /// Whether a checkpoint covers the entry that the slot held before.
    fn is_slot_free(&self, revision: Revision) -> bool {
        let Some(overwritten) = revision.checked_sub(LOG_SLOTS).filter(|old| *old > 0) else {
            return true;
        };
        if self.shared.saved_checkpoint.load(Ordering::Acquire) >= overwritten {
            return true;
        }
        if let Some(checkpoint) = self.shared.log.get().checkpoint() {
            // Another VM may have written it by now.
            let _ = self.shared.store.save_checkpoint(checkpoint);
        }
        let Some(saved) = self.shared.store.checkpoint_revision() else {
            return false;
        };
        self.shared
            .saved_checkpoint
            .fetch_max(saved, Ordering::AcqRel);
        saved >= overwritten
    }

    fn report_entry(&self, entry: Option<&Entry>, revision: Revision) {
        let Some(entry) = entry.filter(|entry| entry.revision == revision) else {
            return;
        };
        (self.shared.delta_sink)(Delta {
            revision,
            catalog: None,
            entries: vec![Arc::new(entry.clone())],
        });
    }

    fn track_undecided(&self, change: &Change, revision: Revision) {
        let mut undecided = lock(&self.shared.undecided);
        if undecided.len() >= MAX_UNDECIDED {
            undecided.remove(0);
        }
        undecided.push(Undecided {
            change: change.id,
            kind: change.kind,
            name: change.name.clone(),
            revision,
            state: UndecidedState::Undecided,
        });
    }
}

impl Undecided {
    /// Looks the change up at its place in the log.
    fn update_state(&mut self, log: &ChangeLog) {
        if self.state != UndecidedState::Undecided {
            return;
        }
        if let Some(entry) = log.entry(self.revision) {
            self.state = if entry.change.id == self.change {
                UndecidedState::Accepted
            } else {
                UndecidedState::NotApplied
            };
        }
    }
}

fn write_as_text<S: serde::Serializer>(id: &ChangeId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(id)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
