//! Hedging: sends a late part to a second replica while the first attempt is still in flight.
//!
//! A replica is unresponsive while several parts at its leaf, or at the owner of the leaf (the VM
//! that holds its queue), are late with no answer in between. Hedges draw on the retry budget of
//! the service, which limits its retries and hedges.

use std::time::{Duration, Instant};

use super::{Action, FanOut};
use crate::core::shard_state::Kind;
use crate::core::traffic::Traffic;

/// Late parts are hedged while at most this share of the shards, or one shard, has a part in
/// flight. Parts at unresponsive replicas are hedged regardless of it.
const MAX_IN_FLIGHT_SHARE_TO_HEDGE: f64 = 0.25;

/// Interval between checks of a hedge that is due but not allowed yet.
pub(super) const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

impl FanOut {
    /// Returns whether few enough shards have a part in flight to hedge late parts.
    pub(super) fn may_hedge(&self) -> bool {
        let max_in_flight = (self.shards.len() as f64 * MAX_IN_FLIGHT_SHARE_TO_HEDGE).max(1.0);
        let in_flight = self.shards.iter().filter(|s| !s.in_flight.is_empty());
        in_flight.count() as f64 <= max_in_flight
    }

    /// Sends the hedges that are due and allowed.
    pub(super) fn hedge(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        self.hedges_checked_at = now;
        if self.may_crash_more() {
            return Vec::new();
        }
        let may_hedge = self.may_hedge();
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            let due = self.shards[index].hedge_at.is_some_and(|at| now >= at);
            if due && (may_hedge || self.is_unresponsive(index, traffic, now)) {
                actions.extend(self.hedge_shard(index, traffic, now));
            }
        }
        actions
    }

    fn hedge_shard(&mut self, index: usize, traffic: &mut Traffic, now: Instant) -> Option<Action> {
        let Some(replica) = self.next_replica(index, traffic, now) else {
            self.shards[index].hedge_at = None;
            return None;
        };
        let is_unresponsive = self.is_unresponsive(index, traffic, now);
        if !is_unresponsive
            && let Some(until) = self.deferred_until(index, traffic)
            && now < until
        {
            self.shards[index].hedge_at = Some(until);
            return None;
        }
        let kind = if is_unresponsive {
            Kind::Failover
        } else {
            Kind::Hedge
        };
        if !self.charge_budget(kind, traffic) {
            self.shards[index].hedge_at = Some(now + HEDGE_RECHECK_INTERVAL);
            return None;
        }
        Some(self.send(index, replica, kind, traffic, now))
    }

    /// Returns whether a replica with an attempt of the shard in flight is unresponsive.
    fn is_unresponsive(&self, index: usize, traffic: &Traffic, now: Instant) -> bool {
        let mut in_flight = self.shards[index].in_flight.iter();
        in_flight.any(|attempt| traffic.ranking.is_unresponsive(&attempt.leaf, now))
    }

    /// Returns when a late part may be hedged while the budget is low. The emptier the budget, the
    /// later the hedge, which leaves the remaining budget to the parts that are most overdue.
    fn deferred_until(&self, index: usize, traffic: &mut Traffic) -> Option<Instant> {
        let (service, extra) = (&self.query.service, self.query.extra_percent);
        let scarcity = 1.0 - traffic.budget(service, extra).fill_ratio();
        self.shards[index].late_at(1.0 + scarcity / 2.0)
    }
}
