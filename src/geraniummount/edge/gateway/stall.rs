//! Detects that this VM was stalled: frozen, suspended, or without processor time.

use std::time::{Duration, Instant, SystemTime};

/// Time that an iteration of the event loop may take beyond the time that it waits.
const MAX_ITERATION_TIME: Duration = Duration::from_millis(100);

/// Minimum duration of a stall during which the operator's changes may have become due.
const MIN_LONG_STALL: Duration = Duration::from_secs(1);

/// Time after a stall in which messages that are older than it may still arrive.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(40);

/// Detector of stalls.
#[derive(Debug)]
pub(super) struct StallDetector {
    /// When the last iteration began, by the steady clock and by the time of day. The steady clock
    /// does not count the time for which a machine is suspended.
    began_at: (Instant, SystemTime),
    settled_at: Option<Instant>,
}

impl StallDetector {
    pub(super) fn new() -> StallDetector {
        StallDetector {
            began_at: (Instant::now(), SystemTime::now()),
            settled_at: None,
        }
    }

    /// Records that an iteration begins after a wait of at most `wait`. A step of the time of day
    /// counts as a stall too. Returns whether this VM has just been stalled for long.
    pub(super) fn on_iteration(&mut self, wait: Duration, now: Instant) -> bool {
        let time_of_day = SystemTime::now();
        let (last, last_time_of_day) = self.began_at;
        self.began_at = (now, time_of_day);
        let steady = now.saturating_duration_since(last);
        let elapsed = time_of_day.duration_since(last_time_of_day);
        // The time of day may have gone back.
        let elapsed = elapsed.unwrap_or_default().max(steady);
        if elapsed > wait + MAX_ITERATION_TIME {
            self.settled_at = Some(now + SETTLING_TIME);
        }
        elapsed > wait + MIN_LONG_STALL
    }

    /// Returns until when messages may arrive that are older than a stall; `None` if there was
    /// none.
    pub(super) fn settles_at(&self, now: Instant) -> Option<Instant> {
        self.settled_at.filter(|at| now < *at)
    }
}
