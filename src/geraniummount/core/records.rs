//! A copy-on-write list of records, sorted by name. A record is a declared resource (a leaf or a
//! service) with the revision at which it was last changed.
//!
//! The list is divided into short sorted chunks. A clone shares all chunks with the original, and a
//! change to one record copies only the chunk that contains it, which bounds the number of records
//! copied per change. In JSON the list is a plain array.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::prelude::*;

/// Maximum number of records in a chunk.
const MAX_CHUNK_RECORDS: usize = 128;

/// A resource with a name, by which its record is sorted and looked up.
pub trait Named {
    /// Returns the name of the resource.
    fn name(&self) -> &str;
}

/// Records sorted by name, with at most one record per name.
#[derive(Clone, Debug)]
pub struct Records<T> {
    /// Chunks in name order; no chunk is empty.
    chunks: Vec<Chunk<T>>,
    /// Number of records in all chunks.
    len: usize,
}

type Chunk<T> = Arc<Vec<Arc<Record<T>>>>;

impl<T: Named> Records<T> {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over all records in name order.
    pub fn iter(&self) -> impl Iterator<Item = &Record<T>> {
        let records = self.chunks.iter().flat_map(|chunk| chunk.iter());
        records.map(|record| &**record)
    }

    /// Returns the record with the given name.
    pub fn get(&self, name: &str) -> Option<&Record<T>> {
        let chunk = self.chunks.get(self.chunk_index(name))?;
        let index = find_in_chunk(chunk, name).ok()?;
        Some(&chunk[index])
    }

    /// Inserts a record, replacing an existing record of the same name.
    pub fn put(&mut self, record: Record<T>) {
        if self.chunks.is_empty() {
            self.chunks.push(Arc::default());
        }
        let name = record.spec.name();
        let chunk_index = self.chunk_index(name).min(self.chunks.len() - 1);
        let chunk = Arc::make_mut(&mut self.chunks[chunk_index]);
        match find_in_chunk(chunk, name) {
            Ok(index) => chunk[index] = Arc::new(record),
            Err(index) => {
                chunk.insert(index, Arc::new(record));
                self.len += 1;
            }
        }
        if chunk.len() > MAX_CHUNK_RECORDS {
            let rest = chunk.split_off(MAX_CHUNK_RECORDS / 2);
            self.chunks.insert(chunk_index + 1, Arc::new(rest));
        }
    }

    /// Removes the record with the given name, if it exists.
    pub fn remove(&mut self, name: &str) {
        let chunk_index = self.chunk_index(name);
        let found = self
            .chunks
            .get(chunk_index)
            .map(|chunk| find_in_chunk(chunk, name));
        let Some(Ok(index)) = found else {
            return;
        };
        let chunk = Arc::make_mut(&mut self.chunks[chunk_index]);
        chunk.remove(index);
        self.len -= 1;
        if chunk.is_empty() {
            self.chunks.remove(chunk_index);
        }
    }

    /// Returns the index of the only chunk that can contain `name`. It equals the number of chunks
    /// if `name` is greater than all names.
    fn chunk_index(&self, name: &str) -> usize {
        let ends_before = |chunk: &Chunk<T>| {
            let last = chunk.last();
            last.is_some_and(|record| record.spec.name() < name)
        };
        self.chunks.partition_point(ends_before)
    }
}

fn find_in_chunk<T: Named>(chunk: &[Arc<Record<T>>], name: &str) -> Result<usize, usize> {
    chunk.binary_search_by(|record| record.spec.name().cmp(name))
}

impl<T> Default for Records<T> {
    fn default() -> Records<T> {
        Records {
            chunks: Vec::new(),
            len: 0,
        }
    }
}

impl<T: Named> FromIterator<Record<T>> for Records<T> {
    fn from_iter<I: IntoIterator<Item = Record<T>>>(records: I) -> Records<T> {
        let mut records: Vec<Record<T>> = records.into_iter().collect();
        records.sort_by(|a, b| a.spec.name().cmp(b.spec.name()));
        records.dedup_by(|a, b| a.spec.name() == b.spec.name());
        let len = records.len();
        let mut records = records.into_iter().map(Arc::new);
        let mut chunks = Vec::new();
        loop {
            let chunk: Vec<_> = records.by_ref().take(MAX_CHUNK_RECORDS).collect();
            if chunk.is_empty() {
                return Records { chunks, len };
            }
            chunks.push(Arc::new(chunk));
        }
    }
}

impl<T: Named + PartialEq> PartialEq for Records<T> {
    fn eq(&self, other: &Records<T>) -> bool {
        self.iter().eq(other.iter())
    }
}

impl<T: Eq + Named> Eq for Records<T> {}

impl<'de, T: Deserialize<'de> + Named> Deserialize<'de> for Records<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Records<T>, D::Error> {
        let records = Vec::<Record<T>>::deserialize(deserializer)?;
        Ok(records.into_iter().collect())
    }
}

impl<T: Named + Serialize> Serialize for Records<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}
