//! Retries a shard that became unreachable only recently.
//!
//! A shard is unreachable if its part did not run because the leaf, or the owner of the leaf (the
//! VM that holds its queue), could not be reached.
//!
//! A VM or leaf that restarts, or a link that is briefly interrupted, often recovers before the
//! deadline. Under the `coverage` preference (which waits for every shard until the deadline), such
//! a shard is retried with a backoff. A shard that has been unreachable for longer is reported as
//! missing immediately.

use std::time::{Duration, Instant};

use super::{Action, FanOut};
use crate::core::service::Preference;
use crate::core::shard_state::{Kind, Settled};
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Delay before the first retry of an unreachable shard; each further delay is twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum delay before a retry of an unreachable shard.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Returns the delay that follows the given number of earlier delays.
pub(in crate::core) fn delay(earlier_delays: u32) -> Duration {
    let factor = 2_u32.saturating_pow(earlier_delays);
    INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF)
}

impl FanOut {
    /// Schedules a retry of a shard if one of its replicas became unreachable only recently.
    /// Returns whether a retry is scheduled.
    pub(super) fn schedule_retry(
        &mut self,
        index: usize,
        failure: &Failure,
        traffic: &Traffic,
        now: Instant,
    ) -> bool {
        if self.query.prefer != Preference::Coverage || !failure.is_unreachable() {
            return false;
        }
        let shard = &mut self.shards[index];
        let mut unreachable = shard.unreachable.iter();
        let is_recent = unreachable.any(|leaf| traffic.ranking.is_recently_unreachable(leaf, now));
        let retry_at = now + delay(shard.retry_waits);
        if !is_recent || retry_at >= self.answer_by {
            return false;
        }
        shard.schedule_retry(retry_at, failure.reason);
        true
    }

    /// Retries the shards whose backoff has ended.
    pub(super) fn send_due_retries(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            if self.may_crash_more() {
                return actions;
            }
            let shard = &mut self.shards[index];
            let Some((_, reason)) = shard.pending_retry.take_if(|(at, _)| now >= *at) else {
                continue;
            };
            shard.allow_retry_of_unreachable();
            let replica = self.ranked_replicas(index, traffic, now).into_iter().next();
            match replica {
                Some(replica) => {
                    actions.push(self.send(index, replica, Kind::Redirect, traffic, now));
                }
                None => self.shards[index].settle(Settled::Missing(reason), now),
            }
        }
        actions
    }
}
