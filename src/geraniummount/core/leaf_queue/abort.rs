//! Aborts parts that the leaf is running.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! the leaf.

use std::time::Instant;

use super::{Action, LeafQueue};
use crate::prelude::*;

/// A running part is overdue once it exceeds the 95th percentile of the service time by this
/// factor.
const OVERDUE_FACTOR: u32 = 4;

impl LeafQueue {
    /// Answers a running attempt with a failure and aborts it.
    pub(super) fn abort(
        &mut self,
        attempt: AttemptId,
        reason: Reason,
        now: Instant,
    ) -> Vec<Action> {
        let mut running = self.running.iter_mut();
        let found = running.find(|r| r.part.attempt == attempt && !r.is_answered);
        let Some(found) = found else {
            return Vec::new();
        };
        found.is_answered = true;
        let ended = found.clone();
        let service_time = now.saturating_duration_since(ended.started_at);
        let result = Err(Failure::may_have_run(reason));
        let answer = self.answer(&ended.part, ended.queue_time, service_time, result);
        vec![answer, Action::Abort(attempt)]
    }

    /// Aborts the running attempts whose deadline has passed.
    pub(super) fn abort_expired(&mut self, now: Instant) -> Vec<Action> {
        let running = self.running.iter();
        let expired: Vec<AttemptId> = running
            .filter(|r| !r.is_answered && now >= r.part.deadline)
            .map(|r| r.part.attempt)
            .collect();
        let mut actions = Vec::new();
        for &attempt in &expired {
            actions.extend(self.abort(attempt, Reason::Deadline, now));
            if self.is_overdue(attempt, now) {
                actions.push(Action::CloseIdle);
            }
        }
        actions
    }

    /// Returns whether a running attempt takes so long that its connection, and older connections,
    /// may be unresponsive.
    pub(super) fn is_overdue(&self, attempt: AttemptId, now: Instant) -> bool {
        let found = self.running.iter().find(|r| r.part.attempt == attempt);
        found.is_some_and(|r| {
            now.saturating_duration_since(r.started_at) > self.p95() * OVERDUE_FACTOR
        })
    }
}
