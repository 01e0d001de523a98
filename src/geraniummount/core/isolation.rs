//! Detects whether this VM is isolated from the network, in which case other VMs serve callers
//! better.
//!
//! Load pattern: a failure domain, or a single VM, loses its links to the rest while callers still
//! reach it. Leaves elsewhere do not answer, queries cover too few shards, and every caller that is
//! sent to this VM gets a refusal. Once the VM reports that it is not ready, callers are sent to
//! VMs that can serve them.
//!
//! Failing leaves alone do not prove isolation, because every VM sees the same failures. The VM
//! therefore checks a suspicion by connecting to the platform's store, the key-value store that the
//! users run, which is outside all failure domains. Only if the store is unreachable too does the
//! VM consider itself isolated.

use std::time::{Duration, Instant};

/// Minimum number of consecutive unanswered attempts in other failure domains for isolation to be
/// suspected.
const MIN_UNANSWERED_ATTEMPTS: u32 = 5;

/// Minimum share of unserved requests among the recent ones for isolation to be suspected.
const MIN_UNSERVED_SHARE: f64 = 0.4;

/// Weight of a new request in the moving average of the share of unserved requests.
const REQUEST_WEIGHT: f64 = 0.15;

/// Interval between two checks of the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Detector of the isolation of this VM.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Attempts (each is one try to run a part of a request at one leaf) in other failure domains
    /// that got no answer since the last answered one.
    unanswered_attempts: u32,
    /// Moving average of the share of requests that were not served.
    unserved_share: f64,
    /// When the last check of the store began.
    checked_at: Option<Instant>,
    is_isolated: bool,
}

impl Isolation {
    /// Records whether an attempt at a leaf in another failure domain was answered. An answer ends
    /// the isolation.
    pub fn on_attempt(&mut self, is_answered: bool) {
        if is_answered {
            self.unanswered_attempts = 0;
            self.is_isolated = false;
        } else {
            self.unanswered_attempts = self.unanswered_attempts.saturating_add(1);
        }
    }

    /// Records that the answer to a request is due and too few shards have replied for it.
    ///
    /// `unanswered` is the number of the request's attempts in other failure domains that have no
    /// answer so far. Recording the request only when it ends would delay the detection, and
    /// callers would be sent to this VM for that much longer.
    pub fn on_overdue(&mut self, unanswered: u32) {
        self.unanswered_attempts = self.unanswered_attempts.saturating_add(unanswered);
        self.on_request(false);
    }

    /// Records whether a request was served.
    pub fn on_request(&mut self, is_served: bool) {
        let unserved = if is_served { 0.0 } else { 1.0 };
        self.unserved_share += (unserved - self.unserved_share) * REQUEST_WEIGHT;
    }

    /// Returns whether the store has to be checked now, that is, isolation is suspected or known
    /// and the last check began at least [`CHECK_INTERVAL`] ago. Records the start of the check.
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

    /// Records whether the store was reachable, and if so, ends the suspicion and the isolation.
    /// Returns whether the isolation state changed.
    pub fn on_check(&mut self, is_reached: bool) -> bool {
        let was_isolated = self.is_isolated;
        self.is_isolated = !is_reached;
        if is_reached {
            self.unanswered_attempts = 0;
            self.unserved_share = 0.0;
        }
        was_isolated != self.is_isolated
    }

    /// Returns whether the VM considers itself isolated.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }
}
