//! A VM's local copy of the log of accepted changes.
//!
//! The authoritative log is kept in the platform's key-value service. A revision is a position in
//! the log. The entry of revision n is stored in slot n modulo [`LOG_SLOTS`] (the slots are a ring
//! of keys, which later entries overwrite) and written by compare-and-swap. A checkpoint, the whole
//! configuration at one revision, is written every [`REVISIONS_PER_CHECKPOINT`] revisions, which
//! allows the slots of the entries that it covers to be reused. The local copy accepts entries from
//! any source, but only in revision order, and its revision never decreases. A [`Catalog`] is a
//! whole configuration, with every resource at one revision.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::core::config::change::Entry;
use crate::prelude::*;

/// Number of slots that the log has in the platform's key-value service.
pub const LOG_SLOTS: u64 = 1_024;
/// Number of revisions from one checkpoint to the next.
pub const REVISIONS_PER_CHECKPOINT: u64 = 256;
/// Number of recent entries kept to bring lagging peers up to date.
const MAX_TAIL_ENTRIES: usize = 512;

/// Configuration in force on this VM and the most recent changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Configuration in force.
    catalog: Arc<Catalog>,
    /// Most recent entries without a gap, up to the one of the revision in force.
    tail: VecDeque<Arc<Entry>>,
    /// Newest configuration seen whose revision is a multiple of [`REVISIONS_PER_CHECKPOINT`].
    checkpoint: Option<Arc<Catalog>>,
}

/// Update that brings a lagging VM to a newer revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Revision that the receiver has after it merged the update.
    pub revision: Revision,
    /// Whole configuration, if the kept entries do not reach back to the receiver's revision.
    pub catalog: Option<Arc<Catalog>>,
    /// Entries in revision order.
    pub entries: Vec<Arc<Entry>>,
}

impl ChangeLog {
    /// Returns the configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.catalog.revision
    }

    /// Returns the newest configuration whose revision requires a checkpoint; `None` if this VM has
    /// not had one yet.
    pub fn checkpoint(&self) -> Option<&Arc<Catalog>> {
        self.checkpoint.as_ref()
    }

    /// Returns the entry of a revision, or `None` if it is no longer kept.
    pub fn entry(&self, revision: Revision) -> Option<&Arc<Entry>> {
        let first = self.tail.front()?.revision;
        let index = revision.checked_sub(first)?;
        self.tail.get(usize::try_from(index).ok()?)
    }

    /// Appends and applies an entry if it directly follows the revision in force; ignores any
    /// other entry. Returns whether the entry was applied.
    pub fn append(&mut self, entry: impl Into<Arc<Entry>>) -> bool {
        let entry = entry.into();
        if entry.revision != self.revision() + 1 {
            return false;
        }
        Arc::make_mut(&mut self.catalog).apply(&entry);
        self.tail.push_back(entry);
        if self.tail.len() > MAX_TAIL_ENTRIES {
            self.tail.pop_front();
        }
        if self.revision().is_multiple_of(REVISIONS_PER_CHECKPOINT) {
            self.checkpoint = Some(Arc::clone(&self.catalog));
        }
        true
    }

    /// Replaces the configuration and drops the kept entries if `catalog` is newer. Returns whether
    /// the configuration was replaced.
    pub fn install_catalog(&mut self, catalog: impl Into<Arc<Catalog>>) -> bool {
        let catalog = catalog.into();
        if catalog.revision <= self.revision() {
            return false;
        }
        self.catalog = catalog;
        self.tail.clear();
        if self.revision().is_multiple_of(REVISIONS_PER_CHECKPOINT) {
            self.checkpoint = Some(Arc::clone(&self.catalog));
        }
        true
    }

    /// Merges an update from another VM. Returns whether the revision increased.
    pub fn merge(&mut self, delta: Delta) -> bool {
        let before = self.revision();
        if let Some(catalog) = delta.catalog {
            self.install_catalog(catalog);
        }
        for entry in delta.entries {
            self.append(entry);
        }
        self.revision() > before
    }

    /// Returns the update that a VM at `revision` needs.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        let missing = self.revision().saturating_sub(revision);
        if missing <= self.tail.len() as u64 {
            let skipped = self.tail.len() - missing as usize;
            return Delta {
                revision: self.revision(),
                catalog: None,
                entries: self.tail.iter().skip(skipped).cloned().collect(),
            };
        }
        Delta {
            revision: self.revision(),
            catalog: Some(Arc::clone(&self.catalog)),
            entries: Vec::new(),
        }
    }
}
