//! Requests of one claimant.

use std::time::Instant;

use super::decayed::Decayed;
use super::{Claimant, RECENT_TIME_CONSTANT, USUAL_TIME_CONSTANT, Window};

/// Recent requests from which on a burst is told from chance.
const MIN_BURST: f64 = 8.0;

/// Ratio of the recent rate to the usual one from which on it counts as a burst. The usual rate then
/// grows as if the recent one were no more than this, so that a burst does not become usual while it
/// lasts, and a lasting change does within minutes.
const MAX_USUAL_RATIO: f64 = 2.0;

/// Minimum weight of a request of a burst in the usual rate, by which a tenant that was idle before
/// gets one.
const MIN_BURST_WEIGHT: f64 = 0.1;

/// Requests of one claimant.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) claimant: Claimant,
    recent: Decayed,
    usual: Decayed,
    /// Sum of the admitted shares of its requests, less the requests admitted. One is admitted when
    /// it reaches one, so that each claimant gets its share exactly.
    credit: f64,
}

impl Entry {
    pub(super) fn new(claimant: Claimant, credit: f64, now: Instant) -> Entry {
        Entry {
            claimant,
            recent: Decayed::new(RECENT_TIME_CONSTANT, now),
            usual: Decayed::new(USUAL_TIME_CONSTANT, now),
            credit,
        }
    }

    /// Records a request. `scale` is the ratio of the recent count to the usual one of a claimant
    /// that sends as it usually does.
    pub(super) fn record(&mut self, scale: f64, now: Instant) {
        self.recent.add(1.0, now);
        let (recent, expected) = (self.recent(now), self.usual(now) * scale);
        let weight = match recent > MIN_BURST {
            true => (MAX_USUAL_RATIO * expected / recent).clamp(MIN_BURST_WEIGHT, 1.0),
            false => 1.0,
        };
        self.usual.add(weight, now);
    }

    /// Adds the admitted share of a request to the credit; returns whether the request is admitted.
    pub(super) fn take_credit(&mut self, share: f64) -> bool {
        self.credit += share;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    pub(super) fn recent(&self, now: Instant) -> f64 {
        self.recent.at(now)
    }

    pub(super) fn usual(&self, now: Instant) -> f64 {
        self.usual.at(now)
    }

    pub(super) fn count(&self, window: Window, now: Instant) -> f64 {
        match window {
            Window::Recent => self.recent(now),
            Window::Usual | Window::None => self.usual(now),
        }
    }
}
