//! Refusing a query on arrival that would not be answered whole in time.
//!
//! A query needs all its shards. If each leaf's queue drops parts by itself
//! under overload, nearly every query lacks some, and the work done for the
//! others is lost. So whole queries are refused, before any part is sent.

use std::time::{Duration, Instant};

use super::FanOut;
use crate::core::traffic::Traffic;
use crate::prelude::*;

/// Share of a query's time within which its shards have to be expected; the
/// rest is for those that take longer than usual.
const ADMITTED_SHARE: f64 = 0.25;

/// Share of the shards that may be expected later than that.
const TOLERATED_SHARE: f64 = 0.1;

/// Shortest time to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

impl FanOut {
    /// Why the query is refused, if the leaves are too busy for it.
    pub(super) fn refusal(&self, traffic: &Traffic, now: Instant) -> Option<Failure> {
        let time = self.finish_at.saturating_duration_since(now);
        let limit = time.mul_f64(ADMITTED_SHARE);
        let expected = (0..self.shards.len()).filter_map(|index| {
            let choices = self.choices(index, traffic, now);
            let usable = choices.into_iter().find(|choice| !choice.suspended);
            usable.map(|choice| choice.expected)
        });
        let mut late: Vec<Duration> = expected.filter(|&expected| expected > limit).collect();
        if late.len() as f64 <= self.shards.len() as f64 * TOLERATED_SHARE {
            return None;
        }
        late.sort_unstable();
        let wait = late[late.len() / 2].saturating_sub(limit);
        let failure = Failure::not_run(Reason::QueueFull);
        Some(failure.retry_after(wait.max(MIN_RETRY_AFTER)))
    }
}
