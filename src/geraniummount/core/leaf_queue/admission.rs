//! Admission control: which parts are rejected on arrival, and which waiting parts are shed, that
//! is, removed from the queue because they can't finish in time or no part is accepted any more.
//!
//! A slot is the capacity of the leaf to run one part; the leaf runs at most as many parts at a
//! time as it has slots. A part is accepted only if its expected wait and the leaf's median service
//! time fit before its deadline, unless a slot is free and the leaf has sent no reply recently. A
//! rejection because of the queue or of a backoff carries the delay after which a retry may help.
//!
//! The owner of a leaf is the VM that holds the leaf's queue. The connection share is the number of
//! the leaf's connections that this VM may open. A VM without a share can't act as the owner, and
//! the parts that it gets for the leaf fail with [`Reason::NoOwner`].

use std::time::{Duration, Instant};

use super::{LeafQueue, MIN_SHED_BACKOFF};
use crate::core::leaf::State;
use crate::prelude::*;

/// Maximum number of waiting parts.
const MAX_QUEUED_PARTS: usize = 256;

/// If the last reply is older than this, the median service time does not reject a part for which
/// a slot is free.
const ESTIMATE_TTL: Duration = Duration::from_secs(1);

impl LeafQueue {
    /// Returns why no part is accepted now, or `None` if parts are accepted. Either the leaf is
    /// draining (finishing the work in hand and taking no new work), or this VM may open none of
    /// the leaf's connections, or the leaf is in a backoff after consecutive failures.
    pub(super) fn not_accepting_failure(&self, now: Instant) -> Option<Failure> {
        if self.state() == State::Draining {
            return Some(Failure::not_run(Reason::Leaving));
        }
        if self.connection_share == 0 {
            return Some(Failure::not_run(Reason::NoOwner));
        }
        let backoff = self.backoff.filter(|backoff| now < backoff.until)?;
        Some(Failure::not_run(backoff.reason).with_retry_after(backoff.until - now))
    }

    /// Returns why the part is rejected on arrival, or `None` if it is accepted.
    pub(super) fn rejection(&self, part: &Part, now: Instant) -> Option<Failure> {
        if now >= part.deadline {
            return Some(Failure::not_run(Reason::Deadline));
        }
        if let Some(failure) = self.not_accepting_failure(now) {
            return Some(failure);
        }
        let wait = self.expected_wait(self.waiting.len(), now);
        if self.waiting.len() >= MAX_QUEUED_PARTS || !self.can_finish_in_time(part, wait, now) {
            return Some(
                Failure::not_run(Reason::QueueFull).with_retry_after(wait.max(MIN_SHED_BACKOFF)),
            );
        }
        None
    }

    /// Returns the expected wait of a part with the given number of parts ahead of it in the queue.
    fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let slots = usize::from(self.slots()).max(1);
        // Unlike the backoff, which rejects parts, `not_before` only delays the next start. It is
        // set when the leaf shed a part.
        let paused = self
            .not_before
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let must_finish_first = (ahead + self.running.len() + 1).saturating_sub(slots);
        paused
            + self
                .median()
                .mul_f64(must_finish_first as f64 / slots as f64)
    }

    /// Returns whether a part is expected to finish before its deadline after the given wait. A
    /// part for which a slot is free is not rejected on an old estimate of the service time,
    /// because only a new reply can correct the estimate.
    fn can_finish_in_time(&self, part: &Part, wait: Duration, now: Instant) -> bool {
        if now >= part.deadline {
            return false;
        }
        if wait.is_zero() && !self.is_estimate_fresh(now) {
            return true;
        }
        now + wait + self.median() <= part.deadline
    }

    fn is_estimate_fresh(&self, now: Instant) -> bool {
        self.last_reply
            .is_some_and(|at| now.saturating_duration_since(at) < ESTIMATE_TTL)
    }

    /// Returns the latest time at which a waiting part can start and still finish before its
    /// deadline.
    pub(super) fn latest_start(&self, part: &Part) -> Instant {
        part.deadline
            .checked_sub(self.median())
            .unwrap_or(part.deadline)
    }

    /// Returns the failure with which the waiting part behind `ahead` others is shed, or `None` if
    /// the part can finish in time.
    pub(super) fn late_failure(&self, ahead: usize, now: Instant) -> Option<Failure> {
        let wait = self.expected_wait(ahead, now);
        if self.can_finish_in_time(&self.waiting[ahead].part, wait, now) {
            return None;
        }
        let retry_after = self
            .expected_wait(self.waiting.len(), now)
            .max(MIN_SHED_BACKOFF);
        Some(Failure::not_run(Reason::QueueFull).with_retry_after(retry_after))
    }
}
