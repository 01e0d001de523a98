//! What this VM knows of one leaf.

use std::time::{Duration, Instant};

use super::LAPSE;
use super::tier::Tier;
use crate::core::instance::Instance;
use crate::prelude::*;

/// Number of a leaf's run in this process; never used again.
pub type Key = u64;

/// Weight of a new measurement in the moving average.
const NEW_WEIGHT: f64 = 0.3;

/// Shortest time in which half of what is known of a leaf's speed is
/// forgotten, so that a leaf that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Requests to the service in which half is forgotten at the earliest.
const HALF_LIFE_REQUESTS: u32 = 8;

/// Requests to the service for which a leaf is the last choice after a
/// failure; doubles with each further one.
const AVOIDED_REQUESTS: u32 = 4;

/// Most requests to the service for which it is the last choice.
const MOST_AVOIDED_REQUESTS: u32 = 16;

/// Extra time of a leaf in another failure domain, before any measurement.
const FAR: Duration = Duration::from_millis(8);

/// A request open for longer than this many usual times shows a pause.
const PAUSE_FACTOR: f64 = 2.0;

/// Failures in a row after which a leaf is left alone for a while.
const TOLERATED_FAILURES: u32 = 2;

/// Weight of a new ending in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Usual times that a failed attempt costs, with the attempt that follows it.
const FAILURE_COST: f64 = 2.5;

/// Rejections in a row after which a leaf is left alone for a while. A leaf
/// that sheds some of its work still does the rest, which may be just what the
/// others can't take.
const TOLERATED_REJECTIONS: u32 = 4;

/// Pause after rejections, in which a full queue makes room.
const REJECTED_SUSPENSION: Duration = Duration::from_millis(40);

/// First pause after failures; doubles with each further one.
const FIRST_SUSPENSION: Duration = Duration::from_millis(300);

/// Longest pause after failures.
const LONGEST_SUSPENSION: Duration = Duration::from_secs(3);

/// How a request at a leaf ended, as far as the leaf is to blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The leaf answered.
    Answered,
    /// The leaf answered with a failure of its own.
    Failed,
    /// The leaf said that it did not run the request.
    Rejected,
    /// The leaf is not the one that was registered.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The answer was lost, or spoiled.
    Lost,
    /// Given up by this VM before the leaf answered.
    Abandoned,
}

/// What this VM knows of one run of a leaf.
#[derive(Debug)]
pub struct Replica {
    /// Its number in this process.
    pub key: Key,
    /// What the registry says of it.
    pub instance: Instance,
    /// When it may be tried again after failures.
    pub suspended_until: Option<Instant>,
    /// Until when it is chosen only where no other leaf is left.
    avoided_until: Option<Instant>,
    /// Since when the registry no longer names it.
    pub(super) lapsed_at: Option<Instant>,
    near: bool,
    /// Moving average of the time of its answers.
    average: Option<Duration>,
    measured: Instant,
    /// Failures in a row.
    failures: u32,
    /// Rejections in a row.
    rejections: u32,
    /// Moving average of the share of attempts that failed.
    failure_share: f64,
    /// Open requests with the time at which they were sent.
    open: Vec<(AttemptId, Instant)>,
    added: Instant,
}

impl Replica {
    pub(super) fn new(key: Key, instance: Instance, near: bool, now: Instant) -> Replica {
        Replica {
            key,
            instance,
            suspended_until: None,
            avoided_until: None,
            lapsed_at: None,
            near,
            average: None,
            measured: now,
            failures: 0,
            rejections: 0,
            failure_share: 0.0,
            open: Vec::new(),
            added: now,
        }
    }

    /// Returns whether a registered leaf is this run.
    pub(super) fn is_run_of(&self, instance: &Instance) -> bool {
        let own = &self.instance;
        own.id == instance.id && own.address == instance.address && own.born == instance.born
    }

    /// Returns whether it can be tried now.
    pub fn is_usable(&self, now: Instant) -> bool {
        let rested = self.suspended_until.is_none_or(|until| now >= until);
        let trial_runs = self.suspended_until.is_some() && !self.open.is_empty();
        !self.instance.leaving && rested && !trial_runs
    }

    /// Returns whether it stands in this VM's failure domain.
    pub fn is_near(&self) -> bool {
        self.near
    }

    /// Returns before which leaves it is chosen.
    pub fn tier(&self, now: Instant) -> Tier {
        if self.lapsed_at.is_some() {
            return Tier::Lapsed;
        }
        match self.avoided_until {
            Some(until) if now < until => Tier::Failed,
            _ => Tier::Preferred,
        }
    }

    /// Returns whether the registry no longer names it.
    pub fn has_lapsed(&self) -> bool {
        self.lapsed_at.is_some()
    }

    /// Returns whether it has to be taken as gone.
    pub(super) fn is_gone(&self, now: Instant) -> bool {
        let is_over = |since| now.saturating_duration_since(since) >= LAPSE;
        self.lapsed_at
            .is_some_and(|since| self.instance.leaving || is_over(since))
    }

    /// Returns the number of requests that this VM has open there.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns how long a request that is sent now is expected to take.
    /// `interval` is the usual time between two requests to the service.
    pub fn expected(&self, typical: Duration, interval: Duration, now: Instant) -> Duration {
        let prior = if self.near { typical } else { typical + FAR };
        let age = now.saturating_duration_since(self.measured);
        let half_life = HALF_LIFE.max(interval * HALF_LIFE_REQUESTS);
        let weight = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
        let known = self.average.map_or(prior, |average| {
            average.mul_f64(weight) + prior.mul_f64(1.0 - weight)
        });
        let known = known + typical.mul_f64(self.failure_share * weight * FAILURE_COST);
        let oldest = self.open.iter().map(|(_, sent)| *sent).min();
        let waiting = oldest.map_or(Duration::ZERO, |sent| now.saturating_duration_since(sent));
        let known = if waiting > known.mul_f64(PAUSE_FACTOR) {
            known + waiting
        } else {
            known
        };
        let slots = f64::from(self.instance.slots.max(1));
        let warming = now.saturating_duration_since(self.added) < self.instance.warm_in;
        let warm_up = if warming { 1.6 } else { 1.0 };
        known.mul_f64((1.0 + self.open.len() as f64 / slots) * warm_up)
    }

    /// Notes a request that is sent there.
    pub fn begin(&mut self, attempt: AttemptId, now: Instant) {
        self.open.push((attempt, now));
    }

    /// Notes the end of a request; returns the time that it took.
    /// `interval` is the usual time between two requests to the service.
    pub fn end(
        &mut self,
        attempt: AttemptId,
        ending: Ending,
        interval: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let place = self.open.iter().position(|(id, _)| *id == attempt)?;
        let (_, sent) = self.open.swap_remove(place);
        let elapsed = now.saturating_duration_since(sent);
        match ending {
            Ending::Answered => {
                self.failures = 0;
                self.rejections = 0;
                self.failure_share *= 1.0 - FAILURE_WEIGHT;
                self.suspended_until = None;
                self.avoided_until = None;
                self.measure(elapsed, now);
            }
            Ending::Rejected => self.reject(now),
            Ending::Failed | Ending::Lost => self.fail(interval, now),
            Ending::Unreachable | Ending::Misdirected => {
                self.failures = self.failures.max(TOLERATED_FAILURES - 1);
                self.fail(interval, now);
            }
            Ending::Abandoned => {
                let known = self.average.unwrap_or(Duration::ZERO);
                if elapsed > known {
                    self.measure(elapsed, now);
                }
                if self.suspended_until.is_some() {
                    self.fail(interval, now);
                }
            }
        }
        Some(elapsed)
    }

    /// Notes that an abandoned request was not even answered late.
    pub fn stay_silent(&mut self, interval: Duration, now: Instant) {
        self.fail(interval, now);
    }

    fn measure(&mut self, elapsed: Duration, now: Instant) {
        let average = self.average.map_or(elapsed, |average| {
            average.mul_f64(1.0 - NEW_WEIGHT) + elapsed.mul_f64(NEW_WEIGHT)
        });
        self.average = Some(average);
        self.measured = now;
    }

    fn reject(&mut self, now: Instant) {
        self.rejections += 1;
        self.note_failure(now);
        if self.rejections >= TOLERATED_REJECTIONS {
            self.suspended_until = Some(now + REJECTED_SUSPENSION);
        }
    }

    fn note_failure(&mut self, now: Instant) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.measured = now;
    }

    fn fail(&mut self, interval: Duration, now: Instant) {
        let requests = AVOIDED_REQUESTS << self.failures.min(8);
        self.avoided_until = Some(now + interval * requests.min(MOST_AVOIDED_REQUESTS));
        self.failures += 1;
        self.note_failure(now);
        if self.failures < TOLERATED_FAILURES {
            return;
        }
        let doublings = (self.failures - TOLERATED_FAILURES).min(8);
        let pause = FIRST_SUSPENSION.saturating_mul(1 << doublings);
        self.suspended_until = Some(now + pause.min(LONGEST_SUSPENSION));
    }
}
