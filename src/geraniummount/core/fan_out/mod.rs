//! State machine of one query, which sends a part to each shard and merges the replies.
//!
//! The layout (the shards that the service covers and the leaves that hold each) and the
//! configuration revision (in the layout and the view) are pinned when the query is admitted. All
//! parts read the same snapshot, a version of the index. A reply read from another snapshot is not
//! merged. If too many shards can't serve the snapshot, the query restarts on another one. Coverage
//! is computed from the merged replies: each shard is either included or missing with a reason.
//!
//! Each try to run a part at one leaf is an attempt. It goes through the owner of the leaf, the VM
//! that holds the leaf's queue. A late part is hedged (sent to another replica as well) and a
//! failed part is retried there, both within the service's retry budget (its limit on hedges and
//! retries). A shard is open until it is settled, that is, included or missing. The answer is
//! returned when every shard is settled, when waiting longer is not worthwhile under the query's
//! preference for `coverage` or `latency`, or just before the deadline.

mod action;
mod admission;
pub(in crate::core) mod backoff;
mod counters;
pub(in crate::core) mod crash;
mod finish;
mod hedge;
mod query;
mod restart;
mod send;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::core::answer::ShardTrace;
use crate::core::holding::Holding;
use crate::core::holdings::Candidate;
use crate::core::layout::Layout;
use crate::core::margin;
use crate::core::service::Preference;
use crate::core::shard_state::{Settled, ShardState};
use crate::core::traffic::Traffic;
use crate::prelude::*;

pub use self::action::Action;
pub use self::counters::Counters;
pub use self::query::Query;

/// Under the `latency` preference, a query with open shards ends before its deadline only if at
/// most this share of the shards is not included.
const MAX_MISSING_SHARE: f64 = 0.2;

/// Under the `latency` preference, a query waits for open shards until this multiple of the time
/// that the slowest included shard took has passed since its start, or until no reply is expected
/// from them any more, if that is later.
const LATE_SHARD_WAIT_FACTOR: f64 = 2.5;

/// Delay after which the caller may retry a failed query, if the failure specifies none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// State of one query.
#[derive(Debug)]
pub struct FanOut {
    query: Query,
    /// Fleet and configuration when the query was admitted.
    view: Arc<View>,
    layout: Layout,
    shards: Vec<ShardState>,
    /// Snapshot that all parts read; 0 until `start` chooses one.
    snapshot: SnapshotId,
    /// Snapshots on which the query ran before a restart.
    snapshots_tried: Vec<SnapshotId>,
    started: Instant,
    /// When the answer must be returned, a margin before the deadline.
    answer_by: Instant,
    /// Worst verdict (not run, may have run, ran; the last is the worst) on the shards whose
    /// replies restarts discarded.
    discarded_verdict: Verdict,
    /// Number of leaves that crashed at earlier arrivals of the query.
    earlier_crashes: usize,
    /// Leaves that closed the connection while they had a part.
    crashed: Vec<LeafName>,
    /// Whether any leaf has answered a part.
    has_answer: bool,
    /// When late parts were last checked for hedging.
    hedges_checked_at: Instant,
    counters: Counters,
    is_finished: bool,
}

impl FanOut {
    /// Creates the state of a query on a pinned layout.
    pub fn new(query: Query, layout: Layout, view: Arc<View>, now: Instant) -> FanOut {
        let answer_by = margin::answer_by(query.deadline, now);
        let shards = layout.shards.iter().map(|_| ShardState::default());
        FanOut {
            shards: shards.collect(),
            query,
            view,
            layout,
            snapshot: 0,
            snapshots_tried: Vec::new(),
            started: now,
            answer_by,
            discarded_verdict: Verdict::NotRun,
            earlier_crashes: 0,
            crashed: Vec::new(),
            has_answer: false,
            hedges_checked_at: now,
            counters: Counters::default(),
            is_finished: false,
        }
    }

    /// Selects the snapshot and sends the first attempt at each shard. `traffic` is the state that
    /// all queries of this VM share: the ranking of replicas, their snapshots and the retry
    /// budgets.
    pub fn start(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        if self.shards.is_empty() {
            return self.fail(Failure::not_run(Reason::NoReplica));
        }
        if now >= self.answer_by {
            return self.fail(Failure::not_run(Reason::Deadline));
        }
        // No snapshot is excluded, because none was tried yet.
        let usable = |leaf: &LeafName| self.is_usable(traffic, leaf, now);
        let chosen = traffic.holdings.choose_snapshot(&self.layout, &[], usable);
        let chosen = chosen.or_else(|| self.choose_even_suspended(traffic));
        let Some(chosen) = chosen else {
            let failure = Failure::not_run(Reason::SnapshotNotHeld);
            return self.fail(failure.with_retry_after(DEFAULT_RETRY_AFTER));
        };
        self.snapshot = chosen.snapshot;
        if let Some(failure) = self.admission_failure(traffic, now) {
            return self.fail(failure);
        }
        self.send_first_attempts(traffic, now)
    }

    /// Chooses a snapshot when no usable leaf holds one. Under the `coverage` preference, leaves
    /// that are suspended, that is, not tried for a while after failures, count too.
    fn choose_even_suspended(&self, traffic: &Traffic) -> Option<Candidate> {
        let usable = |leaf: &LeafName| self.allows_suspended() && !self.view.is_leaving(leaf);
        traffic.holdings.choose_snapshot(&self.layout, &[], usable)
    }

    /// Handles the outcome of an attempt.
    pub fn on_outcome(
        &mut self,
        outcome: Outcome,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Vec<Action> {
        let Some(index) = self.close_attempt(&outcome, traffic, now) else {
            self.counters.ignored_outcomes += 1;
            return Vec::new();
        };
        self.record_snapshots(index, &outcome, traffic);
        self.has_answer |= outcome.result.is_ok();
        if crash::is_leaf_crash(&outcome) {
            self.crashed.extend(self.shards[index].last_leaf.clone());
        }
        // The loss of the leaf's owner says nothing about the leaf, which may answer through
        // another owner.
        if outcome.is_owner_lost() {
            self.shards[index].allow_retry_of_last_leaf();
        }
        let owner = outcome.report.map(|report| report.owner);
        let mut actions = match self.check_snapshot(outcome.result) {
            Ok(reply) => self.include(index, reply, traffic, now),
            Err(failure) => self.retry_or_settle(index, failure, traffic, now),
        };
        let shard = &mut self.shards[index];
        if shard.settled.is_some() {
            shard.owner = owner;
        }
        actions.extend(self.advance(traffic, now));
        actions
    }

    /// Performs the work that is due: a restart, retries, hedges or the answer.
    pub fn tick(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        self.advance(traffic, now)
    }

    /// Cancels the query because its caller no longer waits for the answer.
    pub fn cancel(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        self.is_finished = true;
        self.cancel_all(traffic, now)
    }

    /// Returns when `tick` must be called next; `None` once the query is finished.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.is_finished {
            return None;
        }
        let hedges = self.shards.iter().filter_map(|shard| shard.hedge_at);
        // While no hedge is allowed, due hedges are checked every `HEDGE_RECHECK_INTERVAL`.
        let may_hedge = self.may_hedge();
        let recheck = self.hedges_checked_at + hedge::HEDGE_RECHECK_INTERVAL;
        let hedges = hedges.map(|at| if may_hedge { at } else { at.max(recheck) });
        let retries = self.shards.iter().filter_map(|shard| shard.pending_retry);
        hedges
            .chain(retries.map(|(at, _)| at))
            .chain(self.give_up_at())
            .chain([self.answer_by])
            .min()
    }

    /// Returns the event counters up to now.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns a trace of each shard up to now.
    pub fn traces(&self) -> Vec<ShardTrace> {
        let shards = self.shards.iter().zip(&self.layout.shards);
        shards
            .map(|(state, shard)| state.trace(&shard.name, self.started))
            .collect()
    }

    /// Removes the attempt of an outcome, records the outcome in the ranking, and returns the index
    /// of the attempt's shard; `None` if the attempt is unknown or the query is finished.
    fn close_attempt(
        &mut self,
        outcome: &Outcome,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Option<usize> {
        if self.is_finished {
            return None;
        }
        let mut shards = self.shards.iter_mut().enumerate();
        let (index, attempt) = shards.find_map(|(index, shard)| {
            let attempt = shard.remove_attempt(outcome.attempt)?;
            Some((index, attempt))
        })?;
        let elapsed = now.saturating_duration_since(attempt.sent);
        let ranking = &mut traffic.ranking;
        // `true`: the attempt still counted as in flight.
        ranking.on_outcome(&attempt.leaf, outcome, elapsed, true, now);
        self.shards[index].last_leaf = Some(attempt.leaf);
        Some(index)
    }

    /// Records which snapshots the replica that the outcome refers to holds, as its owner reported
    /// (an empty list means unknown) or as its failure shows.
    fn record_snapshots(&self, index: usize, outcome: &Outcome, traffic: &mut Traffic) {
        let shard = &self.layout.shards[index];
        let Some(leaf) = &self.shards[index].last_leaf else {
            return;
        };
        if let Some(report) = &outcome.report
            && !report.held.is_empty()
        {
            traffic.holdings.set(Holding {
                service: shard.service.clone(),
                shard: shard.shard.clone(),
                leaf: leaf.clone(),
                snapshots: report.held.clone(),
            });
        }
        if let Err(failure) = &outcome.result
            && failure.reason == Reason::SnapshotNotHeld
        {
            traffic.holdings.remove_snapshot(shard, leaf, self.snapshot);
        }
    }

    /// Turns a reply read from another snapshot than the query's into a failure. The verdict is
    /// that the part ran, because the leaf replied.
    fn check_snapshot(&mut self, result: Result<Reply, Failure>) -> Result<Reply, Failure> {
        let reply = result?;
        if reply.snapshot == self.snapshot {
            return Ok(reply);
        }
        self.counters.snapshot_mismatches += 1;
        Err(Failure {
            verdict: Verdict::Ran,
            reason: Reason::SnapshotMismatch,
            retry_after: None,
        })
    }

    /// Settles a shard with its reply, and cancels the other attempts at it.
    fn include(
        &mut self,
        index: usize,
        reply: Reply,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Vec<Action> {
        let cancels = self.cancel_shard(index, traffic, now);
        self.shards[index].settle(Settled::Included(reply.body), now);
        cancels
    }

    /// Retries a failed part on another replica, schedules a later retry, or settles its shard as
    /// missing.
    fn retry_or_settle(
        &mut self,
        index: usize,
        failure: Failure,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Vec<Action> {
        let shard = &mut self.shards[index];
        shard.record_failure(failure);
        if failure.is_unreachable() {
            shard.unreachable.extend(shard.last_leaf.clone());
        }
        if !shard.in_flight.is_empty() {
            return Vec::new();
        }
        let retry_kind = self.retry_kind(index, &failure);
        if let Some(kind) = retry_kind
            && self.may_crash_more()
        {
            self.shards[index].waiting = Some((kind, failure.reason));
            return Vec::new();
        }
        if let Some(kind) = retry_kind
            && let Some(replica) = self.next_replica(index, traffic, now)
            && self.charge_budget(kind, traffic)
        {
            return vec![self.send(index, replica, kind, traffic, now)];
        }
        if !self.schedule_retry(index, &failure, traffic, now) {
            self.shards[index].settle(Settled::Missing(failure.reason), now);
        }
        Vec::new()
    }

    /// Restarts the query, sends the retries and hedges that are due, or finishes the query.
    fn advance(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        if let Some(actions) = self.restart(traffic, now) {
            return actions;
        }
        let mut actions = self.resume_waiting(traffic, now);
        actions.extend(self.send_due_retries(traffic, now));
        if self.open_shard_count() == 0 {
            actions.extend(self.finish());
            return actions;
        }
        actions.extend(self.hedge(traffic, now));
        let reason = if now >= self.answer_by {
            Reason::Deadline
        } else if self.give_up_at().is_some_and(|end| now >= end) {
            Reason::NotWorthWaiting
        } else {
            return actions;
        };
        actions.extend(self.cancel_all(traffic, now));
        self.settle_open_shards(reason, now);
        actions.extend(self.finish());
        actions
    }

    /// Returns the number of shards that are not settled.
    fn open_shard_count(&self) -> usize {
        let open = self.shards.iter().filter(|shard| shard.settled.is_none());
        open.count()
    }

    /// Returns when the query stops waiting for the open shards under the `latency` preference.
    fn give_up_at(&self) -> Option<Instant> {
        if self.query.prefer != Preference::Latency {
            return None;
        }
        let not_included = self.shards.iter().filter(|s| !s.is_included()).count();
        if not_included as f64 > self.shards.len() as f64 * MAX_MISSING_SHARE {
            return None;
        }
        let included = self.shards.iter().filter(|s| s.is_included());
        let last_settled = included.filter_map(|s| s.settled_at).max()?;
        let slowest_took = last_settled.saturating_duration_since(self.started);
        let open = self.shards.iter().filter(|s| s.settled.is_none());
        let expected_end = open.filter_map(ShardState::expected_end).max();
        let end = self.started + slowest_took.mul_f64(LATE_SHARD_WAIT_FACTOR);
        Some(expected_end.map_or(end, |expected_end| expected_end.max(end)))
    }

    /// Cancels the attempts in flight at a shard.
    fn cancel_shard(&mut self, index: usize, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        let shard = &mut self.shards[index];
        shard.hedge_at = None;
        let in_flight = std::mem::take(&mut shard.in_flight);
        if !in_flight.is_empty() {
            shard.worst_verdict = shard.worst_verdict.max(Verdict::MayHaveRun);
        }
        let cancels = in_flight.into_iter().map(|attempt| {
            let elapsed = now.saturating_duration_since(attempt.sent);
            traffic.ranking.on_abandon(&attempt.leaf, elapsed, now);
            Action::Cancel {
                attempt: attempt.id,
                leaf: attempt.leaf,
            }
        });
        cancels.collect()
    }

    fn cancel_all(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            actions.extend(self.cancel_shard(index, traffic, now));
        }
        actions
    }

    /// Settles the open shards as missing, for the reason of the failure if a retry is pending,
    /// otherwise for the given reason.
    fn settle_open_shards(&mut self, reason: Reason, now: Instant) {
        let open = self.shards.iter_mut().filter(|s| s.settled.is_none());
        for shard in open {
            let reason = shard
                .pending_retry
                .map_or(reason, |(_, retry_reason)| retry_reason);
            shard.settle(Settled::Missing(reason), now);
        }
    }
}
