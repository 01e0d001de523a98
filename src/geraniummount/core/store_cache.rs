//! The keys under one prefix of the platform's store, as last heard.
//!
//! Load pattern: changes come as events, at times after a gap in which the
//! history was lost, and reads may be older than events that came before. Each
//! key has a revision; what is older than what is known is ignored, so that
//! nothing goes back.

use crate::prelude::*;

/// The keys under one prefix.
#[derive(Debug, Default)]
pub struct StoreCache {
    /// Sorted by key.
    records: Vec<Record>,
    /// Revision up to which all changes are known.
    as_of: Option<Revision>,
    /// Largest revision that was ever known.
    max_revision: Revision,
}

#[derive(Debug, Eq, PartialEq)]
struct Record {
    key: String,
    revision: Revision,
    value: Vec<u8>,
}

impl StoreCache {
    /// Returns from where to go on; `None` where all keys have to be read.
    pub fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// Returns whether the store, at a revision, has changes that are not known.
    pub fn is_behind(&self, revision: Revision) -> bool {
        self.as_of.is_some_and(|known| known < revision)
    }

    /// Forgets from where to go on, but no key.
    pub fn clear_as_of(&mut self) {
        self.as_of = None;
    }

    /// Takes over all keys, read at a revision. Keys that changed since are
    /// kept as they are. Returns whether the answer was as new as what is known.
    pub fn replace(
        &mut self,
        records: impl IntoIterator<Item = (String, Revision, Vec<u8>)>,
        as_of: Revision,
    ) -> bool {
        if as_of < self.max_revision {
            return false;
        }
        let records = records.into_iter().map(|(key, revision, value)| Record {
            key,
            revision,
            value,
        });
        self.records = records.collect();
        self.records.sort_by(|a, b| a.key.cmp(&b.key));
        self.advance(as_of);
        true
    }

    /// Takes a written key; returns whether it is news.
    pub fn put(&mut self, key: String, revision: Revision, value: Vec<u8>) -> bool {
        self.max_revision = self.max_revision.max(revision);
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

    /// Takes a removed key; returns whether it is news.
    pub fn remove(&mut self, key: &str, revision: Revision) -> bool {
        self.max_revision = self.max_revision.max(revision);
        match self.search(key) {
            Ok(index) if self.records[index].revision < revision => {
                self.records.remove(index);
                true
            }
            _ => false,
        }
    }

    /// Notes that all changes up to a revision are known.
    pub fn advance(&mut self, as_of: Revision) {
        self.max_revision = self.max_revision.max(as_of);
        self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
    }

    /// Returns a key's revision and value.
    pub fn get(&self, key: &str) -> Option<(Revision, &[u8])> {
        let record = &self.records[self.search(key).ok()?];
        Some((record.revision, &record.value))
    }

    /// Returns all keys with their values, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let records = self.records.iter();
        records.map(|record| (record.key.as_str(), record.value.as_slice()))
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.key.as_str().cmp(key))
    }
}
