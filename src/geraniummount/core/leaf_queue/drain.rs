//! Whether a leaf says that it is leaving.

use std::time::{Duration, Instant};

/// Time for which an answer that says draining outweighs a health endpoint
/// that never said so.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(600);

/// What a leaf says of its leaving, by its answers and its health endpoint.
///
/// Either is enough to stop new work. Answers to work that was on its way
/// take nothing back. The health endpoint takes back what an answer said only
/// if it has said the same since, as it may lag or mislead, or if the leaf was
/// silent in between, as one that restarts is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    replied_at: Option<Instant>,
    is_health_confirmed: bool,
    is_health_draining: bool,
}

impl Drain {
    /// Whether the leaf is leaving.
    pub(super) fn is_draining(&self) -> bool {
        self.replied_at.is_some() || self.is_health_draining
    }

    /// Whether it is leaving and the health endpoint has said so.
    pub(super) fn is_confirmed(&self) -> bool {
        self.is_health_draining || (self.is_health_confirmed && self.replied_at.is_some())
    }

    /// Takes over what another owner knows.
    pub(super) fn inherit(&mut self, confirmed: bool, now: Instant) {
        self.on_reply(now);
        self.is_health_confirmed = confirmed;
    }

    /// Notes an answer that says draining.
    pub(super) fn on_reply(&mut self, now: Instant) {
        self.replied_at = Some(now);
        self.is_health_confirmed = false;
    }

    /// Notes what the health endpoint says.
    pub(super) fn on_health(&mut self, draining: bool, now: Instant) {
        self.is_health_draining = draining;
        if draining {
            self.is_health_confirmed = true;
            return;
        }
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= UNCONFIRMED_TTL;
        if self.is_health_confirmed || self.replied_at.is_some_and(is_expired) {
            self.replied_at = None;
        }
    }

    /// Notes that the health endpoint did not answer.
    pub(super) fn on_health_timeout(&mut self) {
        self.replied_at = None;
    }
}
