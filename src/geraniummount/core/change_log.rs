//! One VM's copy of the log of accepted changes.
//!
//! The log itself stands in the platform's service: the entry of revision n
//! is a value in slot n modulo [`LOG_SLOTS`], created by compare-and-swap, and a
//! checkpoint of the whole configuration is written every
//! [`REVISIONS_PER_CHECKPOINT`] revisions, so that slots can be used again. This copy
//! takes entries in their order only, from whichever source they come, and
//! its revision never falls.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::core::change::Entry;
use crate::prelude::*;

/// Slots of the log in the platform's service.
pub const LOG_SLOTS: u64 = 1_024;
/// Revisions from one checkpoint to the next.
pub const REVISIONS_PER_CHECKPOINT: u64 = 256;
/// Entries that are kept for peers that lag.
const MAX_TAIL_ENTRIES: usize = 512;

/// Configuration in force on this VM and the changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    catalog: Arc<Catalog>,
    tail: VecDeque<Arc<Entry>>,
    checkpoint: Option<Arc<Catalog>>,
}

/// What a VM that lags needs to catch up.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Revision after taking it in.
    pub revision: Revision,
    /// Whole configuration, where single entries do not reach back enough.
    pub catalog: Option<Arc<Catalog>>,
    /// Entries in their order.
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

    /// Returns the newest configuration that is due to be a checkpoint.
    pub fn checkpoint(&self) -> Option<&Arc<Catalog>> {
        self.checkpoint.as_ref()
    }

    /// Returns the entry of a revision if it is still kept.
    pub fn entry(&self, revision: Revision) -> Option<&Arc<Entry>> {
        let first = self.tail.front()?.revision;
        let index = revision.checked_sub(first)?;
        self.tail.get(usize::try_from(index).ok()?)
    }

    /// Takes in an entry; only the one that follows the revision in force
    /// has an effect. Returns whether it had.
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

    /// Takes in a whole configuration if it is newer. Returns whether it was.
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

    /// Takes in what another VM gave. Returns whether the revision grew.
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

    /// Returns what a VM at `revision` lacks.
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
