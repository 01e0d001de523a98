//! Updates the state of the leaf from its replies, failures and health checks.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! the leaf. The concurrency is the adaptive limit on the parts that run at the leaf at a time.

use std::time::{Duration, Instant};

use super::{Action, Completion, HeldSnapshots, LeafQueue, MAX_BACKOFF, MIN_SHED_BACKOFF, Running};
use crate::core::leaf::State;
use crate::prelude::*;

/// Consecutive failures after which the leaf gets no parts during a backoff.
const FAILURES_TO_BACK_OFF: u32 = 3;

/// First backoff after consecutive failures; each further backoff is twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Time after a failed part during which an unresponsive health endpoint extends the backoff.
const RECENT_FAILURE_TTL: Duration = Duration::from_secs(10);

/// Period without parts after consecutive failures.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    /// When the period ends.
    pub(super) until: Instant,
    /// Length of the period.
    pub(super) delay: Duration,
    /// Reason of the failure after which the first of the consecutive backoffs began.
    pub(super) reason: Reason,
}

impl LeafQueue {
    /// Updates the state of the leaf from the completion of an attempt.
    pub(super) fn record_completion(
        &mut self,
        ended: &Running,
        completion: &Completion,
        now: Instant,
    ) -> Vec<Action> {
        match completion {
            Completion::Replied { state, .. } => {
                self.record_reply(now.saturating_duration_since(ended.started_at), now);
                self.on_reply_state(*state, now);
                Vec::new()
            }
            Completion::Shed { retry_after, state } => {
                self.consecutive_failures = 0;
                self.concurrency.on_shed();
                self.on_reply_state(*state, now);
                if self.running.is_empty() {
                    let wait = retry_after.unwrap_or(MIN_SHED_BACKOFF);
                    self.not_before = Some(now + wait.clamp(MIN_SHED_BACKOFF, MAX_BACKOFF));
                }
                Vec::new()
            }
            Completion::SnapshotNotHeld { held } => {
                self.consecutive_failures = 0;
                self.set_held_snapshots(&ended.part, held);
                Vec::new()
            }
            Completion::LeafError => {
                self.consecutive_failures = 0;
                Vec::new()
            }
            Completion::NotSent(reason) | Completion::Interrupted(reason) if !ended.is_answered => {
                self.record_failure(*reason, now)
            }
            Completion::TimedOut if !ended.is_answered => {
                self.record_failure(Reason::Unreachable, now)
            }
            Completion::TimedOut | Completion::NotSent(_) | Completion::Interrupted(_) => {
                self.record_abort(ended, now)
            }
        }
    }

    fn record_reply(&mut self, service_time: Duration, now: Instant) {
        self.consecutive_failures = 0;
        self.backoff = None;
        self.last_reply = Some(now);
        self.service_times.record(service_time);
        self.concurrency.on_answer(self.median());
    }

    /// Records an attempt that completed after it was aborted. Its duration shows that the leaf
    /// takes at least this long. The attempt counts as a failure if its deadline has passed.
    fn record_abort(&mut self, ended: &Running, now: Instant) -> Vec<Action> {
        let service_time = now.saturating_duration_since(ended.started_at);
        if service_time > self.p95() {
            self.service_times.record(service_time);
        }
        if now < ended.part.deadline {
            return Vec::new();
        }
        self.record_failure(Reason::Unreachable, now)
    }

    fn record_failure(&mut self, reason: Reason, now: Instant) -> Vec<Action> {
        self.consecutive_failures += 1;
        self.last_failure = Some(now);
        match self.backoff {
            None if self.consecutive_failures >= FAILURES_TO_BACK_OFF => {
                self.start_backoff(INITIAL_BACKOFF, reason, now);
            }
            Some(backoff) if now >= backoff.until => self.extend_backoff(now),
            _ => {}
        }
        vec![Action::CloseIdle]
    }

    /// Returns whether a part failed so recently that an unresponsive health endpoint confirms the
    /// failure. Later, parts are sent regardless, because the endpoint may be unresponsive while
    /// the leaf serves.
    pub(super) fn has_recent_failure(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.last_failure
            .is_some_and(|at| age(at) < RECENT_FAILURE_TTL)
    }

    fn start_backoff(&mut self, delay: Duration, reason: Reason, now: Instant) {
        let until = now + delay;
        self.backoff = Some(Backoff {
            until,
            delay,
            reason,
        });
        self.concurrency.reset_to_one();
        self.next_probe = self.next_probe.min(until);
    }

    pub(super) fn extend_backoff(&mut self, now: Instant) {
        let Some(backoff) = self.backoff else {
            return;
        };
        let delay = (backoff.delay * 2).min(MAX_BACKOFF);
        self.start_backoff(delay, backoff.reason, now);
    }

    /// Ends the backoff of a leaf that answers again. The leaf gets one part at a time at first,
    /// because the start of the backoff lowered the concurrency limit.
    pub(super) fn end_backoff(&mut self) {
        if self.backoff.take().is_some() {
            self.consecutive_failures = 0;
        }
    }

    /// Applies the state that a reply of the leaf reported.
    fn on_reply_state(&mut self, state: State, now: Instant) {
        match state {
            State::Draining => self.drain.on_reply(now),
            State::Cold | State::Serving => self.set_state(state),
        }
    }

    /// Applies the state that the health endpoint reported.
    pub(super) fn on_health_state(&mut self, state: State, now: Instant) {
        self.drain.on_health(state == State::Draining, now);
        if state != State::Draining {
            self.set_state(state);
        }
    }

    fn set_state(&mut self, state: State) {
        if state == State::Cold && self.state != State::Cold {
            self.concurrency.reset_to_one();
        }
        self.state = state;
    }

    fn set_held_snapshots(&mut self, part: &Part, snapshots: &[SnapshotId]) {
        let mut snapshots = snapshots.to_vec();
        snapshots.sort_unstable();
        let (service, shard) = (&part.service, &part.shard);
        self.held.retain(|held| !held.is_for(service, shard));
        self.held.push(HeldSnapshots {
            service: service.clone(),
            shard: shard.clone(),
            snapshots,
        });
    }
}
