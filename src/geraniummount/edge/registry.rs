//! Access for operators' requests to the resources, which are the declared leaves and services.
//!
//! The log lists all accepted changes to resources, and the position of a change in it is its
//! revision. The log is stored in a ring of slots, which later entries overwrite. A checkpoint is a
//! stored copy of the whole configuration (the catalog: all accepted resources) at one revision; it
//! allows the slots of earlier entries to be overwritten.
//!
//! Reads are answered from this VM's copy of the configuration, which is the configuration in force
//! on this VM. The calling thread proposes a change directly to the log in the platform's key-value
//! service. The control thread, which keeps this VM's copy up to date, then receives the accepted
//! change in the same way as changes made by other VMs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::{info, warn};

use crate::core::config::change::{self, Change, Entry};
use crate::core::config::change_log::{ChangeLog, Delta, LOG_SLOTS};
use crate::core::config::fault::Fault;
use crate::core::config::proposal::{Action, Append, Decision, Proposal, Slot, WriteOutcome};
use crate::core::config::resource::{Kind, Resource};
use crate::edge::platform::log_store::LogStore;
use crate::prelude::*;
use crate::util::published::Published;

/// Maximum time for proposing a change. A write that is in doubt by then is reported as undecided.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a slot of the log is read again after the platform did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after which an operator may retry if the platform did not answer.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum time to wait until an accepted change is in force on this VM.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of undecided changes that are tracked.
const MAX_UNDECIDED: usize = 64;

/// Sends entries of the log to the control thread, which applies them to this VM's copy.
pub type DeltaSink = Box<dyn Fn(Delta) + Send + Sync>;

/// Reads and changes the resources. Clones share one state.
#[derive(Clone)]
pub struct Registry {
    shared: Arc<Shared>,
}

struct Shared {
    /// This VM's copy of the log and of the configuration.
    log: Arc<Published<ChangeLog>>,
    /// The log in the platform's key-value service.
    store: LogStore,
    delta_sink: DeltaSink,
    /// Highest revision of a checkpoint known to be saved in the platform's service. A checkpoint
    /// is only ever replaced by one with a higher revision.
    saved_checkpoint: AtomicU64,
    /// Changes whose writes were not answered, the oldest first.
    undecided: Mutex<Vec<Undecided>>,
}

/// A change whose write was not answered by the platform.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Undecided {
    /// Id of the change. It is serialized as text, because not every JSON parser keeps all digits
    /// of a number.
    #[serde(serialize_with = "write_as_text")]
    pub change: ChangeId,
    /// Kind of the changed resource.
    pub kind: Kind,
    /// Name of the changed resource.
    pub name: String,
    /// Revision of the change if it was accepted.
    pub revision: Revision,
    /// Outcome as far as it is known.
    pub state: UndecidedState,
}

/// Outcome of a change that was reported as undecided.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UndecidedState {
    /// The outcome is not known yet.
    Undecided,
    /// The change is in the log.
    Accepted,
    /// The log contains another change at this revision.
    NotApplied,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Accepted {
    /// Revision of the configuration that the change results in.
    pub revision: Revision,
    /// New generation of the resource, which is the revision of its last change; 0 if the change
    /// deletes it.
    pub generation: Generation,
}

/// Reason why a read or change of a resource failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The resource does not exist.
    NotFound,
    /// The change failed validation against the configuration.
    Invalid {
        /// All faults that the validation found.
        faults: Vec<Fault>,
    },
    /// The resource does not have the generation that the change is based on.
    Conflict {
        /// Generation that the change is based on.
        expected: Generation,
        /// Current generation of the resource; 0 if it does not exist.
        actual: Generation,
    },
    /// The platform did not confirm whether the change was accepted. The `status` command shows the
    /// outcome as soon as it is known.
    Undecided {
        /// Id of the change.
        change: ChangeId,
    },
    /// The platform did not answer, and the change was certainly not made.
    PlatformDown {
        /// Delay after which to retry.
        retry_after: Duration,
    },
}

impl Registry {
    /// Creates the registry. `log` is this VM's copy of the log, `store` is the log in the
    /// platform's service, and `delta_sink` receives the entries found in `store`.
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

    /// Creates or replaces a resource with a spec in JSON. `if_match` is the generation that the
    /// resource must have; 0 means that it must not exist. Without `if_match`, the change is based
    /// on the generation in this VM's configuration.
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

    /// Deletes a resource. `if_match` has the same meaning as for [`Registry::put`].
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

    /// Waits until the revision in force is higher than `revision` or `timeout` has passed, and
    /// returns the configuration then in force.
    pub fn wait_for_newer(&self, revision: Revision, timeout: Duration) -> Arc<Catalog> {
        let newer = |log: &ChangeLog| log.revision() > revision;
        let log = self.shared.log.wait_until(newer, timeout);
        Arc::clone(log.catalog())
    }

    /// Returns the update that brings a copy of the configuration from `revision` to the revision
    /// in force.
    pub fn changes_since(&self, revision: Revision) -> Delta {
        self.shared.log.get().delta_since(revision)
    }

    /// Returns the most recent changes whose writes were not answered, with their outcomes as far
    /// as they are known.
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
                warn!("control: the platform did not confirm whether {kind} {name} was accepted");
                self.track_undecided(&change, revision);
                Err(Error::Undecided { change: change.id })
            }
        }
    }

    /// Runs a proposal until it is decided or times out. Also returns the revision that the change
    /// was last proposed for.
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

    /// Reads the log's slot for a revision, and retries until `deadline` if the platform does not
    /// answer.
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

    /// Returns whether the slot of `revision` may be overwritten, that is, whether a saved
    /// checkpoint includes the entry that the slot contained before.
    fn is_slot_free(&self, revision: Revision) -> bool {
        let Some(overwritten) = revision.checked_sub(LOG_SLOTS).filter(|old| *old > 0) else {
            return true;
        };
        if self.shared.saved_checkpoint.load(Ordering::Acquire) >= overwritten {
            return true;
        }
        if let Some(checkpoint) = self.shared.log.get().checkpoint() {
            // The result does not matter, because another VM may have saved the checkpoint. The
            // saved revision is read below.
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

    /// Passes the entry of a slot to the control thread, unless it belongs to another revision.
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
    /// Updates the state from the log entry with the change's revision.
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
