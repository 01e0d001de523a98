//! A second replica for a part that is late.

use std::time::{Duration, Instant};

use super::{Action, FanOut};
use crate::core::shard_state::Kind;
use crate::core::traffic::Traffic;

/// Parts are hedged once at most this share of the shards is still open.
const HEDGE_OPEN_SHARE: f64 = 0.25;

/// Wait before a hedge that the budget refused is tried again.
pub(super) const HEDGE_RECHECK: Duration = Duration::from_millis(10);

impl FanOut {
    pub(super) fn may_hedge(&self) -> bool {
        let most = (self.shards.len() as f64 * HEDGE_OPEN_SHARE).max(1.0);
        let at_replicas = self.shards.iter().filter(|s| !s.in_flight.is_empty());
        at_replicas.count() as f64 <= most
    }

    pub(super) fn hedge(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        self.checked = now;
        let may_hedge = self.may_hedge();
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            let due = self.shards[index].hedge_at.is_some_and(|at| now >= at);
            if due && (may_hedge || self.is_lost(index, traffic, now)) {
                actions.extend(self.hedge_shard(index, traffic, now));
            }
        }
        actions
    }

    fn hedge_shard(&mut self, index: usize, traffic: &mut Traffic, now: Instant) -> Option<Action> {
        let Some(choice) = self.other_replica(index, traffic, now) else {
            self.shards[index].hedge_at = None;
            return None;
        };
        let is_lost = self.is_lost(index, traffic, now);
        if !is_lost
            && let Some(later) = self.scarce_until(index, traffic)
            && now < later
        {
            self.shards[index].hedge_at = Some(later);
            return None;
        }
        let kind = if is_lost { Kind::Failover } else { Kind::Hedge };
        if !self.pay(kind, traffic) {
            self.shards[index].hedge_at = Some(now + HEDGE_RECHECK);
            return None;
        }
        Some(self.send(index, choice, kind, traffic, now))
    }

    /// Whether the replica that a shard's part is at has gone silent.
    fn is_lost(&self, index: usize, traffic: &Traffic, now: Instant) -> bool {
        let mut open = self.shards[index].in_flight.iter();
        open.any(|attempt| traffic.ranking.is_lost(&attempt.leaf, now))
    }

    /// When a late part may be hedged if the budget is scarce: the emptier it
    /// is, the later, so that what is left goes to the parts that are latest.
    fn scarce_until(&self, index: usize, traffic: &mut Traffic) -> Option<Instant> {
        let (service, extra) = (&self.query.service, self.query.extra_percent);
        let scarcity = 1.0 - traffic.budget(service, extra).fill();
        self.shards[index].late_at(1.0 + scarcity / 2.0)
    }
}
