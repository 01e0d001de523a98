//! Tracks whether a leaf reports that it is draining, that is, finishing the work in hand and
//! taking no new work.

use std::time::{Duration, Instant};

/// Time for which a reply that reports draining overrides a health endpoint that never reported it.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(600);

/// Draining reports of a leaf, from its replies and from its health endpoint.
///
/// Either source is enough to stop new work. A reply never revokes a report, because it may belong
/// to work that was already in flight. The health endpoint may lag or mislead. It revokes the
/// report of a reply only if it has reported draining itself since, or once that report has
/// expired. A health endpoint that does not respond revokes the report too, because the leaf may be
/// restarting.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    /// When a reply last reported draining, unless revoked.
    replied_at: Option<Instant>,
    /// Whether the health endpoint has reported draining since that reply.
    is_health_confirmed: bool,
    /// Whether the health endpoint reports draining now.
    is_health_draining: bool,
}

impl Drain {
    /// Returns whether the leaf is draining.
    pub(super) fn is_draining(&self) -> bool {
        self.replied_at.is_some() || self.is_health_draining
    }

    /// Returns whether the leaf is draining and its health endpoint has reported it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.is_health_draining || (self.is_health_confirmed && self.replied_at.is_some())
    }

    /// Takes over a draining report that another owner of the leaf (the VM that holds its queue)
    /// received. `confirmed` tells whether the health endpoint has reported draining as well.
    pub(super) fn inherit(&mut self, confirmed: bool, now: Instant) {
        self.on_reply(now);
        self.is_health_confirmed = confirmed;
    }

    /// Records a reply that reports draining.
    pub(super) fn on_reply(&mut self, now: Instant) {
        self.replied_at = Some(now);
        self.is_health_confirmed = false;
    }

    /// Records the state that the health endpoint reports.
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

    /// Records that the health endpoint did not respond.
    pub(super) fn on_health_timeout(&mut self) {
        self.replied_at = None;
    }
}
