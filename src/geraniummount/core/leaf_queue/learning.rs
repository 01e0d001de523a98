//! What answers and silence show of a leaf.

use std::time::{Duration, Instant};

use super::{Action, Ending, Held, LONGEST_PAUSE, LeafQueue, Running, SHED_WAIT};
use crate::core::leaf::State;
use crate::prelude::*;

/// Failures in a row after which the leaf gets no parts for a pause.
const FAILURES_TO_PAUSE: u32 = 3;

/// First pause after failures in a row; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Time after a failed part in which a silent health endpoint keeps the leaf
/// without parts.
const CONFIRMED_LIFE: Duration = Duration::from_secs(10);

/// Time without parts after failures in a row.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    pub(super) until: Instant,
    pub(super) length: Duration,
    pub(super) reason: Reason,
}

impl LeafQueue {
    /// Learns from the end of an attempt what it shows of the leaf.
    pub(super) fn learn(&mut self, ended: &Running, ending: &Ending, now: Instant) -> Vec<Action> {
        match ending {
            Ending::Replied { state, .. } => {
                self.note_answer(now.saturating_duration_since(ended.since), now);
                self.hear(*state, now);
                Vec::new()
            }
            Ending::Shed { retry_after, state } => {
                self.failures = 0;
                self.concurrency.on_shed();
                self.hear(*state, now);
                if self.running.is_empty() {
                    let wait = retry_after.unwrap_or(SHED_WAIT);
                    self.not_before = Some(now + wait.clamp(SHED_WAIT, LONGEST_PAUSE));
                }
                Vec::new()
            }
            Ending::NotHeld { held } => {
                self.failures = 0;
                self.set_held(&ended.part, held);
                Vec::new()
            }
            Ending::Refused => {
                self.failures = 0;
                Vec::new()
            }
            Ending::NotSent(reason) | Ending::Lost(reason) if !ended.answered => {
                self.note_failure(*reason, now)
            }
            Ending::TimedOut if !ended.answered => self.note_failure(Reason::Unreachable, now),
            Ending::TimedOut | Ending::NotSent(_) | Ending::Lost(_) => {
                self.note_abandoned(ended, now)
            }
        }
    }

    fn note_answer(&mut self, served: Duration, now: Instant) {
        self.failures = 0;
        self.pause = None;
        self.last_answer = Some(now);
        self.served.record(served);
        self.concurrency.on_answer(self.median());
    }

    /// An attempt that was given up shows that the leaf takes at least so
    /// long, and when it passed its deadline counts as a failure.
    fn note_abandoned(&mut self, ended: &Running, now: Instant) -> Vec<Action> {
        let served = now.saturating_duration_since(ended.since);
        if served > self.high() {
            self.served.record(served);
        }
        if now < ended.part.deadline {
            return Vec::new();
        }
        self.note_failure(Reason::Unreachable, now)
    }

    fn note_failure(&mut self, reason: Reason, now: Instant) -> Vec<Action> {
        self.failures += 1;
        self.last_failure = Some(now);
        match self.pause {
            None if self.failures >= FAILURES_TO_PAUSE => {
                self.start_pause(FIRST_PAUSE, reason, now);
            }
            Some(pause) if now >= pause.until => self.lengthen_pause(now),
            _ => {}
        }
        vec![Action::CloseIdle]
    }

    /// Whether a part failed so lately that a silent health endpoint confirms
    /// it. Later a part is tried all the same, as the endpoint may be silent
    /// while the leaf serves.
    pub(super) fn failed_lately(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.last_failure.is_some_and(|at| age(at) < CONFIRMED_LIFE)
    }

    fn start_pause(&mut self, length: Duration, reason: Reason, now: Instant) {
        let until = now + length;
        self.pause = Some(Pause {
            until,
            length,
            reason,
        });
        self.concurrency.on_cold();
        self.next_probe = self.next_probe.min(until);
    }

    pub(super) fn lengthen_pause(&mut self, now: Instant) {
        let Some(pause) = self.pause else {
            return;
        };
        let length = (pause.length * 2).min(LONGEST_PAUSE);
        self.start_pause(length, pause.reason, now);
    }

    /// The leaf answers again: it gets one part at a time at first.
    pub(super) fn end_pause(&mut self) {
        if self.pause.take().is_some() {
            self.failures = 0;
        }
    }

    /// Takes the state that an answer of the leaf told.
    fn hear(&mut self, state: State, now: Instant) {
        match state {
            State::Draining => self.drain.answer(now),
            State::Cold | State::Serving => self.set_state(state),
        }
    }

    /// Takes the state that the health endpoint told.
    pub(super) fn believe(&mut self, state: State, now: Instant) {
        self.drain.health(state == State::Draining, now);
        if state != State::Draining {
            self.set_state(state);
        }
    }

    fn set_state(&mut self, state: State) {
        if state == State::Cold && self.state != State::Cold {
            self.concurrency.on_cold();
        }
        self.state = state;
    }

    fn set_held(&mut self, part: &Part, snapshots: &[SnapshotId]) {
        let mut snapshots = snapshots.to_vec();
        snapshots.sort_unstable();
        let (service, shard) = (&part.service, &part.shard);
        self.held.retain(|held| !held.is_of(service, shard));
        self.held.push(Held {
            service: service.clone(),
            shard: shard.clone(),
            snapshots,
        });
    }
}
