//! How long a leaf stays cold, and its limit meanwhile.
//!
//! Load pattern: a leaf that was started, or that lost its caches, takes a few requests a second
//! from all VMs together and crashes well above that. All leaves of a failure domain may be cold at
//! once, after an evacuation or a restart of the whole index. A VM learns of it from the leaf's
//! registration, up to some seconds late, and at times from the answer to a health request.
//!
//! A leaf is cold for a time after its start, and as long as it says. Its limit is divided between
//! the VMs like one that the leaf names ([`Limit`]).

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;

use super::Replica;
use super::limit::{Basis, Limit};
use crate::core::instance::Instance;
use crate::core::route::WarmUp;

/// Maximum age of a registration when it arrives: the longest pause between two reads of the store,
/// and the time of the read. One that arrives within this time after a health answer may be older
/// than the answer.
const MAX_REGISTRATION_AGE: Duration = Duration::from_secs(3);

/// Whether a leaf is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coldness {
    /// What the operator says about cold leaves of the service; `None` if they have no limit.
    warm_up: Option<WarmUp>,
    /// When the process was started, if that is known and recent.
    started_at: Option<Instant>,
    /// Until when the leaf says that it is cold.
    until: Option<Instant>,
    /// When the report arrived by which the leaf is cold or warm.
    heard_at: Option<Instant>,
    /// When the last health answer arrived that told how long the leaf is cold.
    answered_at: Option<Instant>,
    /// Limit of the leaf while it is cold.
    limit: Option<Limit>,
}

impl Coldness {
    /// Sets what the operator says about cold leaves of the service.
    pub(super) fn set_warm_up(&mut self, warm_up: Option<WarmUp>) {
        self.warm_up = warm_up;
    }

    /// Sets when the process was started.
    pub(super) fn set_start(&mut self, started_at: Option<Instant>) {
        self.started_at = started_at;
    }

    /// Records how long the leaf is cold according to a new registration.
    pub(super) fn on_registered(&mut self, left: Duration, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < MAX_REGISTRATION_AGE;
        let until = now + left;
        if self.answered_at.is_some_and(is_recent) && self.until >= Some(until) {
            return;
        }
        self.until = Some(until);
        self.heard_at = Some(now);
    }

    /// Records how long the leaf is cold according to its answer to a health request.
    pub(super) fn on_health_answer(&mut self, left: Duration, now: Instant) {
        self.until = Some(now + left);
        self.heard_at = Some(now);
        self.answered_at = Some(now);
    }

    /// Returns whether the leaf is cold and its requests are limited therefore.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.left(now) > Duration::ZERO
    }

    /// Returns for how much longer the leaf is cold.
    pub(super) fn left(&self, now: Instant) -> Duration {
        let Some(warm_up) = self.warm_up else {
            return Duration::ZERO;
        };
        let warm_at = self.started_at.map(|at| at + warm_up.duration);
        let until = warm_at.max(self.until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the age of the report by which the leaf is cold or warm.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.heard_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the limit of the leaf while it is cold. It begins with an empty allowance each time
    /// that the leaf becomes cold.
    pub(super) fn limit(&mut self, rng: &mut SmallRng, now: Instant) -> Option<&mut Limit> {
        let warm_up = self.warm_up.filter(|_| self.is_cold(now));
        let Some(warm_up) = warm_up else {
            self.limit = None;
            return None;
        };
        let limit = self
            .limit
            .get_or_insert_with(|| Limit::new(warm_up.per_second, Basis::Cold, rng, now));
        limit.set_per_second(warm_up.per_second);
        Some(limit)
    }

    /// Returns the limit of the leaf if it is cold and any request has asked for it.
    pub(super) fn known_limit(&self, now: Instant) -> Option<&Limit> {
        self.limit.as_ref().filter(|_| self.is_cold(now))
    }
}

impl Replica {
    /// Replaces the registration by a later one of the same run.
    pub(super) fn register(&mut self, instance: Instance, now: Instant) {
        let known = &self.instance;
        let is_newer = instance.heartbeat > known.heartbeat;
        let is_changed =
            instance.heartbeat.is_none() && instance.warm_up_left != known.warm_up_left;
        if is_newer || is_changed {
            self.coldness.on_registered(instance.warm_up_left, now);
        }
        self.instance = instance;
    }

    /// Returns whether the leaf was added at `now`.
    pub(super) fn is_new(&self, now: Instant) -> bool {
        self.added_at == now
    }

    /// Returns whether the leaf is cold and its requests are limited therefore.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.coldness.is_cold(now)
    }

    /// Returns for how much longer the leaf is cold, and how old the report is by which this is known.
    pub fn cold_left(&self, now: Instant) -> (Duration, Option<Duration>) {
        (self.coldness.left(now), self.coldness.report_age(now))
    }

    /// Brings up to date until when the leaf is cold; returns whether it has become cold.
    pub(super) fn update_coldness(&mut self, now: Instant) -> bool {
        let was_cold = self.cold_until.is_some_and(|until| now < until);
        self.cold_until = self.is_cold(now).then(|| now + self.coldness.left(now));
        !was_cold && self.cold_until.is_some()
    }
}
