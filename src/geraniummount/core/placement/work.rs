//! Work left at one leaf and the leaf's speed, as this VM knows them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::replica::{Ending, OTHER_DOMAIN_LATENCY};
use crate::core::cost::{Load, Profile, Report, Running, backlog};
use crate::prelude::*;

/// Weight of a new answer in the moving average of the slowness. With a greater one, chance in the cost
/// of a few requests is taken for the speed of the leaf: in a replay of requests that all cost the same
/// at high load, 0.3 was 16% slower than the choice by latency, and 0.1 was 4% slower.
const SLOWNESS_WEIGHT: f64 = 0.1;

/// Factor on the work left of this VM's own requests. It sees only these, and requests of the others
/// are at the same leaf more often than not.
const OWN_FACTOR: f64 = 2.0;

/// Share of the usual work that is left of a request of another VM, which is half done on average.
const OTHERS_LEFT_SHARE: f64 = 0.5;

/// Limits of the slowness that one answer shows. A request that costs more than expected must not
/// keep all others away from the leaf.
const SLOWNESS_LIMITS: (f64, f64) = (0.2, 4.0);

/// Limits of the slowness by which learned work is normalised.
const NORMALISED_LIMITS: (f64, f64) = (0.5, 2.5);

/// Time in which a known slowness halves towards the usual one.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// An attempt that takes this many times the expected time shows that the leaf is slow.
const OVERDUE_FACTOR: f64 = 2.0;

/// What decides how good a leaf is for a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forecast {
    /// Expected work of the request at a leaf of usual speed.
    pub work: Duration,
    /// Work left at the leaf, divided by its slots.
    pub remaining: Duration,
    /// Expected time until the answer.
    pub expected: Duration,
    /// Age of the load that the leaf has reported; `None` if it has reported none.
    pub load_age: Option<Duration>,
}

/// What an ended attempt says about the work of its request.
#[derive(Clone, Debug)]
pub(super) struct Observation {
    pub(super) profile: Arc<Profile>,
    pub(super) work: Duration,
}

/// An attempt in flight.
#[derive(Debug)]
struct OpenWork {
    attempt: AttemptId,
    profile: Arc<Profile>,
    forecast: Forecast,
    /// Slowness of the leaf when the attempt was sent.
    slowness: f64,
    /// Whether the attempt was sent while the leaf had a free slot, as far as known.
    is_unqueued: bool,
    sent_at: Instant,
}

/// Work left at one leaf and the leaf's speed, as this VM knows them.
#[derive(Debug)]
pub(super) struct Work {
    /// Attempts in flight, from the oldest to the newest.
    open: Vec<OpenWork>,
    /// Moving average of the time that answers took relative to the expected one.
    slowness: f64,
    measured_at: Instant,
    /// Load that the leaf has reported last.
    report: Option<Report>,
    is_local: bool,
    /// Number of slots of the leaf's registration.
    slots: u32,
}

impl Work {
    pub(super) fn new(is_local: bool, slots: u32, now: Instant) -> Work {
        Work {
            open: Vec::new(),
            slowness: 1.0,
            measured_at: now,
            report: None,
            is_local,
            slots,
        }
    }

    /// Sets the number of slots that the leaf has registered.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    pub(super) fn on_load(&mut self, load: Load, now: Instant) {
        self.report = Some(Report::new(load, self.open.len(), now));
    }

    /// Returns the forecast of a request with the given expected work. `typical` is the mean work of
    /// the requests to the service, which those of other VMs are assumed to cost.
    pub(super) fn forecast(&self, work: Duration, typical: Duration, now: Instant) -> Forecast {
        let slowness = self.slowness(now);
        let remaining = self.remaining(typical, slowness, now);
        let overdue = self.overdue(now);
        Forecast {
            work,
            remaining,
            expected: (work + remaining).mul_f64(slowness) + self.transit() + overdue,
            load_age: self.report.map(|report| report.age(now)),
        }
    }

    /// Returns the factor by which work takes longer than at a leaf of usual speed.
    fn slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured_at);
        let weight = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let pace = self.report.map_or(1.0, |report| report.pace(now));
        (1.0 + (self.slowness - 1.0) * weight) * pace
    }

    fn remaining(&self, typical: Duration, slowness: f64, now: Instant) -> Duration {
        let slots = self.slots().max(1);
        let running = self.open.iter().map(|open| Running {
            work: open.forecast.work,
            age: now.saturating_duration_since(open.sent_at),
        });
        let own = backlog(running, slots, slowness);
        let others = self.report.map_or(0.0, |report| report.others(now));
        (own.mul_f64(OWN_FACTOR) + typical.mul_f64(others * OTHERS_LEFT_SHARE)) / slots
    }

    /// Returns how long the attempt that is late by most has waited, if one is late enough to show
    /// that the leaf pauses; zero otherwise.
    fn overdue(&self, now: Instant) -> Duration {
        let waits = self.open.iter().filter_map(|open| {
            let waiting = now.saturating_duration_since(open.sent_at);
            (waiting > open.forecast.expected.mul_f64(OVERDUE_FACTOR)).then_some(waiting)
        });
        waits.max().unwrap_or_default()
    }

    /// Returns the time on the way to the leaf and back.
    fn transit(&self) -> Duration {
        match self.is_local {
            true => Duration::ZERO,
            false => OTHER_DOMAIN_LATENCY,
        }
    }

    fn slots(&self) -> u32 {
        self.report.map_or(self.slots, |report| report.slots())
    }

    pub(super) fn begin(
        &mut self,
        attempt: AttemptId,
        profile: Arc<Profile>,
        forecast: Forecast,
        now: Instant,
    ) {
        let others = self.report.map_or(0.0, |report| report.others(now));
        let is_unqueued = self.open.len() as f64 + others < f64::from(self.slots().max(1));
        self.open.push(OpenWork {
            attempt,
            profile,
            forecast,
            slowness: self.slowness(now),
            is_unqueued,
            sent_at: now,
        });
    }

    /// Removes an attempt, and learns the leaf's speed from it. Returns what it says about the work
    /// of its request, which is nothing if it was abandoned or failed, or had to wait.
    pub(super) fn end(
        &mut self,
        attempt: AttemptId,
        ending: Ending,
        now: Instant,
    ) -> Option<Observation> {
        let index = self.open.iter().position(|open| open.attempt == attempt)?;
        let open = self.open.remove(index);
        let elapsed = now.saturating_duration_since(open.sent_at);
        let is_late = elapsed > open.forecast.expected;
        if ending == Ending::Answered || ending == Ending::Abandoned && is_late {
            self.learn_slowness(&open, elapsed, now);
        }
        let is_observed = ending == Ending::Answered && open.is_unqueued;
        is_observed.then(|| Observation {
            work: elapsed.saturating_sub(self.transit()).div_f64(
                open.slowness
                    .clamp(NORMALISED_LIMITS.0, NORMALISED_LIMITS.1),
            ),
            profile: open.profile,
        })
    }

    fn learn_slowness(&mut self, open: &OpenWork, elapsed: Duration, now: Instant) {
        let base = open.forecast.work + open.forecast.remaining;
        let took = elapsed.saturating_sub(self.transit());
        let ratio = took.as_secs_f64() / base.as_secs_f64().max(1e-4);
        let ratio = ratio.clamp(SLOWNESS_LIMITS.0, SLOWNESS_LIMITS.1);
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
        self.measured_at = now;
    }

    /// Returns the forecast by which an attempt in flight was sent, and when that was.
    pub(super) fn forecast_of(&self, attempt: AttemptId) -> Option<(Forecast, Instant)> {
        let open = self.open.iter().find(|open| open.attempt == attempt)?;
        Some((open.forecast, open.sent_at))
    }

    /// Returns the number of attempts in flight.
    pub(super) fn open(&self) -> usize {
        self.open.len()
    }
}
