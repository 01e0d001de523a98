//! What this VM has observed of one other VM.

use std::time::{Duration, Instant};

use crate::core::delegation::{Decline, Ending, Peer};

/// Time for which a VM is avoided after it declined a request because it has lost its links too.
const LINKS_LOST_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a stopping VM is avoided. It is back or replaced by then.
const STOPPING_BACKOFF: Duration = Duration::from_secs(5);

/// Time for which a VM is avoided after it declined because its routes are older.
const OUTDATED_BACKOFF: Duration = Duration::from_millis(30);

/// Time for which a VM is avoided after it declined because it was busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);

/// Time for which a VM is avoided after it declined for any other reason.
const DECLINE_BACKOFF: Duration = Duration::from_millis(300);

/// Time for which a VM is avoided after it did not respond; doubles with each further failure.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of times that the backoff after failures doubles.
const MAX_FAILURE_DOUBLINGS: u32 = 3;

/// Time for which a VM that has answered is known to reach the leaves.
const PROVEN_TTL: Duration = Duration::from_secs(2);

/// A VM of another failure domain is chosen if it has fewer requests of this VM in flight than one
/// of the same domain, by more than this number. Bytes between failure domains cost money.
const OTHER_DOMAIN_COST: usize = 2;

/// A peer, with what this VM has observed of it.
#[derive(Debug)]
pub(super) struct State {
    pub(super) peer: Peer,
    /// Number of requests of this VM that the peer has.
    pub(super) in_flight: usize,
    /// Number of requests without a response since the last response.
    pub(super) failures: u32,
    pub(super) avoided_until: Option<Instant>,
    /// When the VM last answered a request, unless it has lost its links since.
    pub(super) answered_at: Option<Instant>,
    /// Whether the VM is avoided because its routes were older.
    pub(super) is_outdated: bool,
}

impl State {
    pub(super) fn new(peer: Peer) -> State {
        State {
            peer,
            in_flight: 0,
            failures: 0,
            avoided_until: None,
            answered_at: None,
            is_outdated: false,
        }
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.avoided_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the VM is known to reach the leaves.
    pub(super) fn is_proven(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROVEN_TTL;
        self.answered_at.is_some_and(is_recent)
    }

    /// Returns the number of requests that the VM has, with the cost of its failure domain.
    pub(super) fn cost(&self, own_domain: &str) -> f64 {
        let is_far = self.peer.domain != own_domain;
        let domain_cost = if is_far { OTHER_DOMAIN_COST } else { 0 };
        (self.in_flight + domain_cost) as f64
    }

    pub(super) fn record(&mut self, ending: Ending, now: Instant) {
        if ending == Ending::Declined(Decline::LinksLost) {
            self.answered_at = None;
        }
        let backoff = match ending {
            // Nothing follows for other requests.
            Ending::Abandoned | Ending::Declined(Decline::Shed) => return,
            Ending::Answered => {
                self.failures = 0;
                self.answered_at = Some(now);
                self.avoided_until = None;
                self.is_outdated = false;
                return;
            }
            Ending::Failed => {
                let doublings = self.failures.min(MAX_FAILURE_DOUBLINGS);
                self.failures += 1;
                INITIAL_FAILURE_BACKOFF * (1 << doublings)
            }
            Ending::Declined(Decline::LinksLost) => LINKS_LOST_BACKOFF,
            Ending::Declined(Decline::Stopping) => STOPPING_BACKOFF,
            Ending::Declined(Decline::Outdated) => OUTDATED_BACKOFF,
            Ending::Declined(Decline::Busy) => BUSY_BACKOFF,
            Ending::Declined(_) => DECLINE_BACKOFF,
        };
        self.is_outdated = ending == Ending::Declined(Decline::Outdated);
        self.avoided_until = self.avoided_until.max(Some(now + backoff));
    }
}
