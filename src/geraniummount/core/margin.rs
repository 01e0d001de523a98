//! Time kept back from a caller's deadline for the way back.

use std::time::{Duration, Instant};

/// Shortest margin.
const MIN_MARGIN: Duration = Duration::from_millis(2);

/// Longest margin.
const MAX_MARGIN: Duration = Duration::from_millis(25);

/// The margin is the request's time divided by this.
const MARGIN_DIVISOR: u32 = 20;

/// Returns when a request that arrives now has to be answered.
pub fn answer_by(deadline: Instant, now: Instant) -> Instant {
    let total = deadline.saturating_duration_since(now);
    let margin = (total / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN);
    deadline.checked_sub(margin).unwrap_or(now)
}
