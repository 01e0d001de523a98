//! Schedules the calls to the platform's store.
//!
//! Load pattern: leaves register, leave and expire all day long, and each change ends the long poll
//! of every VM at once. The number of calls would grow with the changes times the VMs. A delay
//! after each change batches further changes, which limits a VM to one call per delay however
//! frequent the changes are. The delay is bounded by the platform's limits: a leaving leaf has to
//! be known as leaving while it still serves, and a new version of the routes, or the evacuation of a
//! failure domain, has to take effect in time.
//!
//! A watch without an answer may have an unresponsive connection. The store's revision, read over
//! another connection, shows whether the watch missed a change.
//!
//! While the store is unavailable, calls back off. The maximum backoff is longer if the VM has data
//! to continue with. It is at most half of the time within which a version has to take effect, and
//! the time that a failed call took counts as a part of it: once the store is back, a VM reads in
//! time even if the packet of one call is lost.
//!
//! The store is the key-value store that the users run, which contains the routes and the
//! registrations of the leaves. The routes say which leaves serve which requests of callers. A
//! watch (a long poll) is a call that waits for the next change.

use std::time::Duration;

use super::sync::MAX_READ_AGE_SHARE;
use crate::core::placement::UNREGISTERED_GRACE;

/// Minimum delay after a change.
const MIN_CHANGE_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay after a change. A leaf that has just started waits as long for its first request.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);

/// Time reserved for reading the changed keys and for requests on their way to a leaf.
const READ_MARGIN: Duration = Duration::from_secs(1);

/// Divisor of the time within which what the operator writes has to take effect; the quotient
/// bounds the delay after a change, and the backoff.
const APPLY_DIVISOR: u32 = 2;

/// Interval at which the store's revision is read while a watch has no answer. The connection of
/// the watch may stay unresponsive forever, and nothing else shows it.
pub const WATCH_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time from a change until the answer to the watch arrives at the VM.
pub const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Backoff after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff while the VM has no data.
const MAX_BACKOFF_WITHOUT_DATA: Duration = Duration::from_millis(800);

/// Upper bound of the maximum backoff while the VM has data to continue with.
const MAX_BACKOFF_WITH_DATA: Duration = Duration::from_secs(2);

/// Delays between the calls to the store.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    delay_after_change: Duration,
    /// Maximum delay between two reads of the leaves.
    max_delay_between_reads: Duration,
    /// Maximum backoff while the VM has data to continue with.
    max_backoff_with_data: Duration,
    /// Number of calls that failed since the last successful one.
    failures: u32,
}

impl PollSchedule {
    /// Creates a schedule that meets the platform's bounds.
    ///
    /// `leaving_bound` is how long a leaf still serves after it was registered as leaving, or
    /// removed; the delay after a change leaves room in it for [`UNREGISTERED_GRACE`], for which an
    /// unregistered leaf is kept as the last choice. `apply_bound` is the time within which what the
    /// operator writes has to take effect: the shorter one of the bounds on a version of the routes
    /// and on the evacuation of a failure domain.
    pub fn new(leaving_bound: Duration, apply_bound: Duration) -> PollSchedule {
        let available = leaving_bound.saturating_sub(UNREGISTERED_GRACE + READ_MARGIN);
        let max_delay = MAX_CHANGE_DELAY
            .min(apply_bound / APPLY_DIVISOR)
            .max(MIN_CHANGE_DELAY);
        PollSchedule {
            delay_after_change: available.clamp(MIN_CHANGE_DELAY, max_delay),
            max_delay_between_reads: available
                .div_f64(1.0 + MAX_READ_AGE_SHARE)
                .clamp(MIN_CHANGE_DELAY, MAX_CHANGE_DELAY),
            max_backoff_with_data: MAX_BACKOFF_WITH_DATA
                .min(apply_bound / APPLY_DIVISOR)
                .max(MAX_BACKOFF_WITHOUT_DATA),
            failures: 0,
        }
    }

    /// Returns the delay before the next call after a change.
    pub fn delay_after_change(&self) -> Duration {
        self.delay_after_change
    }

    /// Returns the delay before the next call after one that took the time `took` and changed
    /// nothing: none after a watch that has waited for changes. A watch that is answered at once, by a
    /// store in trouble or with changes that can't be read, must not be repeated at once.
    pub fn delay_without_change(&self, took: Duration) -> Duration {
        self.delay_after_change.saturating_sub(took)
    }

    /// Returns the delay before the next read of the leaves while they change faster than a watch
    /// delivers the changes. The time for which a leaving leaf still serves is not exceeded even if
    /// each read is as old as [`MAX_READ_AGE_SHARE`] permits. The routes are watched meanwhile.
    ///
    /// `jitter`, a random number from 0 (inclusive) to 1 (exclusive), spreads the reads of the VMs
    /// over the last quarter of the delay. VMs that start together would otherwise all read at the
    /// same moment, again and again.
    pub fn delay_between_reads(&self, jitter: f64) -> Duration {
        self.max_delay_between_reads.mul_f64((3.0 + jitter) / 4.0)
    }

    /// Records a successful call and resets the backoff.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call, which took the time `took`; returns the delay before the next call.
    ///
    /// `has_data` says whether the VM has data to continue with. `jitter`, a random number from 0
    /// (inclusive) to 1 (exclusive), spreads the calls of the VMs over the second half of the
    /// backoff.
    pub fn on_failure(&mut self, has_data: bool, jitter: f64, took: Duration) -> Duration {
        let max_delay = if has_data {
            self.max_backoff_with_data
        } else {
            MAX_BACKOFF_WITHOUT_DATA
        };
        let doublings = self.failures.min(8);
        self.failures += 1;
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << doublings);
        let spread = (1.0 + jitter) / 2.0;
        let min_delay = INITIAL_BACKOFF.mul_f64(spread);
        let delay = backoff.min(max_delay).mul_f64(spread);
        delay.saturating_sub(took).max(min_delay)
    }
}
