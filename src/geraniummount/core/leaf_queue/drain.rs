//! Whether a leaf says that it is leaving.

use std::time::{Duration, Instant};

/// Time for which an answer that says draining outweighs a health endpoint
/// that never said so.
const UNCONFIRMED_LIFE: Duration = Duration::from_secs(600);

/// What a leaf says of its leaving, by its answers and its health endpoint.
///
/// Either is enough to stop new work. Answers to work that was on its way
/// take nothing back. The health endpoint takes back what an answer said only
/// if it has said the same since, as it may lag or mislead, or if the leaf was
/// silent in between, as one that restarts is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    answered: Option<Instant>,
    confirmed: bool,
    by_health: bool,
}

impl Drain {
    /// Whether the leaf is leaving.
    pub(super) fn is_draining(&self) -> bool {
        self.answered.is_some() || self.by_health
    }

    /// Whether it is leaving and the health endpoint has said so.
    pub(super) fn is_confirmed(&self) -> bool {
        self.by_health || (self.confirmed && self.answered.is_some())
    }

    /// Takes over what another owner knows.
    pub(super) fn inherit(&mut self, confirmed: bool, now: Instant) {
        self.answer(now);
        self.confirmed = confirmed;
    }

    /// Notes an answer that says draining.
    pub(super) fn answer(&mut self, now: Instant) {
        self.answered = Some(now);
        self.confirmed = false;
    }

    /// Notes what the health endpoint says.
    pub(super) fn health(&mut self, draining: bool, now: Instant) {
        self.by_health = draining;
        if draining {
            self.confirmed = true;
            return;
        }
        let outlived = |at: Instant| now.saturating_duration_since(at) >= UNCONFIRMED_LIFE;
        if self.confirmed || self.answered.is_some_and(outlived) {
            self.answered = None;
        }
    }

    /// Notes that the health endpoint did not answer.
    pub(super) fn silence(&mut self) {
        self.answered = None;
    }
}
