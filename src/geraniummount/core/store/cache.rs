//! Caches the keys under one prefix of the platform's store, the key-value store that the users
//! run.
//!
//! Load pattern: changes arrive as events, sometimes after a gap in which the history was lost, and
//! a read may return older data than events that were received before. Each key has a revision (the
//! store's revision at its last change), and data older than the cached data is ignored. The cache
//! therefore never goes back to an older state. A watch is a call that waits for the next change
//! after a revision.
//!
//! After an outage, the store may come back from a copy of itself that is some seconds old. Its
//! revisions then go back and are given out again, so they can't be compared with earlier ones. The
//! store states in its answers how often this has happened, which is its era. With a higher era, all
//! keys have to be read again; an answer of a lower era is late and says nothing.

use crate::prelude::*;

/// Cache of the keys under one prefix.
#[derive(Debug, Default)]
pub struct StoreCache {
    /// Sorted by key.
    records: Vec<Record>,
    /// Revision up to which all changes are known; `None` if all keys have to be read.
    as_of: Option<Revision>,
    /// Highest revision up to which a read or a watch in this era was complete.
    max_revision: Revision,
    /// Era of the store; `None` if no answer has stated it.
    era: Option<Era>,
}

/// Era of an answer of the store, compared with that of the cached data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEra {
    /// The answer is of the same era.
    Current,
    /// The store has come back from an older copy of itself since the cached data was received.
    Newer,
    /// The answer is late: the store has come back from an older copy of itself since.
    Older,
}

/// A cached key with its value.
#[derive(Debug, Eq, PartialEq)]
struct Record {
    key: String,
    /// Revision of the store at the last change of the key.
    revision: Revision,
    value: Vec<u8>,
}

impl StoreCache {
    /// Returns the era of the store; 0 if it is unknown.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Compares the era of an answer with that of the cached data. If it is newer, all revisions of
    /// before are void: all keys have to be read, and the cached keys stay until then. An answer
    /// that states no era counts as one of the same era.
    pub fn observe_era(&mut self, era: Option<Era>) -> AnswerEra {
        match (self.era, era) {
            (_, None) => AnswerEra::Current,
            (None, Some(_)) => {
                self.era = era;
                AnswerEra::Current
            }
            (Some(known), Some(era)) if era < known => AnswerEra::Older,
            (Some(known), Some(era)) if era == known => AnswerEra::Current,
            _ => {
                self.era = era;
                self.as_of = None;
                self.max_revision = 0;
                AnswerEra::Newer
            }
        }
    }

    /// Returns the revision to watch from, or `None` if all keys have to be read.
    pub fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// Returns whether the store's `revision` includes changes that the cache lacks.
    pub fn is_behind(&self, revision: Revision) -> bool {
        self.as_of.is_some_and(|known| known < revision)
    }

    /// Returns whether the cache contains changes that a read at `revision` may lack.
    pub fn is_newer_than(&self, revision: Revision) -> bool {
        revision < self.max_revision
    }

    /// Clears the revision to watch from, so that all keys have to be read, and keeps the cached
    /// keys.
    pub fn clear_as_of(&mut self) {
        self.as_of = None;
    }

    /// Replaces the cached keys with all keys of the store, read at revision `as_of`, which becomes
    /// the revision to watch from.
    ///
    /// Returns `false` and changes nothing if the read is older than the cached data.
    pub fn replace(
        &mut self,
        records: impl IntoIterator<Item = (String, Revision, Vec<u8>)>,
        as_of: Revision,
    ) -> bool {
        let is_replaced = self.replace_under("", None, records, as_of);
        if is_replaced {
            self.advance(as_of);
        }
        is_replaced
    }

    /// Replaces the cached keys that begin with `prefix`, up to the key `end` if there is one, with
    /// the keys of the store, read at revision `as_of`. The cached keys after `end` stay, unless the
    /// read contains newer states of them. The revision to watch from stays, as other keys may have
    /// changed.
    ///
    /// Returns `false` and changes nothing if the read is older than the cached data.
    pub fn replace_under(
        &mut self,
        prefix: &str,
        end: Option<&str>,
        records: impl IntoIterator<Item = (String, Revision, Vec<u8>)>,
        as_of: Revision,
    ) -> bool {
        if self.is_newer_than(as_of) {
            return false;
        }
        self.max_revision = as_of;
        let records = records.into_iter().map(|(key, revision, value)| Record {
            key,
            revision,
            value,
        });
        let is_replaced = |record: &Record| {
            let is_read = end.is_none_or(|end| record.key.as_str() <= end);
            is_read && record.key.starts_with(prefix)
        };
        self.records.retain(|record| !is_replaced(record));
        self.records.extend(records);
        self.sort();
        true
    }

    /// Sorts the records, and keeps the newest one of each key: pages of a read may overlap.
    fn sort(&mut self) {
        self.records
            .sort_by(|a, b| (&a.key, a.revision).cmp(&(&b.key, b.revision)));
        self.records.dedup_by(|newer, kept| {
            let is_same = newer.key == kept.key;
            if is_same {
                std::mem::swap(newer, kept);
            }
            is_same
        });
    }

    /// Stores a written key; returns whether it was newer than the cached one.
    pub fn put(&mut self, key: String, revision: Revision, value: Vec<u8>) -> bool {
        let record = Record {
            key,
            revision,
            value,
        };
        match self.search(&record.key) {
            Ok(index) if self.records[index].revision >= revision => false,
            Ok(index) => {
                self.records[index] = record;
                true
            }
            Err(index) => {
                self.records.insert(index, record);
                true
            }
        }
    }

    /// Removes a key; returns whether it was cached with an older revision.
    pub fn remove(&mut self, key: &str, revision: Revision) -> bool {
        match self.search(key) {
            Ok(index) if self.records[index].revision < revision => {
                self.records.remove(index);
                true
            }
            _ => false,
        }
    }

    /// Records that all changes up to a revision are known.
    pub fn advance(&mut self, as_of: Revision) {
        self.max_revision = self.max_revision.max(as_of);
        self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
    }

    /// Returns the revision and the value of a key.
    pub fn get(&self, key: &str) -> Option<(Revision, &[u8])> {
        let record = &self.records[self.search(key).ok()?];
        Some((record.revision, &record.value))
    }

    /// Returns the keys that begin with `prefix`, each with its revision and its value, sorted by
    /// key.
    pub fn iter_under(&self, prefix: &str) -> impl Iterator<Item = (&str, Revision, &[u8])> {
        let first = self
            .records
            .partition_point(|record| record.key.as_str() < prefix);
        let records = self.records[first..].iter();
        let records = records.take_while(move |record| record.key.starts_with(prefix));
        records.map(|record| {
            (
                record.key.as_str(),
                record.revision,
                record.value.as_slice(),
            )
        })
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.key.as_str().cmp(key))
    }
}
