//! Which parts are refused, and which that wait have become hopeless.
//!
//! A part is taken only if its expected wait and the leaf's usual time fit
//! before its deadline. What is refused is told when to come back.

use std::time::{Duration, Instant};

use super::{LeafQueue, SHED_WAIT};
use crate::core::leaf::State;
use crate::prelude::*;

/// Parts that wait at most.
const MAX_QUEUED: usize = 256;

/// An estimate older than this does not refuse parts for a free slot.
const ESTIMATE_LIFE: Duration = Duration::from_secs(1);

impl LeafQueue {
    /// Why no part can be taken at all now.
    pub(super) fn closed(&self, now: Instant) -> Option<Failure> {
        if self.state() == State::Draining {
            return Some(Failure::not_run(Reason::Leaving));
        }
        if self.share == 0 {
            return Some(Failure::not_run(Reason::NoOwner));
        }
        let pause = self.pause.filter(|pause| now < pause.until)?;
        Some(Failure::not_run(pause.reason).retry_after(pause.until - now))
    }

    pub(super) fn refusal(&self, part: &Part, now: Instant) -> Option<Failure> {
        if now >= part.deadline {
            return Some(Failure::not_run(Reason::Deadline));
        }
        if let Some(failure) = self.closed(now) {
            return Some(failure);
        }
        let wait = self.expected_wait(self.waiting.len(), now);
        if self.waiting.len() >= MAX_QUEUED || !self.in_time(part, wait, now) {
            return Some(Failure::not_run(Reason::QueueFull).retry_after(wait.max(SHED_WAIT)));
        }
        None
    }

    /// Expected wait of a part with so many others ahead of it in the queue.
    fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let slots = usize::from(self.slots()).max(1);
        let paused = self
            .not_before
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let before = (ahead + self.running.len() + 1).saturating_sub(slots);
        paused + self.median().mul_f64(before as f64 / slots as f64)
    }

    /// Whether a part still ends in time after a wait. A free slot is not
    /// refused on an old estimate, as only a new answer can correct it.
    fn in_time(&self, part: &Part, wait: Duration, now: Instant) -> bool {
        if now >= part.deadline {
            return false;
        }
        if wait.is_zero() && !self.estimate_is_fresh(now) {
            return true;
        }
        now + wait + self.median() <= part.deadline
    }

    fn estimate_is_fresh(&self, now: Instant) -> bool {
        self.last_answer
            .is_some_and(|at| now.saturating_duration_since(at) < ESTIMATE_LIFE)
    }

    /// When a waiting part has to start to end in time.
    pub(super) fn last_start(&self, part: &Part) -> Instant {
        part.deadline
            .checked_sub(self.median())
            .unwrap_or(part.deadline)
    }

    pub(super) fn hopeless(&self, ahead: usize, now: Instant) -> Option<Failure> {
        let wait = self.expected_wait(ahead, now);
        if self.in_time(&self.waiting[ahead].part, wait, now) {
            return None;
        }
        let back = self.expected_wait(self.waiting.len(), now).max(SHED_WAIT);
        Some(Failure::not_run(Reason::QueueFull).retry_after(back))
    }
}
