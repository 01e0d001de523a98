//! Reserves time, the margin, before a caller's deadline for sending the answer.

use std::time::{Duration, Instant};

/// Minimum margin.
const MIN_MARGIN: Duration = Duration::from_millis(2);

/// Maximum margin.
const MAX_MARGIN: Duration = Duration::from_millis(25);

/// The margin is the time until the deadline divided by this, within the two bounds.
const MARGIN_DIVISOR: u32 = 20;

/// Returns when a request that arrives at `now` has to be answered to meet its deadline.
pub fn answer_by(deadline: Instant, now: Instant) -> Instant {
    let total = deadline.saturating_duration_since(now);
    let margin = (total / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN);
    deadline.checked_sub(margin).unwrap_or(now)
}
