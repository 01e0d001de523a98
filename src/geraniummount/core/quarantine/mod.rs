//! Withholds requests that crash the leaves that run them.
//!
//! Load pattern: one request crashes each leaf that begins to run it, comes again and again through
//! any of hundreds of VMs, and each crash also ends the requests beside it. A VM sees few of the
//! crashes and can't tell the request from those beside it by a single one. The VMs therefore share
//! what they have seen in one list, and a request that was answered by any leaf is cleared: a
//! request that was only beside a crash is served by the next leaf, one that crashes leaves never
//! is. Requests are recognised by their [`Fingerprint`].
//!
//! From [`WITHHOLD_CRASHES`] crashes without an answer on, a request is refused without being sent,
//! for [`WITHHOLD_TIME`] after the last crash. After that it is sent to one leaf at a time (see
//! `core::call`), and one more crash withholds it again; after as long again, it is forgotten.
//!
//! Nothing here depends on the shared list: without it, each VM withholds by what it has seen
//! itself. A list that was lost is completed by any VM that remembers more than it contains. The
//! entries of two lists are merged by the union of their crashes and of their cleared crashes, so
//! that the order of merges does not matter.

mod entry;
mod record;

use std::time::{Duration, Instant};

use self::entry::Entry;
use crate::core::fingerprint::Fingerprint;

pub use self::record::{Record, merge_records};

/// Number of crashes without an answer from which on a request is withheld.
pub const WITHHOLD_CRASHES: usize = 3;

/// Number of crashes without an answer from which on a request is sent to one leaf at a time.
pub const UNPROVEN_CRASHES: usize = 2;

/// Time after the last crash for which a request is withheld.
pub const WITHHOLD_TIME: Duration = Duration::from_secs(5 * 60);

/// Time after the last crash after which a request is forgotten.
pub const MEMORY: Duration = Duration::from_secs(10 * 60);

/// Maximum number of requests that are remembered.
pub const MAX_REQUESTS: usize = 128;

/// Maximum number of crashes that are remembered of one request, and of cleared ones.
const MAX_CRASHES: usize = 8;

/// Maximum number of crashes that count of those that one arrival of a request causes. A search
/// crashes a leaf of each shard at once, which says little more than one crash.
const MAX_CRASHES_PER_ARRIVAL: usize = 2;

/// Run of a leaf, from its start until its end: the leaf's id and a mark that differs for each run.
pub type LeafRun = String;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent; this many crashes without an answer are known.
    Admitted(usize),
    /// It must not be sent, for this time.
    Withheld(Duration),
}

/// Requests during which leaves crashed, as this VM knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
    /// The shared list as it was last read, sorted by fingerprint.
    shared: Vec<Record>,
}

impl Quarantine {
    /// Returns whether no request is remembered, so that answers need not be recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are withheld.
    pub fn withheld_count(&self, now: Instant) -> usize {
        let withheld = self.entries.iter().filter(|entry| entry.is_withheld(now));
        withheld.count()
    }

    /// Returns whether a request may be sent.
    pub fn admission(&self, fingerprint: Fingerprint, now: Instant) -> Admission {
        let Some(entry) = self.entry(fingerprint).filter(|entry| !entry.is_over(now)) else {
            return Admission::Admitted(0);
        };
        match entry.withheld_for(now) {
            Some(wait) => Admission::Withheld(wait),
            None => Admission::Admitted(entry.crash_count().min(UNPROVEN_CRASHES)),
        }
    }

    /// Records the runs of leaves that crashed during one arrival of a request that no leaf has
    /// answered. Returns the number of crashes that are known now.
    pub fn record_crashes(
        &mut self,
        fingerprint: Fingerprint,
        runs: &[LeafRun],
        now: Instant,
    ) -> usize {
        self.forget_old(now);
        let entry = self.entry_or_insert(fingerprint, now);
        for run in runs.iter().take(MAX_CRASHES_PER_ARRIVAL) {
            entry.add_crash(run.clone());
        }
        entry.last_crash = now;
        let count = entry.crash_count();
        self.drop_excess();
        count
    }

    /// Records that a leaf has answered a request, which clears its crashes. Returns whether they
    /// were enough to matter to other VMs.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> bool {
        let Ok(index) = self.search(fingerprint) else {
            return false;
        };
        let entry = &mut self.entries[index];
        let matters = entry.crash_count() >= UNPROVEN_CRASHES;
        entry.clear(matters);
        let is_shared = self.shared.iter().any(|r| r.fingerprint == fingerprint);
        if !matters && !is_shared {
            self.entries.remove(index);
        }
        matters
    }

    /// Takes in the shared list as it was read at `now_ms` in milliseconds since the Unix epoch.
    pub fn merge(&mut self, records: Vec<Record>, now_ms: u64, now: Instant) {
        for record in &records {
            let age = record.age(now_ms);
            if age >= MEMORY {
                continue;
            }
            let last_crash = now.checked_sub(age).unwrap_or(now);
            let entry = self.entry_or_insert(record.fingerprint, last_crash);
            entry.merge(record, last_crash);
        }
        self.shared = records;
        self.shared.sort_by_key(|record| record.fingerprint);
        self.forget_old(now);
        self.drop_excess();
    }

    /// Returns the entries of which the shared list lacks something, as they should be added to it
    /// at `now_ms` in milliseconds since the Unix epoch.
    pub fn unshared(&self, now_ms: u64, now: Instant) -> Vec<Record> {
        let entries = self.entries.iter().filter(|entry| !entry.is_over(now));
        let lacking = entries.filter(|entry| {
            let order = |record: &Record| record.fingerprint.cmp(&entry.fingerprint);
            let index = self.shared.binary_search_by(order);
            entry.has_more_than(index.ok().map(|index| &self.shared[index]))
        });
        lacking.map(|entry| entry.to_record(now_ms, now)).collect()
    }

    /// Forgets the requests whose last crash is too long ago.
    pub fn forget_old(&mut self, now: Instant) {
        self.entries.retain(|entry| !entry.is_over(now));
    }

    /// Keeps [`MAX_REQUESTS`] requests, those with the most crashes and of these the latest.
    fn drop_excess(&mut self) {
        while self.entries.len() > MAX_REQUESTS {
            let entries = self.entries.iter().enumerate();
            let rank =
                |entry: &Entry| (entry.crash_count().min(WITHHOLD_CRASHES), entry.last_crash);
            let least = entries.min_by_key(|(_, entry)| rank(entry));
            let Some((index, _)) = least else { return };
            self.entries.remove(index);
        }
    }

    fn entry(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        let index = self.search(fingerprint).ok()?;
        Some(&self.entries[index])
    }

    fn entry_or_insert(&mut self, fingerprint: Fingerprint, last_crash: Instant) -> &mut Entry {
        let index = self.search(fingerprint).unwrap_or_else(|index| {
            self.entries
                .insert(index, Entry::new(fingerprint, last_crash));
            index
        });
        &mut self.entries[index]
    }

    fn search(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }
}
