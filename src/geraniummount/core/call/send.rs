//! Sends attempts: the first one at each shard, retries of failed parts, and hedges of late parts.
//!
//! A hedge is a second attempt at a late part, at another leaf. Retries and hedges are extra
//! attempts, which the service's retry allowance limits. A shard is settled once no further reply
//! to its part is awaited.

use std::time::{Duration, Instant};

use super::shard::{OpenAttempt, Settled};
use super::{Action, Call};
use crate::core::not_run::Progress;
use crate::core::placement::{Placement, ReplicaKey};
use crate::core::route::Repeat;

/// A part is hedged after this many typical latencies of its route, plus [`MIN_HEDGE_DELAY`].
const HEDGE_DELAY_FACTOR: f64 = 2.0;

/// Minimum time before a part is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(4);

/// Interval between checks whether an attempt is permitted, while the retry allowance, the limit of a
/// leaf or earlier crashes do not permit it.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Call {
    /// Plans an attempt at a shard, and schedules the hedge if one is permitted.
    pub(super) fn send(
        &mut self,
        index: usize,
        replica: ReplicaKey,
        placement: &mut Placement,
        now: Instant,
    ) {
        let shard = &mut self.shards[index];
        let attempt = placement.begin_attempt_for(&self.profile, &shard.service, replica, now);
        shard.tried.push(replica);
        shard.sends += 1;
        shard.open_attempts.push(OpenAttempt {
            attempt,
            replica,
            progress: Progress::Planned,
        });
        let may_hedge =
            shard.sends < self.plan.max_attempts && self.plan.repeat == Repeat::Idempotent;
        let typical = placement.route_latency(&self.plan.route, &shard.service);
        let factor = placement.hedge_factor(&shard.service, &self.profile, now);
        let usual = typical.mul_f64(HEDGE_DELAY_FACTOR * factor) + MIN_HEDGE_DELAY;
        let hedge_delay = self.pace.hedge_delay(usual, now);
        shard.next_attempt_at = may_hedge.then_some(now + hedge_delay);
        self.actions.push(Action::Send {
            attempt,
            service: shard.service.clone(),
            replica,
            is_extra: shard.sends > 1,
        });
    }

    /// Hedges the open parts at the given time if they would be hedged later.
    pub(super) fn hedge_open_parts_at(&mut self, at: Instant) {
        let shards = self.shards.iter_mut();
        for shard in shards.filter(|shard| !shard.open_attempts.is_empty()) {
            shard.next_attempt_at = shard.next_attempt_at.map(|next| next.min(at));
        }
    }

    /// Sends a failed part to another leaf, or settles its shard as missing.
    pub(super) fn retry_or_settle(
        &mut self,
        index: usize,
        placement: &mut Placement,
        now: Instant,
    ) {
        if !self.shards[index].open_attempts.is_empty() {
            return;
        }
        self.send_again(index, placement, now);
        let shard = &mut self.shards[index];
        if shard.open_attempts.is_empty() && shard.next_attempt_at.is_none() {
            shard.settle(Settled::Missing);
        }
    }

    /// Hedges each late part with another leaf.
    pub(super) fn hedge_late_parts(&mut self, placement: &mut Placement, now: Instant) {
        for index in 0..self.shards.len() {
            if self.shards[index]
                .next_attempt_at
                .is_some_and(|at| now >= at)
            {
                self.send_again(index, placement, now);
                let shard = &mut self.shards[index];
                if shard.open_attempts.is_empty() && shard.next_attempt_at.is_none() {
                    shard.settle(Settled::Missing);
                }
            }
        }
    }

    /// Sends another attempt if one is permitted and enough time is left, or schedules the next
    /// check whether it is permitted.
    fn send_again(&mut self, index: usize, placement: &mut Placement, now: Instant) {
        let may_repeat = self.may_repeat(index);
        let is_unproven = self.is_unproven();
        let has_open_attempt = self.has_open_attempt();
        let may_crash_more = is_unproven && (has_open_attempt || self.crashes > 0);
        let shard = &mut self.shards[index];
        shard.next_attempt_at = None;
        if shard.sends >= self.plan.max_attempts || !may_repeat {
            return;
        }
        if !self.plan.has_time_for_attempt(now) {
            return;
        }
        if may_crash_more {
            let waits_for_answer = has_open_attempt && self.plan.is_gather();
            shard.next_attempt_at = waits_for_answer.then_some(now + RECHECK_INTERVAL);
            return;
        }
        let scope = &self.plan.scope;
        if !placement.can_try_within(&shard.service, scope, &shard.tried, now) {
            return;
        }
        // No leaf was reached yet, so this is not an extra attempt.
        let is_free = shard.sends == 0;
        let is_affordable = is_free || placement.has_extra_attempt(&shard.service);
        let replica = is_affordable
            .then(|| placement.choose_for(&self.profile, &shard.service, scope, &shard.tried, now))
            .flatten();
        if let Some(replica) = replica {
            if !is_free {
                placement.take_extra_attempt(&shard.service);
            }
            return self.send(index, replica, placement, now);
        }
        // A hedge may be permitted later; a part that no leaf takes now is left out at once.
        let waits_for_allowance = !is_affordable && self.plan.is_gather();
        if waits_for_allowance || !shard.open_attempts.is_empty() {
            shard.next_attempt_at = Some(now + RECHECK_INTERVAL);
        }
    }
}
