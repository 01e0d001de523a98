//! A second replica for a part that is late.

use std::time::{Duration, Instant};

use super::{Action, FanOut};
use crate::core::shard_state::Kind;
use crate::core::traffic::Traffic;

/// Parts are hedged once at most this share of the shards is still open.
const HEDGE_OPEN_SHARE: f64 = 0.25;

/// Wait before a hedge that the budget refused is tried again.
const HEDGE_RECHECK: Duration = Duration::from_millis(10);

impl FanOut {
    pub(super) fn may_hedge(&self) -> bool {
        let most = (self.shards.len() as f64 * HEDGE_OPEN_SHARE).max(1.0);
        self.open_shards() as f64 <= most
    }

    pub(super) fn hedge(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        if !self.may_hedge() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            if self.shards[index].hedge_at.is_some_and(|at| now >= at) {
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
        if let Some(later) = self.scarce_until(index, traffic)
            && now < later
        {
            self.shards[index].hedge_at = Some(later);
            return None;
        }
        if !self.pay(Kind::Hedge, traffic) {
            self.shards[index].hedge_at = Some(now + HEDGE_RECHECK);
            return None;
        }
        Some(self.send(index, choice, Kind::Hedge, traffic, now))
    }

    /// When a late part may be hedged if the budget is scarce: the emptier it
    /// is, the later, so that what is left goes to the parts that are latest.
    fn scarce_until(&self, index: usize, traffic: &mut Traffic) -> Option<Instant> {
        let (service, extra) = (&self.query.service, self.query.extra_percent);
        let scarcity = 1.0 - traffic.budget(service, extra).fill();
        self.shards[index].late_by(1.0 + scarcity / 2.0)
    }
}
