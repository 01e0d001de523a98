//! Waiting for a replica that was lost a moment ago.
//!
//! A VM that is slow to answer, or that hands its leaves over, makes replicas
//! unusable for a moment. Where the service prefers coverage, a shard without
//! another replica waits for that moment, at most half of the query's time,
//! rather than to be missing. A replica that was lost for longer is not
//! waited for.

use std::time::{Duration, Instant};

use super::{Action, FanOut};
use crate::core::service::Preference;
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Pause before the replicas of a waiting shard are looked at again.
const LOOK_PERIOD: Duration = Duration::from_millis(25);

impl FanOut {
    /// Lets a shard wait if one of its replicas was lost a moment ago.
    /// Returns whether it waits.
    pub(super) fn park(&mut self, index: usize, traffic: &Traffic, now: Instant) -> bool {
        let time = self.finish_at.saturating_duration_since(self.started);
        let look_at = now + LOOK_PERIOD;
        if self.query.prefer != Preference::Coverage || look_at >= self.started + time / 2 {
            return false;
        }
        let ranking = &traffic.ranking;
        let is_brief = |leaf: &LeafName| {
            !self.view.is_leaving(leaf) && ranking.is_briefly_suspended(leaf, now)
        };
        if !self.layout.shards[index].replicas.iter().any(is_brief) {
            return false;
        }
        let shard = &mut self.shards[index];
        shard.tried.clear();
        shard.look_at = Some(look_at);
        true
    }

    /// Looks again at the replicas of the shards that wait.
    pub(super) fn unpark(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.finish_at {
            return actions;
        }
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if shard.look_at.is_some_and(|at| at <= now) {
                shard.look_at = None;
                actions.extend(self.send_first(index, traffic, now));
            }
        }
        actions
    }
}
