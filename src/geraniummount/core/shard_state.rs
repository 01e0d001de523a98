//! Progress of one shard of a query: its attempts, pending retries and result.
//!
//! An attempt is one try to run the shard's part of the query at one leaf. A hedge is an attempt in
//! addition to one that is still in flight, and a redirect is one after an attempt that did not
//! reach a leaf. The shard is settled once its reply is included in the answer or the shard is
//! given up with a reason.

use std::time::{Duration, Instant};

use crate::core::answer::ShardTrace;
use crate::prelude::*;

/// Multiple of `late_after` after which no reply to an attempt is expected any more.
const EXPECTED_END_FACTOR: u32 = 2;

/// Number of attempts at a shard after which no replica may be tried a second time.
const MAX_ATTEMPTS: u32 = 3;

/// Progress of one shard of a query.
#[derive(Debug)]
pub(crate) struct ShardState {
    /// Attempts that have no outcome yet.
    pub(crate) in_flight: Vec<Attempt>,
    /// Replicas to which attempts were sent.
    pub(crate) tried: Vec<LeafName>,
    /// Those of the tried replicas that could not be reached.
    pub(crate) unreachable: Vec<LeafName>,
    /// Time of the pending retry, and why the shard could not be reached before.
    pub(crate) pending_retry: Option<(Instant, Reason)>,
    /// Attempt that waits until a leaf has answered the query, with the reason for which the shard is
    /// missing if none does.
    pub(crate) waiting: Option<(Kind, Reason)>,
    /// Number of times that a retry was scheduled after a wait.
    pub(crate) retry_waits: u32,
    /// Replica that may be tried a second time, because the attempt failed at the owner of the leaf
    /// (the VM that holds its queue) and not at the leaf itself.
    retryable_leaf: Option<LeafName>,
    /// Number of attempts sent.
    pub(crate) attempts: u32,
    /// Number of hedges, including failovers, among the attempts.
    pub(crate) hedges: u32,
    /// Number of redirects among the attempts.
    pub(crate) redirects: u32,
    /// Time at which a hedge is due.
    pub(crate) hedge_at: Option<Instant>,
    /// Time from sending the last attempt until it counts as late; `None` if not known.
    pub(crate) late_after: Option<Duration>,
    /// Final result of the shard: the reply, or why there is none; `None` until it is settled.
    pub(crate) settled: Option<Settled>,
    /// Time at which the shard was settled.
    pub(crate) settled_at: Option<Instant>,
    /// Worst verdict (not run, may have run, ran; the last is the worst) of the attempts that
    /// failed or were abandoned.
    pub(crate) worst_verdict: Verdict,
    /// Longest retry-after time that a failure specified.
    pub(crate) retry_after: Option<Duration>,
    /// Replica that the last outcome refers to.
    pub(crate) last_leaf: Option<LeafName>,
    /// VM that sent the outcome that settled the shard, as the owner of the leaf.
    pub(crate) owner: Option<VmName>,
    /// Time at which the last attempt was sent.
    last_sent: Option<Instant>,
}

/// An attempt that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Id of the attempt.
    pub(crate) id: AttemptId,
    /// Leaf that the attempt was sent to.
    pub(crate) leaf: LeafName,
    /// Time at which the attempt was sent.
    pub(crate) sent: Instant,
}

/// Reason for sending an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// First attempt at the shard.
    First,
    /// An earlier attempt is late; this one is sent in addition to it.
    Hedge,
    /// The previous attempt did not reach a leaf.
    Redirect,
    /// The replica of an earlier attempt, or its owner, is unresponsive; this attempt is sent in
    /// addition to the earlier one.
    Failover,
    /// The previous attempt failed.
    Retry,
}

impl Kind {
    /// Returns whether the attempt is sent while an earlier one is still in flight.
    pub(crate) fn is_hedge(self) -> bool {
        matches!(self, Kind::Hedge | Kind::Failover)
    }
}

/// Final result of a shard.
#[derive(Debug)]
pub(crate) enum Settled {
    /// Body of the reply, which the answer includes.
    Included(Vec<u8>),
    /// Reason why the shard has no reply.
    Missing(Reason),
}

impl Default for ShardState {
    fn default() -> ShardState {
        ShardState {
            in_flight: Vec::new(),
            tried: Vec::new(),
            unreachable: Vec::new(),
            pending_retry: None,
            waiting: None,
            retry_waits: 0,
            retryable_leaf: None,
            attempts: 0,
            hedges: 0,
            redirects: 0,
            hedge_at: None,
            late_after: None,
            settled: None,
            settled_at: None,
            worst_verdict: Verdict::NotRun,
            retry_after: None,
            last_leaf: None,
            owner: None,
            last_sent: None,
        }
    }
}

impl ShardState {
    /// Records an attempt that is being sent.
    pub(crate) fn start_attempt(&mut self, attempt: Attempt, kind: Kind) {
        self.attempts += 1;
        match kind {
            Kind::Hedge | Kind::Failover => self.hedges += 1,
            Kind::Redirect => self.redirects += 1,
            Kind::First | Kind::Retry => {}
        }
        self.retryable_leaf.take_if(|leaf| *leaf == attempt.leaf);
        self.tried.push(attempt.leaf.clone());
        self.last_sent = Some(attempt.sent);
        self.in_flight.push(attempt);
    }

    /// Removes an attempt in flight and returns it.
    pub(crate) fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.id == id)?;
        Some(self.in_flight.remove(index))
    }

    /// Allows a second attempt at the replica of the last outcome, through another owner, once no
    /// untried replica is left. Does nothing if [`MAX_ATTEMPTS`] attempts were sent.
    pub(crate) fn allow_retry_of_last_leaf(&mut self) {
        if self.attempts < MAX_ATTEMPTS {
            self.retryable_leaf = self.last_leaf.clone();
        }
    }

    /// Schedules a retry for a later time; `reason` is why the shard could not be reached.
    pub(crate) fn schedule_retry(&mut self, at: Instant, reason: Reason) {
        self.retry_waits += 1;
        self.pending_retry = Some((at, reason));
    }

    /// Allows the replicas that could not be reached to be tried again.
    pub(crate) fn allow_retry_of_unreachable(&mut self) {
        let unreachable = std::mem::take(&mut self.unreachable);
        self.tried.retain(|leaf| !unreachable.contains(leaf));
        self.redirects = 0;
    }

    /// Returns the leaves that may be tried next: the untried ones or, if there are none, the one
    /// that may be tried a second time.
    pub(crate) fn eligible_leaves<'a>(&'a self, replicas: &'a [LeafName]) -> Vec<&'a LeafName> {
        let untried = replicas.iter().filter(|leaf| !self.tried.contains(leaf));
        let untried: Vec<&LeafName> = untried.collect();
        if untried.is_empty() {
            return self.retryable_leaf.iter().collect();
        }
        untried
    }

    /// Records the failure of an attempt.
    pub(crate) fn record_failure(&mut self, failure: Failure) {
        self.worst_verdict = self.worst_verdict.max(failure.verdict);
        self.retry_after = self.retry_after.max(failure.retry_after);
    }

    /// Sets the final result of the shard and cancels its pending hedge and retry.
    pub(crate) fn settle(&mut self, settled: Settled, now: Instant) {
        self.hedge_at = None;
        self.pending_retry = None;
        self.waiting = None;
        self.settled_at = Some(now);
        self.settled = Some(settled);
    }

    /// Returns whether the answer includes the shard's reply.
    pub(crate) fn is_included(&self) -> bool {
        matches!(self.settled, Some(Settled::Included(_)))
    }

    /// Returns whether the shard is settled without a reply.
    pub(crate) fn is_missing(&self) -> bool {
        self.missing_reason().is_some()
    }

    /// Returns the reason if the shard is settled without a reply.
    pub(crate) fn missing_reason(&self) -> Option<Reason> {
        match self.settled {
            Some(Settled::Missing(reason)) => Some(reason),
            _ => None,
        }
    }

    /// Returns whether the shard is missing because its replicas could not serve the snapshot, the
    /// version of the index that the query reads.
    pub(crate) fn has_lost_snapshot(&self) -> bool {
        matches!(
            self.missing_reason(),
            Some(Reason::SnapshotMismatch | Reason::SnapshotNotHeld)
        )
    }

    /// Returns whether the query has run, or may have run, on the shard.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.is_included() {
            return Verdict::Ran;
        }
        if !self.in_flight.is_empty() {
            return self.worst_verdict.max(Verdict::MayHaveRun);
        }
        self.worst_verdict
    }

    /// Returns the time at which the last attempt has been in flight for `factor` times
    /// `late_after`.
    pub(crate) fn late_at(&self, factor: f64) -> Option<Instant> {
        Some(self.last_sent? + self.late_after?.mul_f64(factor))
    }

    /// Returns the time after which no reply to the last attempt is expected, even a late one.
    pub(crate) fn expected_end(&self) -> Option<Instant> {
        Some(self.last_sent? + self.late_after? * EXPECTED_END_FACTOR)
    }

    /// Returns the trace of the shard for the query's explanation.
    pub(crate) fn trace(&self, shard: &str, started: Instant) -> ShardTrace {
        let took = self
            .settled_at
            .map(|at| at.saturating_duration_since(started));
        ShardTrace {
            shard: shard.to_owned(),
            leaf: self.last_leaf.clone(),
            owner: self.owner.clone(),
            attempts: self.attempts,
            hedges: self.hedges,
            took,
        }
    }
}
