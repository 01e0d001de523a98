//! Entry of the list of requests during which leaves crashed, as the VMs share it.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::entry;
use super::{LeafRun, MAX_REQUESTS, MEMORY, WITHHOLD_CRASHES};
use crate::core::fingerprint::Fingerprint;

/// A request during which leaves crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Fingerprint of the request, as hexadecimal text.
    #[serde(serialize_with = "write_hex", deserialize_with = "read_hex")]
    pub fingerprint: Fingerprint,
    /// Runs of leaves that crashed while they ran the request, the latest last.
    pub crashed: Vec<LeafRun>,
    /// Runs whose crash does not count, because a leaf has answered the request since.
    pub cleared: Vec<LeafRun>,
    /// Time of the last crash in milliseconds since the Unix epoch.
    pub last_crash_ms: u64,
}

impl Record {
    /// Returns the time since the last crash; zero if the clock of its VM is ahead.
    pub(super) fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.last_crash_ms))
    }

    /// Returns the number of crashes that count.
    fn crash_count(&self) -> usize {
        let mut crashed = self.crashed.clone();
        crashed.retain(|run| !self.cleared.contains(run));
        crashed.len()
    }

    fn merge(&mut self, other: Record) {
        for run in other.crashed {
            entry::add(&mut self.crashed, run);
        }
        for run in other.cleared {
            entry::add(&mut self.cleared, run);
        }
        self.last_crash_ms = self.last_crash_ms.max(other.last_crash_ms);
    }
}

/// Adds records to a shared list, and drops those that are too old or too many. `now_ms` is the time
/// in milliseconds since the Unix epoch.
pub fn merge_records(list: Vec<Record>, added: Vec<Record>, now_ms: u64) -> Vec<Record> {
    let mut merged = list;
    for record in added {
        let known = merged
            .iter_mut()
            .find(|r| r.fingerprint == record.fingerprint);
        match known {
            Some(known) => known.merge(record),
            None => merged.push(record),
        }
    }
    merged.retain(|record| record.age(now_ms) < MEMORY);
    let rank = |r: &Record| (r.crash_count().min(WITHHOLD_CRASHES), r.last_crash_ms);
    merged.sort_by_key(|record| Reverse(rank(record)));
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
