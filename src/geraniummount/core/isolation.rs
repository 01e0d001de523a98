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
const MIN_UNANSWERED_ATTEMPTS: u32 = 5;

/// Share of the latest requests that were not served.
const MIN_UNSERVED_SHARE: f64 = 0.4;

/// Weight of a new request in that share.
const REQUEST_WEIGHT: f64 = 0.15;

/// Pause between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether this VM is cut off.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Attempts in other domains without an answer since the last answer.
    unanswered_attempts: u32,
    /// Moving average of the share of requests that were not served.
    unserved_share: f64,
    checked_at: Option<Instant>,
    is_isolated: bool,
}

impl Isolation {
    /// Notes how an attempt at a leaf of another domain ended.
    pub fn on_attempt(&mut self, is_answered: bool) {
        if is_answered {
            self.unanswered_attempts = 0;
            self.is_isolated = false;
        } else {
            self.unanswered_attempts = self.unanswered_attempts.saturating_add(1);
        }
    }

    /// Notes that an answer is due and too little of it is in; `silent`
    /// attempts in other domains have had no answer so far. Waiting for these
    /// requests' ends would leave callers here for that much longer.
    pub fn on_overdue(&mut self, unanswered: u32) {
        self.unanswered_attempts = self.unanswered_attempts.saturating_add(unanswered);
        self.on_request(false);
    }

    /// Notes whether a request was served.
    pub fn on_request(&mut self, is_served: bool) {
        let unserved = if is_served { 0.0 } else { 1.0 };
        self.unserved_share += (unserved - self.unserved_share) * REQUEST_WEIGHT;
    }

    /// Returns whether the store has to be checked now, and notes that it is.
    pub fn begin_check_if_due(&mut self, now: Instant) -> bool {
        let is_suspected = self.unanswered_attempts >= MIN_UNANSWERED_ATTEMPTS
            && self.unserved_share >= MIN_UNSERVED_SHARE;
        if !self.is_isolated && !is_suspected {
            return false;
        }
        let is_due = |at: Instant| now.saturating_duration_since(at) >= CHECK_INTERVAL;
        if !self.checked_at.is_none_or(is_due) {
            return false;
        }
        self.checked_at = Some(now);
        true
    }

    /// Notes whether the store could be reached; returns whether this changes
    /// whether the VM is cut off.
    pub fn on_check(&mut self, is_reached: bool) -> bool {
        let was_isolated = self.is_isolated;
        self.is_isolated = !is_reached;
        if is_reached {
            self.unanswered_attempts = 0;
            self.unserved_share = 0.0;
        }
        was_isolated != self.is_isolated
    }

    /// Returns whether the VM is cut off.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }
}
