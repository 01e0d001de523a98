//! Watches the change log and the membership list of the platform on behalf of a failure domain.
//!
//! The platform consists of two services that the users run: a key-value service and the membership
//! list, which names all processes, VMs and leaves. The slots of the change log are a ring of keys
//! of the key-value service, which later entries overwrite. A checkpoint, which is the catalog (all
//! accepted resources) at one revision, is stored before its entries are overwritten.
//!
//! Only the VMs that the control thread (see [`super`]) selects watch the platform. All others
//! receive changes from their peers. The number of calls to the platform therefore grows with the
//! number of failure domains and not with the number of VMs. A VM that is starting reads the log
//! itself until it is ready.

use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use log::{info, warn};

use super::event::Event;
use super::shared::Shared;
use crate::core::config::change_log::Delta;
use crate::core::config::proposal::Slot;
use crate::core::gossip::Source;
use crate::edge::platform::log_store::LogStore;
use crate::edge::platform::{MemberState, Members, Platform};
use crate::prelude::*;

/// Maximum duration of one long poll.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks for whether this VM has become a watcher.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Initial and maximum backoff while the platform does not answer.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));
/// Maximum time to wait until the control thread has merged a change.
const MERGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the change log as it grows.
pub(super) struct LogWatcher {
    pub(super) store: LogStore,
    pub(super) shared: Shared,
    pub(super) events: SyncSender<Event>,
}

impl LogWatcher {
    /// Runs until the control thread of this process is stopped.
    pub(super) fn run(self) {
        let mut backoff = Backoff::default();
        let mut saved_revision = 0;
        while !self.shared.is_stopped() {
            if !self.shared.is_watcher() && self.shared.is_ready() {
                thread::sleep(IDLE_POLL_INTERVAL);
                continue;
            }
            match self.read_next(&mut saved_revision) {
                Some(()) => backoff.reset("the change log"),
                None => backoff.sleep("the change log"),
            }
        }
    }

    /// Reads the log's next entry, or waits for it. Returns `None` if the platform did not answer
    /// or the control thread has ended.
    fn read_next(&self, saved_revision: &mut Revision) -> Option<()> {
        self.save_checkpoint(saved_revision)?;
        let next = self.shared.log.get().revision() + 1;
        let slot = self.store.read(next)?;
        if let Some(version) = self.process_slot(next, slot)? {
            self.events.send(Event::LogUpToDate).ok()?;
            // `None` if the slot did not change within `WATCH_TIMEOUT`.
            let changed = self.store.watch(next, version, WATCH_TIMEOUT)?;
            changed.map_or(Some(None), |slot| self.process_slot(next, slot))?;
        }
        Some(())
    }

    /// Sends the change in the slot of revision `next` to the control thread and waits until it is
    /// merged. A later revision in the slot shows that the entry of `next` was overwritten; the
    /// checkpoint is sent instead. Returns:
    ///
    /// - `Some(None)` if a change was sent;
    /// - `Some(Some(version))` with the slot's version if the slot contains no entry of revision
    ///   `next` or later, so that the change is still to come;
    /// - `None` if the platform did not answer or the control thread has ended.
    fn process_slot(&self, next: Revision, slot: Slot) -> Option<Option<u64>> {
        let entry = slot.entry.filter(|entry| entry.revision >= next);
        let Some(entry) = entry else {
            return Some(Some(slot.version));
        };
        let delta = if entry.revision == next {
            Delta {
                revision: next,
                catalog: None,
                entries: vec![Arc::new(entry)],
            }
        } else {
            let catalog = self.store.load_checkpoint()?;
            Delta {
                revision: catalog.revision,
                catalog: Some(Arc::new(catalog)),
                entries: Vec::new(),
            }
        };
        self.events.send(Event::ChangesReceived(delta)).ok()?;
        let is_merged = |log: &crate::core::config::change_log::ChangeLog| log.revision() >= next;
        self.shared.log.wait_until(is_merged, MERGE_TIMEOUT);
        Some(None)
    }

    /// Saves the checkpoint that is due, if it was not saved yet. Returns `None` if the platform
    /// did not answer.
    fn save_checkpoint(&self, saved_revision: &mut Revision) -> Option<()> {
        let log = self.shared.log.get();
        let due = log
            .checkpoint()
            .filter(|due| due.revision > *saved_revision);
        if let Some(due) = due {
            self.store.save_checkpoint(due)?;
            *saved_revision = due.revision;
        }
        Some(())
    }
}

/// Watches the platform's membership list. The list may lag behind other sources, such as the leaf
/// itself. The watcher therefore reports a leaf only if its state in the list has changed, so that
/// an old state does not override theirs.
pub(super) struct MembersWatcher {
    pub(super) platform: Platform,
    pub(super) shared: Shared,
    pub(super) events: SyncSender<Event>,
}

impl MembersWatcher {
    /// Runs until the control thread of this process is stopped.
    pub(super) fn run(self) {
        let mut backoff = Backoff::default();
        let mut last_read: Option<Members> = None;
        while !self.shared.is_stopped() {
            if !self.shared.is_watcher() {
                thread::sleep(IDLE_POLL_INTERVAL);
                continue;
            }
            let version = last_read.as_ref().map(|members| members.version);
            match self.platform.members(version, WATCH_TIMEOUT) {
                Some(Some(members)) => {
                    self.report_members(last_read.as_ref(), &members);
                    last_read = Some(members);
                    backoff.reset("the membership list");
                }
                // The list is unchanged.
                Some(None) => backoff.reset("the membership list"),
                None => backoff.sleep("the membership list"),
            }
        }
    }

    /// Reports all addresses as those of possible peers, and the leaves that began or ended
    /// draining (finishing the work in hand and accepting no more), which the list calls leaving.
    fn report_members(&self, before: Option<&Members>, now: &Members) {
        let addresses = now.members.iter().map(|member| member.address);
        let _ = self.events.send(Event::PeerHints(addresses.collect()));
        let catalog = Arc::clone(&self.shared.view.get().catalog);
        for record in catalog.leaves.iter() {
            let leaf = &record.spec;
            let draining = is_draining(now, leaf);
            let was_draining = before.is_some_and(|before| is_draining(before, leaf));
            if draining != was_draining {
                let _ = self.events.send(Event::LeafDraining {
                    leaf: leaf.name.clone(),
                    source: Source::Members,
                    draining,
                });
            }
        }
    }
}

/// Returns whether the list shows a leaf as leaving, under its name or under its address.
fn is_draining(members: &Members, leaf: &Leaf) -> bool {
    members.members.iter().any(|member| {
        let is_same_leaf = member.name == leaf.name || member.address == leaf.address;
        is_same_leaf && member.state == MemberState::Leaving
    })
}

/// Exponential backoff with jitter while the platform does not answer.
#[derive(Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn reset(&mut self, source: &str) {
        if self.failures > 0 {
            info!("platform: reading {source} succeeded again");
        }
        self.failures = 0;
    }

    fn sleep(&mut self, source: &str) {
        if self.failures == 0 {
            warn!("platform: failed to read {source}; retrying, and relying on peers meanwhile");
        }
        let (initial, max) = BACKOFF_RANGE;
        let pause = initial.saturating_mul(1 << self.failures.min(8)).min(max);
        self.failures = self.failures.saturating_add(1);
        thread::sleep(pause.mul_f64(rand::random_range(0.5..1.0)));
    }
}
