//! State machine of one non-idempotent request, which runs on one shard at most once. Its part is
//! the whole request, as it is sent to that shard.
//!
//! The request is never hedged, that is, sent to a second replica because the first is late. It is
//! sent to another replica only after the previous attempt certainly did not run it. A request for
//! which this is unclear ends with the verdict may-have-run.
//!
//! An attempt is one try to run the request at one replica, a leaf that holds the shard. It goes
//! through the owner of the leaf, the VM that holds the leaf's queue.

use std::sync::Arc;
use std::time::Instant;

use crate::core::answer::{Answer, ShardResult};
use crate::core::coverage::Coverage;
use crate::core::fan_out::{Action, Query, backoff, crash};
use crate::core::layout::Shard;
use crate::core::margin;
use crate::core::part::MAX_HOPS;
use crate::core::service::Preference;
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Maximum number of replicas that are tried before the request backs off or fails.
const MAX_ATTEMPTS: usize = 3;

/// State of one non-idempotent request.
#[derive(Debug)]
pub struct Execution {
    query: Query,
    /// Configuration and known VMs when the request was admitted.
    view: Arc<View>,
    shard: Shard,
    /// When the request has to be answered, which is a margin before its deadline.
    answer_by: Instant,
    in_flight: Option<Attempt>,
    /// Replicas to which an attempt was sent.
    tried: Vec<LeafName>,
    /// Tried replicas that could not be reached, or whose owner could not.
    unreached: Vec<LeafName>,
    /// When the request is sent again, with the preceding failure, which did not run the request.
    pending_retry: Option<(Instant, Failure)>,
    /// Number of waits before a retry up to now.
    retry_waits: u32,
    /// Leaf that closed the connection while it had the request.
    crashed: Option<LeafName>,
    is_finished: bool,
}

/// The attempt that may be running.
#[derive(Clone, Debug)]
struct Attempt {
    id: AttemptId,
    leaf: LeafName,
    sent: Instant,
}

impl Execution {
    /// Creates the state of a request for one shard of the service's layout (the shards that it
    /// covers) in the configuration of `view`.
    pub fn new(query: Query, shard: Shard, view: Arc<View>, now: Instant) -> Execution {
        Execution {
            answer_by: margin::answer_by(query.deadline, now),
            query,
            view,
            shard,
            in_flight: None,
            tried: Vec::new(),
            unreached: Vec::new(),
            pending_retry: None,
            retry_waits: 0,
            crashed: None,
            is_finished: false,
        }
    }

    /// Sends the request to the best replica.
    pub fn start(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        if now >= self.answer_by {
            return self.fail(Failure::not_run(Reason::Deadline));
        }
        self.send_next(Failure::not_run(Reason::NoReplica), traffic, now)
    }

    /// Handles the outcome of an attempt.
    pub fn on_outcome(
        &mut self,
        outcome: Outcome,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Vec<Action> {
        let is_current = self
            .in_flight
            .as_ref()
            .is_some_and(|o| o.id == outcome.attempt);
        let Some(attempt) = self.in_flight.take_if(|_| is_current) else {
            return Vec::new();
        };
        let elapsed = now.saturating_duration_since(attempt.sent);
        let ranking = &mut traffic.ranking;
        // `true`: the attempt still counted as in flight.
        ranking.on_outcome(&attempt.leaf, &outcome, elapsed, true, now);
        if crash::is_leaf_crash(&outcome) {
            self.crashed = Some(attempt.leaf.clone());
        }
        if outcome.result.as_ref().is_err_and(Failure::is_unreachable) {
            self.unreached.push(attempt.leaf);
        }
        match outcome.result {
            Ok(reply) => self.succeed(reply),
            Err(failure) if failure.verdict == Verdict::NotRun => {
                self.send_next(failure, traffic, now)
            }
            Err(failure) => self.fail(failure),
        }
    }

    /// Returns the leaf that crashed while it had the request, if one did.
    pub fn unanswered_crashes(&self) -> &[LeafName] {
        self.crashed.as_slice()
    }

    /// Performs the work that is due: a retry after a backoff, or the timeout of the request.
    pub fn tick(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        if let Some((_, previous)) = self.pending_retry.take_if(|(at, _)| now >= *at) {
            let unreached = std::mem::take(&mut self.unreached);
            self.tried.retain(|leaf| !unreached.contains(leaf));
            return self.send_next(previous, traffic, now);
        }
        if now < self.answer_by {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if let Some(attempt) = self.in_flight.take() {
            let elapsed = now.saturating_duration_since(attempt.sent);
            traffic.ranking.on_abandon(&attempt.leaf, elapsed, now);
            actions.push(Action::Cancel {
                attempt: attempt.id,
                leaf: attempt.leaf,
            });
        }
        actions.extend(self.fail(Failure::may_have_run(Reason::Deadline)));
        actions
    }

    /// Returns when `tick` must be called next; `None` once the request is finished.
    pub fn next_wake(&self) -> Option<Instant> {
        let wake = self.pending_retry.map_or(self.answer_by, |(at, _)| at);
        (!self.is_finished).then_some(wake)
    }

    /// Sends the request to the next replica. If none is left, backs off or fails with the failure
    /// of the previous attempt, which did not run the request.
    fn send_next(&mut self, previous: Failure, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        let remaining = self.answer_by.saturating_duration_since(now);
        if remaining.is_zero() {
            return self.fail(previous);
        }
        if self.tried.len() >= MAX_ATTEMPTS {
            return self.back_off_or_fail(previous, traffic, now);
        }
        let untried: Vec<LeafName> = self.untried();
        let is_in_other_domain = |leaf: &LeafName| self.view.is_in_other_domain(leaf);
        let replicas = traffic.ranking.order(&untried, is_in_other_domain, now);
        let Some(replica) = replicas.into_iter().next() else {
            return self.back_off_or_fail(previous, traffic, now);
        };
        let id = traffic.draw_attempt();
        traffic.ranking.on_send(&replica.leaf, now);
        self.tried.push(replica.leaf.clone());
        self.in_flight = Some(Attempt {
            id,
            leaf: replica.leaf.clone(),
            sent: now,
        });
        vec![Action::Send(self.new_part(id, replica.leaf, now))]
    }

    /// Schedules a retry if the service prefers coverage to latency, a tried replica became
    /// unreachable only recently, and the backoff ends before the request has to be answered. Fails
    /// otherwise.
    fn back_off_or_fail(
        &mut self,
        previous: Failure,
        traffic: &Traffic,
        now: Instant,
    ) -> Vec<Action> {
        let mut unreached = self.unreached.iter();
        let is_recent = unreached.any(|leaf| traffic.ranking.is_recently_unreachable(leaf, now));
        let retry_at = now + backoff::delay(self.retry_waits);
        let should_wait = self.query.prefer == Preference::Coverage && is_recent;
        if !should_wait || retry_at >= self.answer_by {
            return self.fail(previous);
        }
        self.retry_waits += 1;
        self.pending_retry = Some((retry_at, previous));
        Vec::new()
    }

    /// Returns the replicas that were not tried, without those whose leaf is leaving and accepts no
    /// new work.
    fn untried(&self) -> Vec<LeafName> {
        let replicas = self.shard.replicas.iter();
        replicas
            .filter(|leaf| !self.tried.contains(leaf) && !self.view.is_leaving(leaf))
            .cloned()
            .collect()
    }

    /// Creates the part of an attempt. The deadline of the part is earlier than that of the
    /// request, which leaves the owner time to report whether the part ran.
    fn new_part(&self, attempt: AttemptId, leaf: LeafName, now: Instant) -> Part {
        Part {
            attempt,
            request: self.query.request.clone(),
            service: self.shard.service.clone(),
            shard: self.shard.shard.clone(),
            leaf,
            snapshot: None,
            deadline: margin::answer_by(self.answer_by, now),
            idempotent: false,
            hops_left: MAX_HOPS,
            takeover: false,
            body: Arc::clone(&self.query.body),
        }
    }

    fn succeed(&mut self, reply: Reply) -> Vec<Action> {
        self.is_finished = true;
        let answer = Answer {
            request: self.query.request.clone(),
            snapshot: reply.snapshot,
            revision: self.view.catalog.revision,
            coverage: Coverage {
                included: vec![self.shard.name.clone()],
                missing: Vec::new(),
            },
            results: vec![ShardResult {
                shard: self.shard.name.clone(),
                body: reply.body,
            }],
        };
        vec![Action::Finish(Ok(answer))]
    }

    fn fail(&mut self, failure: Failure) -> Vec<Action> {
        self.is_finished = true;
        vec![Action::Finish(Err(failure))]
    }
}
