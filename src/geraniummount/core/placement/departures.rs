//! Remembers the runs of leaves that left, so that none of them gets new work by mistake.
//!
//! Load pattern: the platform's store comes back from a copy that is some seconds old. The copy
//! lists leaves as ready that have since been registered as leaving, or been removed. In the same
//! way, the store may list a leaf as ready that has said in an answer that it is leaving. A run of a
//! leaf that left gets work again only if it has shown since that it lives.

use crate::core::instance::Instance;
use crate::prelude::*;

/// Maximum number of runs that are remembered; the oldest ones are dropped first. It exceeds the
/// number of leaves that leave while an old copy of the store is in use.
const MAX_DEPARTURES: usize = 4_096;

/// Runs of leaves that left.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Sorted by id and start.
    entries: Vec<Departure>,
    /// Number of departures that were recorded so far.
    recorded: u64,
}

/// A run of a leaf that left.
#[derive(Debug)]
struct Departure {
    id: String,
    started_at_ms: Option<u64>,
    /// Last known heartbeat of the leaf.
    heartbeat: Option<u64>,
    /// Era of the store that listed the leaf as leaving or no longer listed it.
    era: Era,
    /// Whether the leaf announced in an answer that it is leaving.
    is_announced: bool,
    /// Position in the order of recording.
    serial: u64,
}

impl Departures {
    /// Records that a leaf is registered as leaving, or no longer registered.
    pub(super) fn record(&mut self, instance: &Instance, era: Era) {
        self.insert(instance, era, false);
    }

    /// Records that a leaf announced in an answer that it is leaving.
    pub(super) fn record_announced(&mut self, instance: &Instance, era: Era) {
        self.insert(instance, era, true);
    }

    /// Returns whether a leaf that the store lists as ready in `era` has to be treated as leaving.
    ///
    /// A leaf that announced it in an answer remains leaving for the rest of its run. Any other leaf
    /// is ready again if the store lists it so in the era in which it left, as its registration may
    /// only have lapsed, or if it has sent a heartbeat since.
    pub(super) fn blocks(&self, instance: &Instance, era: Era) -> bool {
        let Ok(index) = self.search(instance) else {
            return false;
        };
        let departure = &self.entries[index];
        departure.is_announced || (departure.era < era && instance.heartbeat <= departure.heartbeat)
    }

    /// Forgets a run that is in use again.
    pub(super) fn forget(&mut self, instance: &Instance) {
        if let Ok(index) = self.search(instance) {
            self.entries.remove(index);
        }
    }

    fn insert(&mut self, instance: &Instance, era: Era, is_announced: bool) {
        match self.search(instance) {
            Ok(index) => {
                let known = &mut self.entries[index];
                known.heartbeat = known.heartbeat.max(instance.heartbeat);
                known.era = known.era.max(era);
                known.is_announced |= is_announced;
            }
            Err(index) => {
                self.recorded += 1;
                let departure = Departure {
                    id: instance.id.clone(),
                    started_at_ms: instance.started_at_ms,
                    heartbeat: instance.heartbeat,
                    era,
                    is_announced,
                    serial: self.recorded,
                };
                self.entries.insert(index, departure);
                self.drop_oldest();
            }
        }
    }

    fn drop_oldest(&mut self) {
        if self.entries.len() <= MAX_DEPARTURES {
            return;
        }
        let entries = self.entries.iter().enumerate();
        let oldest = entries.min_by_key(|(_, departure)| departure.serial);
        if let Some((index, _)) = oldest {
            self.entries.remove(index);
        }
    }

    fn search(&self, instance: &Instance) -> Result<usize, usize> {
        let wanted = (instance.id.as_str(), instance.started_at_ms);
        self.entries
            .binary_search_by(|entry| (entry.id.as_str(), entry.started_at_ms).cmp(&wanted))
    }
}
