//! Observations of one leaf by this VM.
//!
//! After repeated failures or rejections a leaf is suspended, that is, not tried for a while. An
//! attempt is one request that is sent to one leaf. A leaf is unregistered once the platform's
//! store no longer lists it.

use std::time::{Duration, Instant};

use super::UNREGISTERED_GRACE;
use super::coldness::Coldness;
use super::limit::Limit;
use super::notice::{MAX_HOLD, Notice};
use super::tier::Tier;
use super::work::Work;
use crate::core::instance::Instance;
use crate::prelude::*;

/// Id of a run of a leaf within this process; never reused.
pub type ReplicaKey = u64;

/// Weight of a new measurement in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.3;

/// Minimum half-life of a measured latency. The decay lets a leaf that was slow be tried again.
const MIN_HALF_LIFE: Duration = Duration::from_secs(4);

/// Minimum half-life of a measured latency, in requests to the service.
const MIN_HALF_LIFE_REQUESTS: u32 = 8;

/// Number of requests to the service for which a leaf is avoided after a failure; doubles with each
/// further failure. An avoided leaf is chosen only if no other is usable.
const INITIAL_AVOIDED_REQUESTS: u32 = 4;

/// Maximum number of requests to the service for which a leaf is avoided.
const MAX_AVOIDED_REQUESTS: u32 = 16;

/// Additional latency that is assumed for a leaf in another failure domain before it is measured.
pub(super) const OTHER_DOMAIN_LATENCY: Duration = Duration::from_millis(8);

/// A request that is in flight for more than this many expected latencies indicates a pause.
const PAUSE_FACTOR: f64 = 2.0;

/// Number of consecutive failures after which a leaf is suspended.
const FAILURES_BEFORE_SUSPENSION: u32 = 2;

/// Weight of a new outcome in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.15;

/// Cost of a failed attempt, including the attempt that follows it, in typical latencies.
const FAILURE_COST_FACTOR: f64 = 2.5;

/// Number of consecutive rejections after which a leaf is suspended. A leaf that sheds some of its
/// work still handles the rest, which may be the part that the other leaves have no capacity for.
const REJECTIONS_BEFORE_SUSPENSION: u32 = 4;

/// Duration of a suspension after rejections, during which a full queue of the leaf gets shorter.
const REJECTION_BACKOFF: Duration = Duration::from_millis(40);

/// Duration of the first suspension after failures; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum duration of a suspension after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Outcome of an attempt at a leaf, as far as it concerns the leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The leaf answered successfully.
    Answered,
    /// The leaf returned an error response.
    Failed,
    /// The leaf reported that it did not run the request.
    Rejected,
    /// Another leaf than the registered one uses the address.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The answer was lost or malformed.
    Lost,
    /// This VM abandoned the request before the leaf answered.
    Abandoned,
    /// This VM did not send the request, because the leaf wants no requests.
    Withheld,
}

/// Observations of one run of a leaf.
#[derive(Debug)]
pub struct Replica {
    /// Id within this process.
    pub key: ReplicaKey,
    /// Registration of the leaf.
    pub instance: Instance,
    /// When the leaf may be tried again after failures or rejections; `None` if it is not
    /// suspended.
    pub suspended_until: Option<Instant>,
    /// Until when the leaf wants no requests from this VM; `None` if it has not said so.
    held_until: Option<Instant>,
    /// Limit on the requests of all VMs together; `None` if the leaf names none.
    pub(super) limit: Option<Limit>,
    /// Until when the leaf is chosen only if no other is usable.
    avoided_until: Option<Instant>,
    /// When the leaf was found to be unregistered; `None` while it is registered.
    pub(super) unregistered_since: Option<Instant>,
    /// Whether the leaf is in this VM's failure domain.
    is_local: bool,
    /// Whether the leaf is cold.
    pub(super) coldness: Coldness,
    /// Until when the leaf is cold, when that was last brought up to date; `None` if it is warm.
    pub(super) cold_until: Option<Instant>,
    /// Whether the operator has evacuated the leaf's failure domain.
    pub(super) is_evacuated: bool,
    /// Moving average of the latency of the leaf's answers, and of abandoned attempts that had
    /// already taken longer than the average; `None` before the first measurement.
    average_latency: Option<Duration>,
    /// When `average_latency` or `failure_share` was last updated.
    measured_at: Instant,
    /// Number of failures since the last successful answer.
    consecutive_failures: u32,
    /// Number of rejections since the last successful answer.
    consecutive_rejections: u32,
    /// Moving average of the share of attempts that failed or were rejected.
    failure_share: f64,
    /// When the leaf closed a connection without an answer, unless it has answered since.
    crashed_at: Option<Instant>,
    /// Attempts in flight, with the time when each was sent.
    open_attempts: Vec<(AttemptId, Instant)>,
    /// Work left at the leaf, if leaves are chosen by cost.
    pub(super) work: Work,
    /// When this VM learned of the registration.
    pub(super) added_at: Instant,
}

impl Replica {
    pub(super) fn new(
        key: ReplicaKey,
        instance: Instance,
        is_local: bool,
        now: Instant,
    ) -> Replica {
        let mut coldness = Coldness::default();
        coldness.on_registered(instance.warm_up_left, now);
        Replica {
            work: Work::new(is_local, instance.slots, now),
            key,
            instance,
            suspended_until: None,
            held_until: None,
            limit: None,
            avoided_until: None,
            unregistered_since: None,
            is_local,
            coldness,
            cold_until: None,
            is_evacuated: false,
            average_latency: None,
            measured_at: now,
            consecutive_failures: 0,
            consecutive_rejections: 0,
            failure_share: 0.0,
            crashed_at: None,
            open_attempts: Vec::new(),
            added_at: now,
        }
    }

    /// Records that the leaf closed a connection before it answered a request that was sent at
    /// `sent_at`. Returns whether the leaf may have crashed because of that request: it had it when
    /// the first connection was closed. A leaf that is gone may go on to accept and close connections,
    /// for example if a proxy is in front of it.
    pub(super) fn record_crash(&mut self, sent_at: Instant, now: Instant) -> bool {
        let crashed_at = *self.crashed_at.get_or_insert(now);
        sent_at <= crashed_at
    }

    /// Returns when an attempt in flight was sent.
    pub(super) fn sent_at(&self, attempt: AttemptId) -> Option<Instant> {
        let mut attempts = self.open_attempts.iter();
        let found = attempts.find(|(open, _)| *open == attempt);
        found.map(|(_, sent_at)| *sent_at)
    }

    /// Returns whether a registration is that of this run of the leaf.
    pub(super) fn is_run_of(&self, instance: &Instance) -> bool {
        let own = &self.instance;
        own.id == instance.id
            && own.address == instance.address
            && own.started_at_ms == instance.started_at_ms
    }

    /// Returns whether the leaf can be tried now. A leaf whose suspension is over gets a single
    /// trial request, and no other until that one is answered.
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_rested = self.suspended_until.is_none_or(|until| now >= until);
        let is_trial_in_flight = self.suspended_until.is_some() && !self.open_attempts.is_empty();
        self.accepts_requests(now) && is_rested && !is_trial_in_flight
    }

    /// Returns whether the leaf may get requests now: it accepts work, and it has not asked for a
    /// time without requests that is not over yet.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        self.accepts_work() && self.held_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the leaf is neither leaving nor in an evacuated failure domain.
    pub(super) fn accepts_work(&self) -> bool {
        !self.instance.is_leaving && !self.is_evacuated
    }

    /// Returns whether the operator has evacuated the leaf's failure domain.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns when the leaf can be tried again, unless it is leaving.
    pub fn usable_at(&self, now: Instant) -> Instant {
        let until = self.suspended_until.max(self.held_until);
        until.map_or(now, |until| until.max(now))
    }

    /// Records what the leaf said about further requests; returns whether it accepts fewer than
    /// before.
    pub(super) fn on_notice(&mut self, notice: Notice, now: Instant) -> bool {
        let accepted = self.accepts_requests(now);
        self.instance.is_leaving |= notice.is_leaving;
        if let Some(hold) = notice.hold {
            let until = now + hold.min(MAX_HOLD);
            self.held_until = self.held_until.max(Some(until));
        }
        accepted && !self.accepts_requests(now)
    }

    /// Returns whether the leaf limits the requests of all VMs together.
    pub(super) fn is_limited(&self, now: Instant) -> bool {
        self.limit.is_some_and(|limit| limit.is_in_force(now))
    }

    /// Returns whether the leaf is in this VM's failure domain.
    pub fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns the tier, which takes precedence over the latency when a leaf is chosen.
    pub fn tier(&self, now: Instant) -> Tier {
        if self.unregistered_since.is_some() {
            return Tier::Unregistered;
        }
        if self.is_cold(now) {
            return Tier::Cold;
        }
        match self.avoided_until {
            Some(until) if now < until => Tier::RecentlyFailed,
            _ => Tier::Preferred,
        }
    }

    /// Returns whether the leaf is no longer registered.
    pub fn is_unregistered(&self) -> bool {
        self.unregistered_since.is_some()
    }

    /// Returns whether the leaf has to be removed, because it is unregistered and either leaving
    /// (accepting no new work) or unregistered for [`UNREGISTERED_GRACE`].
    pub(super) fn is_gone(&self, now: Instant) -> bool {
        let has_expired = |since| now.saturating_duration_since(since) >= UNREGISTERED_GRACE;
        self.unregistered_since
            .is_some_and(|since| self.instance.is_leaving || has_expired(since))
    }

    /// Returns the number of requests of this VM that are in flight at the leaf.
    pub fn open_attempts(&self) -> usize {
        self.open_attempts.len()
    }

    /// Returns the expected latency of a request that is sent at `now`. `typical` is the typical
    /// latency of the service, and `interval` the typical interval between two requests to the
    /// service.
    pub fn expected_latency(
        &self,
        typical: Duration,
        interval: Duration,
        now: Instant,
    ) -> Duration {
        let prior = if self.is_local {
            typical
        } else {
            typical + OTHER_DOMAIN_LATENCY
        };
        let weight = self.measurement_weight(interval, now);
        let known = self.average_latency.map_or(prior, |average| {
            average.mul_f64(weight) + prior.mul_f64(1.0 - weight)
        });
        let known = known + self.failure_cost(typical, interval, now);
        let oldest = self.open_attempts.iter().map(|(_, sent)| *sent).min();
        let waiting = oldest.map_or(Duration::ZERO, |sent| now.saturating_duration_since(sent));
        let known = if waiting > known.mul_f64(PAUSE_FACTOR) {
            known + waiting
        } else {
            known
        };
        let slots = f64::from(self.instance.slots.max(1));
        let load_factor = 1.0 + self.open_attempts.len() as f64 / slots;
        known.mul_f64(load_factor * self.warm_up_factor(now))
    }

    /// Returns the factor on the latency of a leaf that is warming up.
    pub(super) fn warm_up_factor(&self, now: Instant) -> f64 {
        let is_warming_up =
            now.saturating_duration_since(self.added_at) < self.instance.warm_up_left;
        if is_warming_up { 1.6 } else { 1.0 }
    }

    /// Returns the expected cost of a failure and the attempt that follows it.
    pub(super) fn failure_cost(
        &self,
        typical: Duration,
        interval: Duration,
        now: Instant,
    ) -> Duration {
        let weight = self.measurement_weight(interval, now);
        typical.mul_f64(self.failure_share * weight * FAILURE_COST_FACTOR)
    }

    /// Returns the weight of what was last measured, which decays with its age.
    fn measurement_weight(&self, interval: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured_at);
        let half_life = MIN_HALF_LIFE.max(interval * MIN_HALF_LIFE_REQUESTS);
        0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    /// Returns the number of attempts in flight that count as work left.
    pub fn open_work(&self) -> usize {
        self.work.open()
    }

    /// Records a request that is sent to the leaf.
    pub fn begin_attempt(&mut self, attempt: AttemptId, now: Instant) {
        self.open_attempts.push((attempt, now));
    }

    /// Records the end of an attempt; returns how long it took, or `None` if the attempt is
    /// unknown. `interval` is the typical interval between two requests to the service.
    pub fn end_attempt(
        &mut self,
        attempt: AttemptId,
        ending: Ending,
        interval: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let index = self
            .open_attempts
            .iter()
            .position(|(id, _)| *id == attempt)?;
        let (_, sent) = self.open_attempts.swap_remove(index);
        let elapsed = now.saturating_duration_since(sent);
        if matches!(ending, Ending::Answered | Ending::Failed | Ending::Rejected) {
            self.crashed_at = None;
        }
        match ending {
            Ending::Answered => {
                self.consecutive_failures = 0;
                self.consecutive_rejections = 0;
                self.failure_share *= 1.0 - FAILURE_WEIGHT;
                self.suspended_until = None;
                self.avoided_until = None;
                self.record_latency(elapsed, now);
            }
            Ending::Rejected => self.record_rejection(now),
            Ending::Failed | Ending::Lost => self.record_failure(interval, now),
            Ending::Unreachable | Ending::Misdirected => {
                self.consecutive_failures = self
                    .consecutive_failures
                    .max(FAILURES_BEFORE_SUSPENSION - 1);
                self.record_failure(interval, now);
            }
            Ending::Withheld => {}
            Ending::Abandoned => {
                let known = self.average_latency.unwrap_or(Duration::ZERO);
                if elapsed > known {
                    self.record_latency(elapsed, now);
                }
                if self.suspended_until.is_some() {
                    self.record_failure(interval, now);
                }
            }
        }
        Some(elapsed)
    }

    /// Records that the leaf sent no reply to an abandoned request, not even after it was
    /// abandoned.
    pub fn record_unresponsive(&mut self, interval: Duration, now: Instant) {
        self.record_failure(interval, now);
    }

    fn record_latency(&mut self, elapsed: Duration, now: Instant) {
        let average = self.average_latency.map_or(elapsed, |average| {
            average.mul_f64(1.0 - LATENCY_WEIGHT) + elapsed.mul_f64(LATENCY_WEIGHT)
        });
        self.average_latency = Some(average);
        self.measured_at = now;
    }

    fn record_rejection(&mut self, now: Instant) {
        self.consecutive_rejections += 1;
        self.update_failure_share(now);
        if self.consecutive_rejections >= REJECTIONS_BEFORE_SUSPENSION {
            self.suspended_until = Some(now + REJECTION_BACKOFF);
        }
    }

    fn update_failure_share(&mut self, now: Instant) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.measured_at = now;
    }

    fn record_failure(&mut self, interval: Duration, now: Instant) {
        let requests = INITIAL_AVOIDED_REQUESTS << self.consecutive_failures.min(8);
        self.avoided_until = Some(now + interval * requests.min(MAX_AVOIDED_REQUESTS));
        self.consecutive_failures += 1;
        self.update_failure_share(now);
        if self.consecutive_failures < FAILURES_BEFORE_SUSPENSION {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURES_BEFORE_SUSPENSION).min(8);
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << doublings);
        self.suspended_until = Some(now + backoff.min(MAX_BACKOFF));
    }
}
