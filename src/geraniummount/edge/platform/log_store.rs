//! Storage of the change log and its checkpoints in the platform's key-value service.
//!
//! The log contains all accepted changes to resources, and the position of a change is its
//! revision. A checkpoint is the whole configuration at one revision. It is stored so that entries
//! of the log can be overwritten: the log is stored under a ring of keys, its slots, which later
//! entries overwrite.
//!
//! - `log/{n modulo LOG_SLOTS}`: entry of revision n, as JSON.
//! - `checkpoint`: manifest of the current checkpoint (its revision, number of parts and hash), as
//!   JSON.
//! - `checkpoint/{area}/{part}`: part of a checkpoint's JSON, preceded by a line with the revision.
//!   Successive checkpoints use the areas in rotation. A part is only replaced by one of a higher
//!   revision, and a checkpoint of a given revision has the same bytes on every VM. Concurrent
//!   writers can therefore not mix parts of different checkpoints.

use std::time::Duration;

use log::warn;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Platform, PutOutcome, Value, WatchOutcome};
use crate::core::config::change::Entry;
use crate::core::config::change_log::{LOG_SLOTS, REVISIONS_PER_CHECKPOINT};
use crate::core::config::proposal::{Append, Slot, WriteOutcome};
use crate::prelude::*;

/// Key of the manifest.
const MANIFEST_KEY: &str = "checkpoint";
/// Number of areas, and thus of checkpoints whose parts are stored at the same time.
const AREAS: u64 = 4;
/// Maximum number of bytes of a checkpoint in one value, that is, in one part.
const MAX_PART_BYTES: usize = 512 * 1024;
/// Maximum number of attempts to load a checkpoint that is replaced during the read.
const MAX_LOAD_ATTEMPTS: usize = 3;

/// Client of the change log in the platform's key-value service.
#[derive(Clone, Debug)]
pub struct LogStore {
    platform: Platform,
}

/// Manifest of the current checkpoint.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Manifest {
    revision: Revision,
    /// Number of parts of the checkpoint.
    parts: usize,
    /// Hash of the checkpoint's JSON.
    hash: u64,
}

impl LogStore {
    /// Creates a store on the platform's key-value service.
    pub fn new(platform: Platform) -> LogStore {
        LogStore { platform }
    }

    /// Reads the slot of a revision, whose entry may be of another revision; `None` if the service
    /// did not answer or the entry cannot be decoded.
    pub fn read(&self, revision: Revision) -> Option<Slot> {
        parse_slot(self.platform.get(&slot_key(revision))?)
    }

    /// Waits up to `wait` for the slot of a revision to change from `version`. Returns `Some(None)`
    /// if it did not change, and `None` as [`LogStore::read`] does.
    pub fn watch(&self, revision: Revision, version: u64, wait: Duration) -> Option<Option<Slot>> {
        match self.platform.watch(&slot_key(revision), version, wait)? {
            WatchOutcome::Unchanged => Some(None),
            WatchOutcome::Changed(value) => parse_slot(value).map(Some),
        }
    }

    /// Writes an entry to its slot if the slot still has the expected version.
    pub fn append(&self, append: &Append) -> WriteOutcome {
        let Ok(body) = serde_json::to_vec(&append.entry) else {
            return WriteOutcome::Refused;
        };
        let key = slot_key(append.entry.revision);
        match self.platform.put(&key, append.version, &body) {
            PutOutcome::Done(_) => WriteOutcome::Done,
            PutOutcome::Mismatch => WriteOutcome::Mismatch,
            PutOutcome::Unknown => WriteOutcome::Unknown,
            PutOutcome::Refused | PutOutcome::Limited => WriteOutcome::Refused,
        }
    }

    /// Returns the revision of the current checkpoint; 0 if there is no checkpoint, and `None` if
    /// the service did not answer or the manifest cannot be decoded.
    pub fn checkpoint_revision(&self) -> Option<Revision> {
        let (_, manifest) = self.read_manifest()?;
        Some(manifest.revision)
    }

    /// Loads the current checkpoint, or an empty configuration if there is none. `None` if the
    /// service did not answer or the checkpoint could not be read.
    pub fn load_checkpoint(&self) -> Option<Catalog> {
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let (_, manifest) = self.read_manifest()?;
            if manifest.revision == 0 {
                return Some(Catalog::default());
            }
            if let Some(catalog) = self.load_parts(&manifest)? {
                return Some(catalog);
            }
        }
        warn!("platform: failed to load the checkpoint; retrying later");
        None
    }

    /// Writes a checkpoint unless the current one is at least as new. Returns `Some` if the current
    /// checkpoint is known to be at least as new afterwards.
    pub fn save_checkpoint(&self, catalog: &Catalog) -> Option<()> {
        let (version, manifest) = self.read_manifest()?;
        if manifest.revision >= catalog.revision {
            return Some(());
        }
        let json = serde_json::to_vec(catalog).ok()?;
        let parts: Vec<&[u8]> = json.chunks(MAX_PART_BYTES).collect();
        for (index, part) in parts.iter().enumerate() {
            self.save_part(catalog.revision, index, part)?;
        }
        let manifest = Manifest {
            revision: catalog.revision,
            parts: parts.len(),
            hash: xxh3_64(&json),
        };
        let body = serde_json::to_vec(&manifest).ok()?;
        match self.platform.put(MANIFEST_KEY, version, &body) {
            PutOutcome::Done(_) => Some(()),
            PutOutcome::Mismatch
            | PutOutcome::Unknown
            | PutOutcome::Refused
            | PutOutcome::Limited => None,
        }
    }

    /// Reads the manifest and the version of its value; an empty one if there is no checkpoint.
    fn read_manifest(&self) -> Option<(u64, Manifest)> {
        let value = self.platform.get(MANIFEST_KEY)?;
        if value.version == 0 {
            return Some((0, Manifest::default()));
        }
        let manifest = serde_json::from_slice(&value.body);
        manifest.ok().map(|manifest| (value.version, manifest))
    }

    /// Reads the parts of a checkpoint; `Some(None)` if they were replaced during the read or are
    /// not valid, and `None` if the service did not answer.
    fn load_parts(&self, manifest: &Manifest) -> Option<Option<Catalog>> {
        let mut json = Vec::new();
        for index in 0..manifest.parts {
            let value = self.platform.get(&part_key(manifest.revision, index))?;
            match split_part(&value.body) {
                Some((revision, part)) if revision == manifest.revision => {
                    json.extend_from_slice(part);
                }
                _ => return Some(None),
            }
        }
        if xxh3_64(&json) != manifest.hash {
            return Some(None);
        }
        Some(serde_json::from_slice(&json).ok())
    }

    /// Writes a part unless the stored one is at least as new; `None` if the write is not
    /// confirmed.
    fn save_part(&self, revision: Revision, index: usize, part: &[u8]) -> Option<()> {
        let key = part_key(revision, index);
        let present = self.platform.get(&key)?;
        if split_part(&present.body).is_some_and(|(known, _)| known >= revision) {
            return Some(());
        }
        let mut body = format!("{revision}\n").into_bytes();
        body.extend_from_slice(part);
        match self.platform.put(&key, present.version, &body) {
            PutOutcome::Done(_) => Some(()),
            PutOutcome::Mismatch
            | PutOutcome::Unknown
            | PutOutcome::Refused
            | PutOutcome::Limited => None,
        }
    }
}

fn slot_key(revision: Revision) -> String {
    format!("log/{}", revision % LOG_SLOTS)
}

fn part_key(revision: Revision, index: usize) -> String {
    let area = revision / REVISIONS_PER_CHECKPOINT % AREAS;
    format!("checkpoint/{area}/{index}")
}

/// Splits a stored part into the revision in its first line and the bytes of the checkpoint.
fn split_part(body: &[u8]) -> Option<(Revision, &[u8])> {
    let end = body.iter().position(|byte| *byte == b'\n')?;
    let revision = std::str::from_utf8(&body[..end]).ok()?.parse().ok()?;
    Some((revision, &body[end + 1..]))
}

fn parse_slot(value: Value) -> Option<Slot> {
    if value.version == 0 {
        return Some(Slot {
            version: 0,
            entry: None,
        });
    }
    let entry: Result<Entry, _> = serde_json::from_slice(&value.body);
    if let Err(error) = &entry {
        warn!("platform: failed to decode a log entry: {error}");
    }
    Some(Slot {
        version: value.version,
        entry: Some(entry.ok()?),
    })
}
