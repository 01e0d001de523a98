//! What this VM knows of one request during which leaves crashed.

use std::time::{Duration, Instant};

use super::record::Record;
use super::{Admission, MEMORY, WITHHOLD_TIME, trial};
use crate::core::fingerprint::Fingerprint;

/// A request during which leaves crashed, with times by the steady clock.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    pub(super) last_crash: Instant,
    /// When the latest trial began; `None` if there was none since the last answer.
    pub(super) tried_at: Option<Instant>,
}

impl Entry {
    pub(super) fn new(fingerprint: Fingerprint, last_crash: Instant) -> Entry {
        Entry {
            record: Record::new(fingerprint),
            last_crash,
            tried_at: None,
        }
    }

    /// Returns whether the request may be sent.
    pub(super) fn admission(&self, now: Instant) -> Admission {
        if self.is_over(now) {
            return Admission::Admitted(0);
        }
        let age = now.saturating_duration_since(self.last_crash);
        if !self.record.is_withheld() || age >= WITHHOLD_TIME {
            return Admission::Admitted(self.record.crash_count());
        }
        let left = self.trial_due().saturating_duration_since(now);
        match left.is_zero() {
            true => Admission::TrialDue,
            false => Admission::Withheld(left),
        }
    }

    /// Returns whether the last crash is too long ago to matter.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) >= MEMORY
    }

    /// Takes in a record of the shared list, as it was read at `now_ms` in milliseconds since the
    /// Unix epoch.
    pub(super) fn merge(&mut self, record: &Record, now_ms: u64, now: Instant) {
        let before = |at_ms: u64| {
            let age = Duration::from_millis(now_ms.saturating_sub(at_ms));
            now.checked_sub(age).unwrap_or(now)
        };
        let tried_ms = self.record.trial.as_ref().map(|trial| trial.at_ms);
        self.record.merge(record);
        self.last_crash = self.last_crash.max(before(record.last_crash_ms));
        match &self.record.trial {
            None => self.tried_at = None,
            Some(trial) if Some(trial.at_ms) != tried_ms => {
                self.tried_at = Some(before(trial.at_ms));
            }
            Some(_) => {}
        }
    }

    /// Clears the crashes before an answer of a leaf and shortly after.
    pub(super) fn clear(&mut self, answered_ms: u64) {
        self.record.clear(answered_ms);
        if self.record.trial.is_none() {
            self.tried_at = None;
        }
    }

    /// Returns when the next trial is due.
    fn trial_due(&self) -> Instant {
        let began = self
            .tried_at
            .map_or(self.last_crash, |at| at.max(self.last_crash));
        began + trial::pause(self.record.crashed_trials())
    }
}
