//! What is known of one request during which leaves crashed, as the VMs share it.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::crash::{self, Crash};
use super::{MAX_REQUESTS, MEMORY, UNPROVEN_CRASHES, WITHHOLD_CRASHES};
use crate::core::fingerprint::Fingerprint;

/// Maximum number of crashes that are remembered of one request.
const MAX_CRASHES: usize = 12;

/// Time after an answer for which crashes do not count, in milliseconds. A frequent request is
/// beside many crashes while another one crashes all leaves of its service again and again.
const TRUST_MS: u64 = 5_000;

/// Difference of two clocks below which two times count as the same.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(10);

/// A request during which leaves crashed. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Fingerprint of the request, as hexadecimal text.
    #[serde(serialize_with = "write_hex", deserialize_with = "read_hex")]
    pub fingerprint: Fingerprint,
    /// Crashes, sorted by time.
    pub crashes: Vec<Crash>,
    /// When the last leaf crashed.
    pub last_crash_ms: u64,
    /// When a leaf last answered the request, which clears all crashes before and shortly after; 0
    /// if none did.
    pub answered_ms: u64,
}

impl Record {
    pub(super) fn new(fingerprint: Fingerprint) -> Record {
        Record {
            fingerprint,
            crashes: Vec::new(),
            last_crash_ms: 0,
            answered_ms: 0,
        }
    }

    /// Returns the number of crashes that count.
    pub(super) fn crash_count(&self) -> usize {
        crash::count(&self.crashes)
    }

    /// Returns the time since the last crash; zero if the clock of its VM is ahead.
    pub(super) fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.last_crash_ms))
    }

    /// Adds a crash, unless it was cleared, that of the same run is known, or enough are known.
    pub(super) fn add_crash(&mut self, crash: Crash) {
        let is_known = |known: &Crash| *known == crash || known.is_same_run(&crash);
        if self.is_cleared(&crash) || self.crashes.iter().any(is_known) {
            return;
        }
        self.last_crash_ms = self.last_crash_ms.max(crash.at_ms);
        if self.crash_count() >= WITHHOLD_CRASHES {
            return;
        }
        let index = self.crashes.partition_point(|c| c.at_ms <= crash.at_ms);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_crash();
        }
    }

    /// Drops the last crash without which the others count as much, or the first if there is none.
    fn drop_crash(&mut self) {
        let count = self.crash_count();
        let is_dispensable = |index: &usize| {
            let mut others = self.crashes.clone();
            others.remove(*index);
            crash::count(&others) == count
        };
        let index = (0..self.crashes.len()).rev().find(is_dispensable);
        self.crashes.remove(index.unwrap_or_default());
    }

    /// Clears the crashes before an answer of a leaf and shortly after.
    pub(super) fn clear(&mut self, answered_ms: u64) {
        self.answered_ms = self.answered_ms.max(answered_ms);
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| !self.is_cleared(crash));
        self.crashes = crashes;
    }

    fn is_cleared(&self, crash: &Crash) -> bool {
        self.answered_ms > 0 && crash.at_ms <= self.answered_ms.saturating_add(TRUST_MS)
    }

    /// Takes in another record of the same request.
    pub(super) fn merge(&mut self, other: &Record) {
        self.clear(other.answered_ms);
        for crash in &other.crashes {
            self.add_crash(crash.clone());
        }
        self.last_crash_ms = self.last_crash_ms.max(other.last_crash_ms);
    }

    /// Returns whether the record tells more than another one of the same request.
    pub(super) fn tells_more_than(&self, other: &Record) -> bool {
        let mut merged = other.clone();
        merged.merge(self);
        let (count, known) = (merged.crash_count(), other.crash_count());
        let is_cleared = count < known && known >= UNPROVEN_CRASHES;
        let gained = self.last_crash_ms.saturating_sub(other.last_crash_ms);
        let is_later = Duration::from_millis(gained) > CLOCK_TOLERANCE;
        count > known || is_cleared || (count > 0 && is_later)
    }
}

/// Adds records to a shared list, and drops those that are too old or too many. `now_ms` is the
/// time in milliseconds since the Unix epoch.
pub fn merge_records(list: Vec<Record>, added: &[Record], now_ms: u64) -> Vec<Record> {
    let mut merged = list;
    for record in added {
        let mut known = merged.iter_mut();
        match known.find(|known| known.fingerprint == record.fingerprint) {
            Some(known) => known.merge(record),
            None => merged.push(record.clone()),
        }
    }
    merged.retain(|record| record.age(now_ms) < MEMORY);
    merged.sort_by_key(|record| Reverse((record.crash_count(), record.last_crash_ms)));
    merged.truncate(MAX_REQUESTS);
    merged.sort_by_key(|record| record.fingerprint);
    merged
}

fn write_hex<S: Serializer>(fingerprint: &Fingerprint, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{fingerprint:032x}"))
}

fn read_hex<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Fingerprint, D::Error> {
    let text = String::deserialize(deserializer)?;
    Fingerprint::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}
