//! Whether this VM is cut off, and callers are better served by others.
//!
//! Load pattern: a failure domain, or a single VM, loses its links to the rest
//! while callers still reach it. Leaves elsewhere don't answer, queries find too
//! few shards, and each caller that is sent here gets a refusal. Once the VM
//! says that it is not ready, callers are sent to VMs that can serve them.
//!
//! Leaves that fail are no proof, as every VM sees these alike. So a suspicion
//! is checked at the platform's store, which stands outside all domains: only
//! if that can't be reached either, the VM takes itself as cut off.

use std::time::{Duration, Instant};

/// Attempts in a row that got no answer from another domain.
const SILENT_ATTEMPTS: u32 = 5;

/// Share of the latest requests that were not served.
const UNSERVED_SHARE: f64 = 0.4;

/// Weight of a new request in that share.
const REQUEST_WEIGHT: f64 = 0.15;

/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(250);

/// Whether this VM is cut off.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Attempts in other domains without an answer since the last answer.
    silent: u32,
    /// Moving average of the share of requests that were not served.
    unserved: f64,
    checked: Option<Instant>,
    isolated: bool,
}

impl Isolation {
    /// Notes how an attempt at a leaf of another domain ended.
    pub fn on_attempt(&mut self, answered: bool) {
        if answered {
            self.silent = 0;
            self.isolated = false;
        } else {
            self.silent = self.silent.saturating_add(1);
        }
    }

    /// Notes that an answer is due and too little of it is in; `silent`
    /// attempts in other domains have had no answer so far. Waiting for these
    /// requests' ends would leave callers here for that much longer.
    pub fn on_overdue(&mut self, silent: u32) {
        self.silent = self.silent.saturating_add(silent);
        self.on_request(false);
    }

    /// Notes whether a request was served.
    pub fn on_request(&mut self, served: bool) {
        let latest = if served { 0.0 } else { 1.0 };
        self.unserved += (latest - self.unserved) * REQUEST_WEIGHT;
    }

    /// Returns whether the store has to be checked now, and notes that it is.
    pub fn wants_check(&mut self, now: Instant) -> bool {
        let suspects = self.silent >= SILENT_ATTEMPTS && self.unserved >= UNSERVED_SHARE;
        if !self.isolated && !suspects {
            return false;
        }
        let rested = |at: Instant| now.saturating_duration_since(at) >= CHECK_PAUSE;
        if !self.checked.is_none_or(rested) {
            return false;
        }
        self.checked = Some(now);
        true
    }

    /// Notes whether the store could be reached; returns whether this changes
    /// whether the VM is cut off.
    pub fn on_check(&mut self, reached: bool) -> bool {
        let was = self.isolated;
        self.isolated = !reached;
        if reached {
            self.silent = 0;
            self.unserved = 0.0;
        }
        was != self.isolated
    }

    /// Returns whether the VM is cut off.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }
}
