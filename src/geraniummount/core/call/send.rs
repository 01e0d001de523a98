//! First attempts, retries and hedges.

use std::time::{Duration, Instant};

use super::shard::{Open, Settled};
use super::{Action, Call};
use crate::core::placement::{Key, Placement};
use crate::core::route::Repeat;

/// A part is late after this many usual times of its route.
const LATE_FACTOR: f64 = 2.0;

/// A part is late no sooner than this.
const LATE_MIN: Duration = Duration::from_millis(4);

/// Wait before the budget is asked again.
const BUDGET_RECHECK: Duration = Duration::from_millis(10);

impl Call {
    pub(super) fn send(
        &mut self,
        index: usize,
        replica: Key,
        placement: &mut Placement,
        now: Instant,
    ) -> Action {
        let shard = &mut self.shards[index];
        let attempt = placement.begin(&shard.service, replica, now);
        shard.tried.push(replica);
        shard.sends += 1;
        shard.open.push(Open {
            attempt,
            replica,
            sent: false,
        });
        let may_hedge = shard.sends < self.plan.attempts && self.plan.repeat == Repeat::Idempotent;
        let usual = placement.usual(&self.plan.route, &shard.service);
        let late = usual.mul_f64(LATE_FACTOR) + LATE_MIN;
        shard.again_at = may_hedge.then_some(now + late);
        Action::Send {
            attempt,
            service: shard.service.clone(),
            replica,
        }
    }

    /// Sends a failed part to another leaf, or settles it.
    pub(super) fn try_elsewhere(
        &mut self,
        index: usize,
        placement: &mut Placement,
        now: Instant,
    ) -> Vec<Action> {
        if !self.shards[index].open.is_empty() {
            return Vec::new();
        }
        let actions = self.again(index, placement, now);
        let shard = &mut self.shards[index];
        if shard.open.is_empty() && shard.again_at.is_none() {
            shard.settle(Settled::Missing);
        }
        actions
    }

    /// Sends late parts to a second leaf each.
    pub(super) fn hedge(&mut self, placement: &mut Placement, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            if self.shards[index].again_at.is_some_and(|at| now >= at) {
                actions.extend(self.again(index, placement, now));
                let shard = &mut self.shards[index];
                if shard.open.is_empty() && shard.again_at.is_none() {
                    shard.settle(Settled::Missing);
                }
            }
        }
        actions
    }

    /// Makes another attempt, or notes when one may be made.
    fn again(&mut self, index: usize, placement: &mut Placement, now: Instant) -> Vec<Action> {
        let may_repeat = self.may_repeat(index);
        let shard = &mut self.shards[index];
        shard.again_at = None;
        if shard.sends >= self.plan.attempts || !may_repeat {
            return Vec::new();
        }
        let Some(replica) = placement.choose(&shard.service, &shard.tried, now) else {
            return Vec::new();
        };
        let is_free = shard.sends == 0;
        if is_free || placement.take_extra(&shard.service) {
            return vec![self.send(index, replica, placement, now)];
        }
        if self.plan.is_gather() || !shard.open.is_empty() {
            shard.again_at = Some(now + BUDGET_RECHECK);
        }
        Vec::new()
    }
}
