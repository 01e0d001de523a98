//! Time for which the keys of the configuration in force may be trusted.

use std::time::Duration;

use super::{Confirmation, Read, Source, Statement};
use crate::core::boot_time::BootTime;
use crate::prelude::*;

/// Maximum number of reads that wait until their revision is in force. Older ones are dropped, as a
/// newer one confirms more.
const MAX_PENDING: usize = 8;

/// Time for which the keys of the configuration in force may be trusted.
#[derive(Debug)]
pub struct Lease {
    /// Time after the begin of a confirmation for which keys may be trusted.
    duration: Duration,
    /// Confirmation that began last; `None` if there is none.
    newest: Option<Confirmation>,
    /// Reads whose revision is not in force yet.
    pending: Vec<Read>,
    /// Newest era of the store that is known.
    era: Era,
    /// Newest version of the configuration that another VM has in force, since the store has come
    /// back from an older copy, which may lack that version.
    required_version: u64,
    /// Revision in this era up to which all changes of the configuration are in force; `None` until
    /// everything has been read in this era.
    applied: Option<Revision>,
}

impl Lease {
    /// Creates a lease without a confirmation. A confirmation permits the use of keys for
    /// `duration` after it was begun.
    pub fn new(duration: Duration) -> Lease {
        Lease {
            duration,
            newest: None,
            pending: Vec::new(),
            era: 0,
            required_version: 0,
            applied: None,
        }
    }

    /// Returns whether the keys of a version of the configuration, which is in force, may be
    /// trusted.
    pub fn is_valid(&self, version: u64, now: BootTime) -> bool {
        let is_recent = self.age(now).is_some_and(|age| age <= self.duration);
        is_recent && version >= self.required_version
    }

    /// Returns the oldest version of the configuration whose keys may be trusted.
    pub fn required_version(&self) -> u64 {
        self.required_version
    }

    /// Returns the time since the newest confirmation began; `None` if there is none.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        let began = self.newest?.began;
        Some(now.saturating_duration_since(began))
    }

    /// Returns the newest confirmation; `None` if there is none.
    pub fn newest(&self) -> Option<Confirmation> {
        self.newest
    }

    /// Returns whether a read waits until its revision is in force.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether everything has been read in this era, without which no read of the store's
    /// revision counts.
    pub fn is_complete(&self) -> bool {
        self.applied.is_some()
    }

    /// Returns the newest era of the store that is known.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records a current read of the store's revision. It counts once the configuration in force
    /// includes all changes up to that revision. Returns whether a newer confirmation counts now.
    pub fn on_read(&mut self, read: Read) -> bool {
        self.on_era(read.era);
        if read.era < self.era {
            return false;
        }
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(read);
        self.count_pending()
    }

    /// Records that all changes of the configuration up to a revision are in force. Returns whether
    /// a newer confirmation counts now.
    pub fn on_applied(&mut self, era: Era, revision: Revision) -> bool {
        self.on_era(era);
        if era < self.era {
            return false;
        }
        self.applied = self.applied.max(Some(revision));
        self.count_pending()
    }

    /// Records an era of the store. In a newer one, revisions are given out again, so all
    /// confirmations are void until everything has been read.
    pub fn on_era(&mut self, era: Era) {
        if era > self.era {
            self.era = era;
            self.newest = None;
            self.applied = None;
            self.pending.clear();
        }
    }

    /// Records what another VM states in answer to a question that was sent at `asked_at`.
    /// `version` is that of the configuration in force. Returns whether a newer confirmation counts
    /// now. Versions of different eras can't be compared, as the number of a version that the store
    /// has lost may be given out again.
    pub fn on_statement(&mut self, asked_at: BootTime, statement: Statement, version: u64) -> bool {
        if self.era.max(statement.era) > 0 {
            self.required_version = self.required_version.max(statement.version);
        }
        let Some(age) = statement.age.filter(|age| *age <= self.duration) else {
            return false;
        };
        let is_comparable = statement.version == version && statement.era == self.era;
        let is_comparable = is_comparable && self.applied.is_some();
        // The clock can't express a time before the start of the machine.
        if !is_comparable || asked_at < BootTime::new(age) {
            return false;
        }
        self.confirm(Confirmation {
            began: asked_at.saturating_sub(age),
            source: Source::Peer,
        })
    }

    /// Counts the pending reads whose revision is in force.
    fn count_pending(&mut self) -> bool {
        let Some(applied) = self.applied else {
            return false;
        };
        let is_reached = |read: &Read| read.revision <= applied;
        let reached = self.pending.iter().filter(|read| is_reached(read));
        let newest = reached.map(|read| read.began).max();
        self.pending.retain(|read| !is_reached(read));
        newest.is_some_and(|began| {
            self.confirm(Confirmation {
                began,
                source: Source::Store,
            })
        })
    }

    fn confirm(&mut self, confirmation: Confirmation) -> bool {
        let is_newer = self
            .newest
            .is_none_or(|newest| newest.began < confirmation.began);
        if is_newer {
            self.newest = Some(confirmation);
        }
        is_newer
    }
}
