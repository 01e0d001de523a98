//! Admission control: rejects a query on arrival if its shards can't answer in time.
//!
//! A query needs all its shards. If each leaf's queue dropped parts independently under overload,
//! nearly every query would lack some shards, and the work done for the others would be wasted.
//! Whole queries are therefore rejected before any part is sent.

use std::time::{Duration, Instant};

use super::FanOut;
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Maximum share of a query's remaining time that a part is expected to wait in a leaf's queue.
const MAX_QUEUE_TIME_SHARE: f64 = 0.15;

/// Maximum share of the shards of an admitted query whose expected wait may exceed
/// [`MAX_QUEUE_TIME_SHARE`]. Up to this share, long queues are a fault of individual leaves, and
/// the answer lacks their shards.
const MAX_CONGESTED_SHARD_SHARE: f64 = 0.25;

/// Minimum delay after which the caller of a rejected query is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

impl FanOut {
    /// Returns why the query is rejected, if the queues of the leaves are too long for it.
    ///
    /// The estimate for a shard is the one for its best replica that is not suspended (not tried
    /// for a while after failures). It covers only the time in queues, not the time at the leaves.
    /// Queue estimates shrink while nothing is sent, which ensures that a rejection does not last
    /// forever.
    pub(super) fn admission_failure(&self, traffic: &Traffic, now: Instant) -> Option<Failure> {
        let remaining = self.answer_by.saturating_duration_since(now);
        let max_wait = remaining.mul_f64(MAX_QUEUE_TIME_SHARE);
        let waits = (0..self.shards.len()).filter_map(|index| {
            let replicas = self.ranked_replicas(index, traffic, now);
            let usable = replicas.into_iter().find(|replica| !replica.is_suspended);
            usable.map(|replica| replica.expected_wait)
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
