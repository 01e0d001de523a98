//! What this VM knows of one request during which leaves crashed.

use std::time::{Duration, Instant};

use super::{LeafRun, MAX_CRASHES, MEMORY, Record, WITHHOLD_CRASHES, WITHHOLD_TIME};
use crate::core::fingerprint::Fingerprint;

/// A request during which leaves crashed.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) fingerprint: Fingerprint,
    /// Runs of leaves that crashed while they ran the request, the latest last.
    crashed: Vec<LeafRun>,
    /// Runs whose crash does not count, because a leaf has answered the request since.
    cleared: Vec<LeafRun>,
    /// Whether the other VMs are told of the cleared crashes.
    shares_cleared: bool,
    pub(super) last_crash: Instant,
}

impl Entry {
    pub(super) fn new(fingerprint: Fingerprint, last_crash: Instant) -> Entry {
        Entry {
            fingerprint,
            crashed: Vec::new(),
            cleared: Vec::new(),
            shares_cleared: false,
            last_crash,
        }
    }

    /// Returns the number of crashes that count.
    pub(super) fn crash_count(&self) -> usize {
        let counted = self
            .crashed
            .iter()
            .filter(|run| !self.cleared.contains(run));
        counted.count()
    }

    /// Returns for how long the request is still withheld; `None` if it is not.
    pub(super) fn withheld_for(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.last_crash);
        let left = WITHHOLD_TIME.checked_sub(age)?;
        (self.crash_count() >= WITHHOLD_CRASHES).then_some(left)
    }

    pub(super) fn is_withheld(&self, now: Instant) -> bool {
        self.withheld_for(now).is_some()
    }

    /// Returns whether the last crash is too long ago to matter.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) >= MEMORY
    }

    /// Adds the crash of a run, unless it is known.
    pub(super) fn add_crash(&mut self, run: LeafRun) {
        add(&mut self.crashed, run);
    }

    /// Clears the known crashes; `is_shared` tells whether the other VMs are told.
    pub(super) fn clear(&mut self, is_shared: bool) {
        self.shares_cleared |= is_shared;
        for run in self.crashed.clone() {
            add(&mut self.cleared, run);
        }
    }

    /// Takes in what the shared list contains of the request.
    pub(super) fn merge(&mut self, record: &Record, last_crash: Instant) {
        for run in &record.crashed {
            add(&mut self.crashed, run.clone());
        }
        for run in &record.cleared {
            add(&mut self.cleared, run.clone());
        }
        self.last_crash = self.last_crash.max(last_crash);
    }

    /// Returns whether the entry has something that the shared list's record of it lacks.
    pub(super) fn has_more_than(&self, record: Option<&Record>) -> bool {
        let Some(record) = record else {
            return self.crash_count() > 0;
        };
        let lacks_crash = self.crashed.iter().any(|run| !record.crashed.contains(run));
        let lacks_cleared = self.cleared.iter().any(|run| !record.cleared.contains(run));
        lacks_crash || (lacks_cleared && self.shares_cleared)
    }

    /// Returns the record of the entry for the shared list.
    pub(super) fn to_record(&self, now_ms: u64, now: Instant) -> Record {
        let age = now.saturating_duration_since(self.last_crash).as_millis();
        let cleared = match self.shares_cleared {
            true => self.cleared.clone(),
            false => Vec::new(),
        };
        Record {
            fingerprint: self.fingerprint,
            crashed: self.crashed.clone(),
            cleared,
            last_crash_ms: now_ms.saturating_sub(u64::try_from(age).unwrap_or(u64::MAX)),
        }
    }
}

/// Adds a run to a list, unless the list contains it; drops the oldest if there are too many.
pub(super) fn add(runs: &mut Vec<LeafRun>, run: LeafRun) {
    if runs.contains(&run) {
        return;
    }
    runs.push(run);
    if runs.len() > MAX_CRASHES {
        runs.remove(0);
    }
}
