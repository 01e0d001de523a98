//! Selects the replica for a part and sends the part.
//!
//! A replica is suspended while it is not tried after failures, and unresponsive while several
//! parts at its leaf or at the owner of the leaf, the VM that holds its queue, are late. A probe is
//! a single part that shows whether such a replica answers again. Hedges (second attempts at late
//! parts) and retries draw on the retry budget of the service. A part is the share of the query
//! that goes to one shard, and a snapshot is a version of the index.

use std::sync::Arc;
use std::time::Instant;

use super::{Action, FanOut};
use crate::core::part::MAX_HOPS;
use crate::core::ranking::RankedReplica;
use crate::core::retry_budget::RetryBudget;
use crate::core::service::Preference;
use crate::core::shard_state::{Attempt, Kind, Settled};
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Maximum number of other replicas tried for a part that never reached a leaf.
const MAX_REDIRECTS: u32 = 2;

impl FanOut {
    /// Returns how a failed part is sent again; `None` if it never reached a leaf and no redirect
    /// is left.
    pub(super) fn retry_kind(&self, index: usize, failure: &Failure) -> Option<Kind> {
        let redirects = self.shards[index].redirects;
        match never_reached_leaf(failure) {
            true if redirects < MAX_REDIRECTS => Some(Kind::Redirect),
            true => None,
            false => Some(Kind::Retry),
        }
    }

    /// Charges an extra attempt to the service's retry budget and returns whether the budget allows
    /// it. A part that never reached a leaf has put no load on one, and sending it to another
    /// replica is therefore free.
    pub(super) fn charge_budget(&self, kind: Kind, traffic: &mut Traffic) -> bool {
        match kind {
            Kind::First | Kind::Redirect => true,
            Kind::Hedge | Kind::Retry => self.budget(traffic).withdraw(),
            Kind::Failover => self.budget(traffic).withdraw_for_unresponsive(),
        }
    }

    fn budget<'a>(&self, traffic: &'a mut Traffic) -> &'a mut RetryBudget {
        traffic.budget(&self.query.service, self.query.extra_percent)
    }

    /// Returns the best replica that was not tried, is not suspended and can still answer in time.
    pub(super) fn next_replica(
        &self,
        index: usize,
        traffic: &Traffic,
        now: Instant,
    ) -> Option<RankedReplica> {
        let remaining = self.answer_by.saturating_duration_since(now);
        let mut replicas = self.ranked_replicas(index, traffic, now).into_iter();
        replicas.find(|replica| !replica.is_suspended && replica.expected_time < remaining)
    }

    /// Returns the untried replicas of a shard in order of preference. Replicas that hold the
    /// snapshot, or may hold it, precede those known to lack it. Unresponsive replicas follow,
    /// together with those that need a probe while the budget permits no hedge of it. Suspended
    /// replicas are last.
    pub(super) fn ranked_replicas(
        &self,
        index: usize,
        traffic: &Traffic,
        now: Instant,
    ) -> Vec<RankedReplica> {
        let shard = &self.layout.shards[index];
        let state = &self.shards[index];
        let untried = state.eligible_leaves(&shard.replicas).into_iter();
        let untried: Vec<LeafName> = untried
            .filter(|leaf| !self.view.is_leaving(leaf))
            .cloned()
            .collect();
        let is_in_other_domain = |leaf: &LeafName| self.view.is_in_other_domain(leaf);
        let mut replicas = traffic.ranking.order(&untried, is_in_other_domain, now);
        let can_probe = traffic.can_hedge(&self.query.service);
        replicas.sort_by_key(|replica| {
            let avoided = replica.is_unresponsive || (replica.is_probe && !can_probe);
            let held = traffic.holdings.snapshots(shard, &replica.leaf);
            let lacks = !held.is_empty() && !held.contains(&self.snapshot);
            (replica.is_suspended, avoided, lacks)
        });
        replicas
    }

    /// Returns whether a leaf is neither leaving (accepting no new work) nor suspended.
    pub(super) fn is_usable(&self, traffic: &Traffic, leaf: &LeafName, now: Instant) -> bool {
        !self.view.is_leaving(leaf) && !traffic.ranking.is_suspended(leaf, now)
    }

    /// Sends the first attempt at every shard.
    pub(super) fn send_first_attempts(
        &mut self,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            if self.may_crash_more() {
                self.shards[index].waiting = Some((Kind::First, Reason::Quarantined));
            } else {
                actions.extend(self.send_first(index, traffic, now));
            }
        }
        let sent = actions.len();
        self.budget(traffic).deposit(sent);
        actions.extend(self.advance(traffic, now));
        actions
    }

    pub(super) fn send_first(
        &mut self,
        index: usize,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Option<Action> {
        let replica = self.ranked_replicas(index, traffic, now).into_iter().next();
        let reason = match &replica {
            None => Reason::NoReplica,
            Some(replica) if replica.is_suspended && !self.allows_suspended() => {
                Reason::Unreachable
            }
            Some(_) => {
                return replica.map(|replica| self.send(index, replica, Kind::First, traffic, now));
            }
        };
        let shard = &mut self.shards[index];
        shard.record_failure(Failure::not_run(reason));
        shard.settle(Settled::Missing(reason), now);
        None
    }

    /// Returns whether a shard is tried even if all its replicas are suspended. This costs a leaf
    /// that is down nothing, because its owner rejects the part immediately, and a leaf that was
    /// only slow a moment ago still answers.
    pub(super) fn allows_suspended(&self) -> bool {
        self.query.prefer == Preference::Coverage
    }

    /// Sends an attempt at a shard to a replica, and schedules the hedge if one is permitted.
    pub(super) fn send(
        &mut self,
        index: usize,
        replica: RankedReplica,
        kind: Kind,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Action {
        let id = traffic.draw_attempt();
        traffic.ranking.on_send(&replica.leaf, now);
        self.count_attempt(kind);
        let attempt = Attempt {
            id,
            leaf: replica.leaf.clone(),
            sent: now,
        };
        let late_after = traffic.ranking.late_after(&replica.leaf);
        let remaining = self.answer_by.saturating_duration_since(now);
        let shard = &mut self.shards[index];
        shard.start_attempt(attempt, kind);
        shard.late_after = late_after;
        let can_hedge = !kind.is_hedge() && shard.hedges == 0;
        shard.hedge_at = can_hedge.then(|| now + late_after.unwrap_or(remaining / 2));
        Action::Send(self.new_part(index, id, replica.leaf))
    }

    fn count_attempt(&mut self, kind: Kind) {
        let counter = match kind {
            Kind::First => &mut self.counters.first_attempts,
            Kind::Hedge | Kind::Failover => &mut self.counters.hedges,
            Kind::Redirect => &mut self.counters.redirects,
            Kind::Retry => &mut self.counters.retries,
        };
        *counter += 1;
    }

    fn new_part(&self, index: usize, attempt: AttemptId, leaf: LeafName) -> Part {
        let shard = &self.layout.shards[index];
        Part {
            attempt,
            request: self.query.request.clone(),
            service: shard.service.clone(),
            shard: shard.shard.clone(),
            leaf,
            snapshot: Some(self.snapshot),
            deadline: self.answer_by,
            idempotent: true,
            hops_left: MAX_HOPS,
            takeover: false,
            body: Arc::clone(&self.query.body),
        }
    }
}

/// Returns whether a part certainly reached no leaf, for a reason other than load shedding.
fn never_reached_leaf(failure: &Failure) -> bool {
    let unreached = matches!(
        failure.reason,
        Reason::ConnectFailed
            | Reason::Leaving
            | Reason::NoOwner
            | Reason::Stopping
            | Reason::Unreachable
    );
    unreached && failure.verdict == Verdict::NotRun
}
