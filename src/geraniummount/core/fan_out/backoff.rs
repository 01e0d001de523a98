//! Trying a shard again that could not be reached a moment ago.
//!
//! A VM or a leaf that restarts, or a link that is cut for a moment, is often
//! back before the deadline. Under `coverage` such a shard is tried again
//! after pauses. What has been gone for longer is said missing at once.

use std::time::{Duration, Instant};

use super::{Action, FanOut};
use crate::core::service::Preference;
use crate::core::shard_state::{Kind, Settled};
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// First pause before a shard is tried again; each further one is twice as
/// long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Longest pause before a shard is tried again.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Returns the pause after so many earlier ones.
pub(in crate::core) fn delay(earlier_delays: u32) -> Duration {
    let factor = 2_u32.saturating_pow(earlier_delays);
    INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF)
}

impl FanOut {
    /// Lets a shard wait for another try, if its loss is fresh.
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
        let mut unreached = shard.unreached.iter();
        let is_fresh = unreached.any(|leaf| traffic.ranking.is_recently_unreachable(leaf, now));
        let retry_at = now + delay(shard.retry_waits);
        if !is_fresh || retry_at >= self.answer_by {
            return false;
        }
        shard.schedule_retry(retry_at, failure.reason);
        true
    }

    /// Tries the shards again that have waited.
    pub(super) fn send_due_retries(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            let Some((_, reason)) = shard.pending_retry.take_if(|(at, _)| now >= *at) else {
                continue;
            };
            shard.allow_retry_of_unreached();
            let choice = self.replica_choices(index, traffic, now).into_iter().next();
            match choice {
                Some(choice) => {
                    actions.push(self.send(index, choice, Kind::Redirect, traffic, now));
                }
                None => self.shards[index].settle(Settled::Missing(reason), now),
            }
        }
        actions
    }
}
