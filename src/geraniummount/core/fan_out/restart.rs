//! Restarts a query on another snapshot (version of the index) when shards no longer hold the
//! query's own.

use std::time::Instant;

use super::{Action, FanOut};
use crate::core::service::Preference;
use crate::core::shard_state::ShardState;
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Maximum number of restarts of one query.
const MAX_RESTARTS: u32 = 2;

/// Maximum share of the shards that may lack the snapshot under the `latency` preference before the
/// query restarts.
const MAX_SNAPSHOT_LOSS_SHARE: f64 = 0.1;

impl FanOut {
    /// Restarts the query on another snapshot if too many shards lack the current one and the other
    /// is held by more shards than the answer could still include. Returns `None` if the query
    /// continues, as it always does in the second half of its time.
    pub(super) fn restart(&mut self, traffic: &mut Traffic, now: Instant) -> Option<Vec<Action>> {
        let total = self.shards.len();
        let lost = self.shards.iter().filter(|s| s.has_lost_snapshot()).count();
        let tolerated = match self.query.prefer {
            Preference::Coverage => 0.0,
            Preference::Latency => MAX_SNAPSHOT_LOSS_SHARE,
        };
        let half_time = self.started + self.answer_by.saturating_duration_since(self.started) / 2;
        if lost as f64 <= total as f64 * tolerated || now >= half_time {
            return None;
        }
        if self.counters.restarts >= MAX_RESTARTS {
            return None;
        }
        let mut tried = self.snapshots_tried.clone();
        tried.push(self.snapshot);
        let usable = |leaf: &LeafName| self.is_usable(traffic, leaf, now);
        let chosen = traffic
            .holdings
            .choose_snapshot(&self.layout, &tried, usable)?;
        let missing = self.shards.iter().filter(|s| s.is_missing()).count();
        if chosen.shards <= total - missing {
            return None;
        }
        let mut actions = self.cancel_all(traffic, now);
        self.discard_replies();
        self.snapshots_tried = tried;
        self.snapshot = chosen.snapshot;
        self.counters.restarts += 1;
        actions.extend(self.send_first_attempts(traffic, now));
        Some(actions)
    }

    /// Discards all replies. `discarded_verdict` keeps the worst verdict on whether the parts ran.
    fn discard_replies(&mut self) {
        let worst = self.shards.iter().map(ShardState::verdict).max();
        self.discarded_verdict = self.discarded_verdict.max(worst.unwrap_or(Verdict::NotRun));
        for shard in &mut self.shards {
            *shard = ShardState::default();
        }
    }
}
