//! Refusing a query on arrival that would not be answered whole in time.
//!
//! A query needs all its shards. If each leaf's queue drops parts by itself
//! under overload, nearly every query lacks some, and the work done for the
//! others is lost. So whole queries are refused, before any part is sent.

use std::time::{Duration, Instant};

use super::FanOut;
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Share of a query's time that its shards may be expected to wait in queues.
const MAX_QUEUE_TIME_SHARE: f64 = 0.15;

/// Share of the shards that may be expected to wait longer. Fewer are a fault
/// of their leaves, for which the answer lacks those shards.
const MAX_CONGESTED_SHARD_SHARE: f64 = 0.25;

/// Shortest time to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

impl FanOut {
    /// Why the query is refused, if the leaves' queues are too long for it.
    ///
    /// Only the queues count, not the time at the leaves: queues are known to
    /// shrink while nothing is sent, so that a refusal never lasts for good.
    pub(super) fn rejection(&self, traffic: &Traffic, now: Instant) -> Option<Failure> {
        let remaining = self.answer_by.saturating_duration_since(now);
        let max_wait = remaining.mul_f64(MAX_QUEUE_TIME_SHARE);
        let waits = (0..self.shards.len()).filter_map(|index| {
            let choices = self.replica_choices(index, traffic, now);
            let usable = choices.into_iter().find(|choice| !choice.is_suspended);
            usable.map(|choice| choice.expected_wait)
        });
        let mut long_waits: Vec<Duration> = waits.filter(|&wait| wait > max_wait).collect();
        if long_waits.len() as f64 <= self.shards.len() as f64 * MAX_CONGESTED_SHARD_SHARE {
            return None;
        }
        long_waits.sort_unstable();
        let wait = long_waits[long_waits.len() / 2].saturating_sub(max_wait);
        let failure = Failure::not_run(Reason::QueueFull);
        Some(failure.with_retry_after(wait.max(MIN_RETRY_AFTER)))
    }
}
