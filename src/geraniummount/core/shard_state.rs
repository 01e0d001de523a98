//! How far one shard of a query is.

use std::time::{Duration, Instant};

use crate::core::answer::Trace;
use crate::prelude::*;

/// Time after a late mark that an attempt gets before it is given up.
const EXPECTED_END_FACTOR: u32 = 2;

/// Attempts after which a replica is not tried again.
const MAX_ATTEMPTS: u32 = 3;

/// One shard of a query.
#[derive(Debug)]
pub(crate) struct ShardState {
    /// Attempts without an outcome.
    pub(crate) in_flight: Vec<Attempt>,
    /// Replicas that attempts were sent to.
    pub(crate) tried: Vec<LeafName>,
    /// Replicas of them that nothing could be sent to.
    pub(crate) unreached: Vec<LeafName>,
    /// When it is tried again, and why it could not be reached before.
    pub(crate) pending_retry: Option<(Instant, Reason)>,
    /// Times that it waited to be tried again.
    pub(crate) retry_waits: u32,
    /// Replica whose owner was lost with the attempt.
    retryable_leaf: Option<LeafName>,
    /// Attempts sent.
    pub(crate) attempts: u32,
    /// Hedges among them.
    pub(crate) hedges: u32,
    /// Redirects among them.
    pub(crate) redirects: u32,
    /// When a hedge is due.
    pub(crate) hedge_at: Option<Instant>,
    /// Time after which the last attempt counts as late.
    pub(crate) late_after: Option<Duration>,
    /// The reply, or why there will be none.
    pub(crate) settled: Option<Settled>,
    /// When it was settled.
    pub(crate) settled_at: Option<Instant>,
    /// Worst verdict of the attempts that failed or were given up.
    pub(crate) worst_verdict: Verdict,
    /// Longest time to come back that a failure named.
    pub(crate) retry_after: Option<Duration>,
    /// Replica of the last outcome.
    pub(crate) last_leaf: Option<LeafName>,
    /// VM that sent the outcome that settled it.
    pub(crate) owner: Option<VmName>,
    last_sent: Option<Instant>,
}

/// An attempt without an outcome.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Its number.
    pub(crate) id: AttemptId,
    /// Leaf that it was sent to.
    pub(crate) leaf: LeafName,
    /// When it was sent.
    pub(crate) sent: Instant,
}

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// The shard's first.
    First,
    /// The first one is late.
    Hedge,
    /// The one before never reached a leaf.
    Redirect,
    /// The first one is at an owner that went silent.
    Failover,
    /// The one before failed.
    Retry,
}

impl Kind {
    /// Whether it is sent beside an attempt that is still open.
    pub(crate) fn is_hedge(self) -> bool {
        matches!(self, Kind::Hedge | Kind::Failover)
    }
}

/// What became of a shard.
#[derive(Debug)]
pub(crate) enum Settled {
    /// Its reply's body.
    Included(Vec<u8>),
    /// Why it has none.
    Missing(Reason),
}

impl Default for ShardState {
    fn default() -> ShardState {
        ShardState {
            in_flight: Vec::new(),
            tried: Vec::new(),
            unreached: Vec::new(),
            pending_retry: None,
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
    /// Adds an attempt that is being sent.
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

    /// Removes an open attempt.
    pub(crate) fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.id == id)?;
        Some(self.in_flight.remove(index))
    }

    /// Allows the replica of the last outcome to be tried again by way of
    /// another owner, once no other replica is left.
    pub(crate) fn allow_retry_of_last_leaf(&mut self) {
        if self.attempts < MAX_ATTEMPTS {
            self.retryable_leaf = self.last_leaf.clone();
        }
    }

    /// Lets it wait for another try.
    pub(crate) fn schedule_retry(&mut self, at: Instant, reason: Reason) {
        self.retry_waits += 1;
        self.pending_retry = Some((at, reason));
    }

    /// Allows the replicas again that nothing could be sent to.
    pub(crate) fn allow_retry_of_unreached(&mut self) {
        let unreached = std::mem::take(&mut self.unreached);
        self.tried.retain(|leaf| !unreached.contains(leaf));
        self.redirects = 0;
    }

    /// Returns the replicas that may be tried: those that were not, or else
    /// the one whose owner was lost.
    pub(crate) fn eligible_leaves<'a>(&'a self, replicas: &'a [LeafName]) -> Vec<&'a LeafName> {
        let untried = replicas.iter().filter(|leaf| !self.tried.contains(leaf));
        let untried: Vec<&LeafName> = untried.collect();
        if untried.is_empty() {
            return self.retryable_leaf.iter().collect();
        }
        untried
    }

    /// Notes that an attempt failed.
    pub(crate) fn note_failure(&mut self, failure: Failure) {
        self.worst_verdict = self.worst_verdict.max(failure.verdict);
        self.retry_after = self.retry_after.max(failure.retry_after);
    }

    /// Fixes what became of the shard.
    pub(crate) fn settle(&mut self, settled: Settled, now: Instant) {
        self.hedge_at = None;
        self.pending_retry = None;
        self.settled_at = Some(now);
        self.settled = Some(settled);
    }

    /// Returns whether its reply is merged.
    pub(crate) fn is_included(&self) -> bool {
        matches!(self.settled, Some(Settled::Included(_)))
    }

    /// Returns whether it is settled without a reply.
    pub(crate) fn is_missing(&self) -> bool {
        self.missing_reason().is_some()
    }

    /// Returns why it is settled without a reply.
    pub(crate) fn missing_reason(&self) -> Option<Reason> {
        match self.settled {
            Some(Settled::Missing(reason)) => Some(reason),
            _ => None,
        }
    }

    /// Returns whether no replica would read the snapshot.
    pub(crate) fn has_lost_snapshot(&self) -> bool {
        matches!(
            self.missing_reason(),
            Some(Reason::SnapshotMismatch | Reason::SnapshotNotHeld)
        )
    }

    /// Returns whether the query may have run on it.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.is_included() {
            return Verdict::Ran;
        }
        if !self.in_flight.is_empty() {
            return self.worst_verdict.max(Verdict::MayHaveRun);
        }
        self.worst_verdict
    }

    /// Returns when its last attempt exceeds its late mark by a factor.
    pub(crate) fn late_at(&self, factor: f64) -> Option<Instant> {
        Some(self.last_sent? + self.late_after?.mul_f64(factor))
    }

    /// Returns when its last attempt should have answered, even if late.
    pub(crate) fn expected_end(&self) -> Option<Instant> {
        Some(self.last_sent? + self.late_after? * EXPECTED_END_FACTOR)
    }

    /// Returns how it went.
    pub(crate) fn trace(&self, shard: &str, started: Instant) -> Trace {
        let took = self
            .settled_at
            .map(|at| at.saturating_duration_since(started));
        Trace {
            shard: shard.to_owned(),
            leaf: self.last_leaf.clone(),
            owner: self.owner.clone(),
            attempts: self.attempts,
            hedges: self.hedges,
            took,
        }
    }
}
