//! How long to wait before the platform's store is asked again.
//!
//! Load pattern: leaves register, leave and lapse all day long, and each change
//! ends the wait of every VM at once. Calls then grow with the changes times
//! the VMs. A pause after each change lets further ones gather, so that a VM
//! calls at most once a pause, however much changes. The pause is as long as
//! the platform's bounds allow: a leaf that leaves has to be known as leaving
//! while it still serves, and a version of the routes has to come into force.
//!
//! A watch that is told nothing may be one whose connection has fallen silent.
//! The store's revision, asked for over another connection, says which.
//!
//! While the store is away the tries become rarer, and rarer still where the VM
//! has something to go on with.

use std::time::Duration;

use super::placement::UNREGISTERED_GRACE;

/// Shortest pause after a change.
const MIN_CHANGE_DELAY: Duration = Duration::from_millis(300);

/// Longest pause after a change; a leaf that has just started waits as long
/// for its first request.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);

/// Time kept back for the read itself and for requests on their way to a leaf.
const READ_MARGIN: Duration = Duration::from_secs(1);

/// Share of the time to bring a version into force that is spent on waiting.
const APPLY_DIVISOR: u32 = 2;

/// Time without an answer to a watch after which the store's revision is asked
/// for. A connection may be silent for good, and nothing else shows it.
pub const WATCH_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time that an answer to a watch may take from the change to the VM.
pub const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// First pause after a failed call; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause after failed calls while nothing is known.
const MAX_BACKOFF_WITHOUT_DATA: Duration = Duration::from_millis(800);

/// Longest pause after failed calls where something is in force.
const MAX_BACKOFF_WITH_DATA: Duration = Duration::from_secs(2);

/// Pauses between the calls.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    delay_after_change: Duration,
    failures: u32,
}

impl PollSchedule {
    /// Paces calls under the platform's bounds: `leaving` is how long a leaf
    /// still serves after it was registered as leaving, or removed; `apply` is
    /// the time in which a version of the routes has to be in force.
    pub fn new(leaving_bound: Duration, apply_bound: Duration) -> PollSchedule {
        let available = leaving_bound.saturating_sub(UNREGISTERED_GRACE + READ_MARGIN);
        let max_delay = MAX_CHANGE_DELAY
            .min(apply_bound / APPLY_DIVISOR)
            .max(MIN_CHANGE_DELAY);
        PollSchedule {
            delay_after_change: available.clamp(MIN_CHANGE_DELAY, max_delay),
            failures: 0,
        }
    }

    /// Returns the pause after a change.
    pub fn delay_after_change(&self) -> Duration {
        self.delay_after_change
    }

    /// Notes a call that was answered.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed call; returns the pause before the next. `known` says
    /// whether anything is in force; `spread` in [0, 1) sets VMs apart.
    pub fn on_failure(&mut self, has_data: bool, jitter: f64) -> Duration {
        let max_delay = if has_data {
            MAX_BACKOFF_WITH_DATA
        } else {
            MAX_BACKOFF_WITHOUT_DATA
        };
        let doublings = self.failures.min(8);
        self.failures += 1;
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << doublings);
        backoff.min(max_delay).mul_f64((1.0 + jitter) / 2.0)
    }
}
