//! What is known of one request during which leaves crashed, as the VMs share it.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::crash::Crash;
use super::fields::Fields;
use super::trial::{self, Trial};
use super::{MAX_REQUESTS, MEMORY, WITHHOLD_CRASHES};
use crate::core::fingerprint::Fingerprint;

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
    /// The first [`WITHHOLD_CRASHES`] crashes, sorted by time.
    pub crashes: Vec<Crash>,
    /// When the last leaf crashed.
    pub last_crash_ms: u64,
    /// When a leaf last answered the request, which clears all crashes before and shortly after; 0
    /// if none did.
    pub answered_ms: u64,
    /// Latest trial; `None` if there was none since the last answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<Trial>,
    /// Fields that a later version has added. They are written again as they were read.
    #[serde(flatten)]
    pub other: Fields,
}

impl Record {
    pub(super) fn new(fingerprint: Fingerprint) -> Record {
        Record {
            fingerprint,
            crashes: Vec::new(),
            last_crash_ms: 0,
            answered_ms: 0,
            trial: None,
            other: Fields::default(),
        }
    }

    /// Returns the number of crashes that count, at most [`WITHHOLD_CRASHES`].
    pub(super) fn crash_count(&self) -> usize {
        self.crashes.len().min(WITHHOLD_CRASHES)
    }

    /// Returns whether the request is sent in trials only.
    pub(super) fn is_withheld(&self) -> bool {
        self.crash_count() >= WITHHOLD_CRASHES
    }

    /// Returns the time since the last crash; zero if the clock of its VM is ahead.
    pub(super) fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.last_crash_ms))
    }

    /// Returns whether the last crash is recent enough to matter, and not in a future that no clock of
    /// a VM explains.
    pub(super) fn is_recent(&self, now_ms: u64) -> bool {
        let ahead = Duration::from_millis(self.last_crash_ms.saturating_sub(now_ms));
        self.age(now_ms) < MEMORY && ahead < MEMORY
    }

    /// Returns the number of trials that ended with a crash.
    pub(super) fn crashed_trials(&self) -> u32 {
        self.trial.as_ref().map_or(0, |trial| {
            let has_crashed = self.last_crash_ms >= trial.at_ms;
            trial.crashed.saturating_add(u32::from(has_crashed))
        })
    }

    /// Returns when the next trial is due.
    pub(super) fn trial_due_ms(&self) -> u64 {
        let tried_ms = self.trial.as_ref().map_or(0, |trial| trial.at_ms);
        let pause = trial::pause(self.crashed_trials()).as_millis();
        let pause_ms = u64::try_from(pause).unwrap_or(u64::MAX);
        self.last_crash_ms.max(tried_ms).saturating_add(pause_ms)
    }

    /// Returns the rank by which requests are kept if there are too many: those that crashed leaves
    /// in trials first, then those with the most crashes, of these the latest.
    pub(super) fn rank(&self) -> (u32, usize, u64) {
        let crashed_trials = self.crashed_trials();
        (crashed_trials, self.crash_count(), self.last_crash_ms)
    }

    /// Adds a crash, unless it was cleared, that of the same run is known, or enough are known.
    pub(super) fn add_crash(&mut self, crash: Crash) {
        let is_known = |known: &Crash| *known == crash || known.is_same_run(&crash);
        if self.is_cleared(crash.at_ms) || self.crashes.iter().any(is_known) {
            return;
        }
        self.last_crash_ms = self.last_crash_ms.max(crash.at_ms);
        if self.is_withheld() {
            return;
        }
        let index = self.crashes.partition_point(|c| c.at_ms <= crash.at_ms);
        self.crashes.insert(index, crash);
    }

    /// Clears the crashes before an answer of a leaf and shortly after, and earlier trials.
    pub(super) fn clear(&mut self, answered_ms: u64) {
        self.answered_ms = self.answered_ms.max(answered_ms);
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| !self.is_cleared(crash.at_ms));
        self.crashes = crashes;
        let answered_ms = self.answered_ms;
        self.trial.take_if(|trial| trial.at_ms <= answered_ms);
    }

    fn is_cleared(&self, at_ms: u64) -> bool {
        self.answered_ms > 0 && at_ms <= self.answered_ms.saturating_add(TRUST_MS)
    }

    /// Takes in another record of the same request.
    pub(super) fn merge(&mut self, other: &Record) {
        for (name, value) in &other.other {
            let field = self.other.entry(name.clone());
            field.or_insert_with(|| value.clone());
        }
        self.add_trial(other.trial.as_ref());
        self.clear(other.answered_ms);
        for crash in &other.crashes {
            self.add_crash(crash.clone());
        }
        self.last_crash_ms = self.last_crash_ms.max(other.last_crash_ms);
    }

    fn add_trial(&mut self, trial: Option<&Trial>) {
        let at_ms = |trial: &Trial| trial.at_ms;
        if trial.map(at_ms) > self.trial.as_ref().map(at_ms) {
            self.trial = trial.cloned();
        }
    }

    /// Returns whether the record tells more than another one of the same request.
    pub(super) fn tells_more_than(&self, other: &Record) -> bool {
        let mut merged = other.clone();
        merged.merge(self);
        let (count, known) = (merged.crash_count(), other.crash_count());
        // A single crash does not hold the request back for long.
        let is_cleared = count < known && known > 1;
        let gained = self.last_crash_ms.saturating_sub(other.last_crash_ms);
        let is_later = Duration::from_millis(gained) > CLOCK_TOLERANCE;
        let has_other_trial = merged.trial != other.trial;
        let has_crashed_trial = merged.crashed_trials() > other.crashed_trials();
        let has_news = is_later || has_other_trial || has_crashed_trial;
        count > known || is_cleared || (count > 0 && has_news)
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
    merged.retain(|record| record.is_recent(now_ms));
    merged.sort_by_key(|record| Reverse(record.rank()));
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
