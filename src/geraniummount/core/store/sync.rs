//! Decides whether a VM follows the platform's store by its changes or by reading all leaves again.
//!
//! Load pattern: for most of the day few leaves change, and a watch (a call that waits for the next
//! changes) delivers each change once. While a leaf warms up, however, it changes its registration
//! with each heartbeat. When the whole system starts, or all leaves of a new index, more than a
//! thousand registrations change a second, again and again. An answer of the store contains at most
//! some 500 changes, so a VM that pauses between its calls, to keep their number low, receives
//! fewer changes than are made. It falls behind further and further, and a new version of the
//! routes waits behind the heartbeats.
//!
//! A VM that receives a full answer is therefore [behind](StoreSync::is_behind). It then reads the
//! registrations as they are instead of receiving every change to them, and watches only the routes
//! and the evacuations of failure domains between two reads. The cost of a read follows the number of leaves, whatever the rate of their
//! heartbeats. Once few changes were made between two reads, the VM watches all keys again.
//!
//! A read that may be outdated costs the store a tenth. The answers to the watches for the routes
//! are current, so their revisions tell how old such a read is. If it is too old, or its age is
//! unknown, the VM reads once more and requires current data.

use crate::core::store::freshness::Freshness;
use crate::prelude::*;

/// Number of changes from which on an answer to a watch counts as full. The store includes some 500
/// at most, and fewer if they are large.
pub const FULL_ANSWER_CHANGES: usize = 400;

/// Maximum number of changes to the store between two reads at which the VM watches all keys again;
/// clearly lower than [`FULL_ANSWER_CHANGES`], so that the first watch is not full again.
pub const MAX_QUIET_CHANGES: u64 = 200;

/// Maximum age of an outdated read, as a share of the time between two reads.
pub const MAX_READ_AGE_SHARE: f64 = 0.5;

/// How a VM learns of the next changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read all keys.
    ReadAll(Freshness),
    /// Watch all keys for changes after a revision.
    Watch(Revision),
    /// Read the registrations of all leaves.
    ReadLeaves,
}

/// Decides how the VM follows the store.
#[derive(Clone, Debug, Default)]
pub struct StoreSync {
    /// Revision of the store at the full answer or at the last read of the registrations, while the
    /// VM is behind; `None` while it is not behind.
    last_read: Option<Revision>,
    /// Last two revisions of the store from answers that are certainly not outdated, the older one
    /// first, while the VM is behind: that of the full answer, and those at the end of each pause
    /// between two reads.
    current_revisions: (Option<Revision>, Option<Revision>),
    /// Whether all keys have to be read because the VM has caught up. No change was lost, and the
    /// watch that follows delivers what an outdated read lacks.
    has_caught_up: bool,
}

impl StoreSync {
    /// Returns the next step. `as_of` is the revision up to which all changes are known; `None` if
    /// all keys have to be read.
    pub fn next(&self, as_of: Option<Revision>) -> Step {
        match as_of {
            None if self.has_caught_up => Step::ReadAll(Freshness::Outdated),
            None => Step::ReadAll(Freshness::Current),
            Some(_) if self.is_behind() => Step::ReadLeaves,
            Some(revision) => Step::Watch(revision),
        }
    }

    /// Returns whether the registrations change faster than a watch delivers them.
    pub fn is_behind(&self) -> bool {
        self.last_read.is_some()
    }

    /// Records the answer to a watch of all keys, which contains `changes` and is complete up to
    /// the revision `as_of`. Returns whether the VM is behind.
    pub fn on_changes(&mut self, changes: usize, as_of: Revision) -> bool {
        if changes >= FULL_ANSWER_CHANGES {
            self.last_read = Some(as_of);
            self.current_revisions = (None, Some(as_of));
        }
        self.has_caught_up = false;
        self.is_behind()
    }

    /// Records the current revision of the store at the end of a pause between two reads.
    pub fn on_pause_end(&mut self, revision: Revision) {
        self.current_revisions = (self.current_revisions.1, Some(revision));
    }

    /// Returns the lowest revision at which a read of the registrations is recent enough. The first
    /// read only has to include the full answer; the next one tells more about its age.
    pub fn min_read_revision(&self) -> Revision {
        let last = self.current_revisions.1.unwrap_or_default();
        let previous = self.current_revisions.0.unwrap_or(last);
        let changes = last.saturating_sub(previous) as f64;
        last.saturating_sub((changes * MAX_READ_AGE_SHARE) as Revision)
    }

    /// Records a read of the registrations at the revision `as_of`. Returns whether the VM has
    /// caught up; it then has to read all keys, as it has not received the changes to other keys.
    pub fn on_read(&mut self, as_of: Revision) -> bool {
        let Some(last_read) = self.last_read else {
            return false;
        };
        let has_caught_up = as_of.saturating_sub(last_read) <= MAX_QUIET_CHANGES;
        self.last_read = (!has_caught_up).then_some(as_of);
        self.has_caught_up = has_caught_up;
        has_caught_up
    }

    /// Records that all keys have to be read, because changes were lost.
    pub fn reset(&mut self) {
        *self = StoreSync::default();
    }
}
