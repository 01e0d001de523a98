//! How far one shard of a query is.

use std::time::{Duration, Instant};

use crate::core::answer::ShardTrace;
use crate::prelude::*;

/// Time after a late mark that an attempt gets before it is given up.
const LATE_FACTOR: u32 = 2;

/// Attempts after which a replica is not tried again.
const MAX_ATTEMPTS: u32 = 3;

/// One shard of a query.
#[derive(Debug)]
pub(crate) struct ShardState {
    /// Attempts without an outcome.
    pub(crate) open: Vec<Attempt>,
    /// Replicas that attempts were sent to.
    pub(crate) tried: Vec<LeafName>,
    /// Replicas of them that nothing could be sent to.
    pub(crate) unreached: Vec<LeafName>,
    /// When it is tried again, and why it could not be reached before.
    pub(crate) waiting: Option<(Instant, Reason)>,
    /// Times that it waited to be tried again.
    pub(crate) waits: u32,
    /// Replica whose owner was lost with the attempt.
    again: Option<LeafName>,
    /// Attempts sent.
    pub(crate) attempts: u32,
    /// Hedges among them.
    pub(crate) hedges: u32,
    /// Redirects among them.
    pub(crate) redirects: u32,
    /// When a hedge is due.
    pub(crate) hedge_at: Option<Instant>,
    /// Time after which the last attempt counts as late.
    pub(crate) late: Option<Duration>,
    /// The reply, or why there will be none.
    pub(crate) settled: Option<Settled>,
    /// When it was settled.
    pub(crate) settled_at: Option<Instant>,
    /// Worst verdict of the attempts that failed or were given up.
    pub(crate) worst: Verdict,
    /// Longest time to come back that a failure named.
    pub(crate) retry_after: Option<Duration>,
    /// Replica of the last outcome.
    pub(crate) leaf: Option<LeafName>,
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
    Rescue,
    /// The one before failed.
    Retry,
}

impl Kind {
    /// Whether it is sent beside an attempt that is still open.
    pub(crate) fn is_hedge(self) -> bool {
        matches!(self, Kind::Hedge | Kind::Rescue)
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
            open: Vec::new(),
            tried: Vec::new(),
            unreached: Vec::new(),
            waiting: None,
            waits: 0,
            again: None,
            attempts: 0,
            hedges: 0,
            redirects: 0,
            hedge_at: None,
            late: None,
            settled: None,
            settled_at: None,
            worst: Verdict::NotRun,
            retry_after: None,
            leaf: None,
            owner: None,
            last_sent: None,
        }
    }
}

impl ShardState {
    /// Adds an attempt that is being sent.
    pub(crate) fn begin(&mut self, attempt: Attempt, kind: Kind) {
        self.attempts += 1;
        match kind {
            Kind::Hedge | Kind::Rescue => self.hedges += 1,
            Kind::Redirect => self.redirects += 1,
            Kind::First | Kind::Retry => {}
        }
        self.again.take_if(|again| *again == attempt.leaf);
        self.tried.push(attempt.leaf.clone());
        self.last_sent = Some(attempt.sent);
        self.open.push(attempt);
    }

    /// Removes an open attempt.
    pub(crate) fn close(&mut self, id: AttemptId) -> Option<Attempt> {
        let place = self.open.iter().position(|attempt| attempt.id == id)?;
        Some(self.open.remove(place))
    }

    /// Allows the replica of the last outcome to be tried again by way of
    /// another owner, once no other replica is left.
    pub(crate) fn allow_again(&mut self) {
        if self.attempts < MAX_ATTEMPTS {
            self.again = self.leaf.clone();
        }
    }

    /// Lets it wait for another try.
    pub(crate) fn wait_until(&mut self, at: Instant, reason: Reason) {
        self.waits += 1;
        self.waiting = Some((at, reason));
    }

    /// Allows the replicas again that nothing could be sent to.
    pub(crate) fn try_unreached_again(&mut self) {
        let unreached = std::mem::take(&mut self.unreached);
        self.tried.retain(|leaf| !unreached.contains(leaf));
        self.redirects = 0;
    }

    /// Returns the replicas that may be tried: those that were not, or else
    /// the one whose owner was lost.
    pub(crate) fn left_to_try<'a>(&'a self, replicas: &'a [LeafName]) -> Vec<&'a LeafName> {
        let untried = replicas.iter().filter(|leaf| !self.tried.contains(leaf));
        let untried: Vec<&LeafName> = untried.collect();
        if untried.is_empty() {
            return self.again.iter().collect();
        }
        untried
    }

    /// Notes that an attempt failed.
    pub(crate) fn note_failure(&mut self, failure: Failure) {
        self.worst = self.worst.max(failure.verdict);
        self.retry_after = self.retry_after.max(failure.retry_after);
    }

    /// Fixes what became of the shard.
    pub(crate) fn settle(&mut self, settled: Settled, now: Instant) {
        self.hedge_at = None;
        self.waiting = None;
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
    pub(crate) fn lost_snapshot(&self) -> bool {
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
        if !self.open.is_empty() {
            return self.worst.max(Verdict::MayHaveRun);
        }
        self.worst
    }

    /// Returns when its last attempt exceeds its late mark by a factor.
    pub(crate) fn late_by(&self, factor: f64) -> Option<Instant> {
        Some(self.last_sent? + self.late?.mul_f64(factor))
    }

    /// Returns when its last attempt should have answered, even if late.
    pub(crate) fn expected_end(&self) -> Option<Instant> {
        Some(self.last_sent? + self.late? * LATE_FACTOR)
    }

    /// Returns how it went.
    pub(crate) fn trace(&self, shard: &str, started: Instant) -> ShardTrace {
        let took = self
            .settled_at
            .map(|at| at.saturating_duration_since(started));
        ShardTrace {
            shard: shard.to_owned(),
            leaf: self.leaf.clone(),
            owner: self.owner.clone(),
            attempts: self.attempts,
            hedges: self.hedges,
            took,
        }
    }
}
