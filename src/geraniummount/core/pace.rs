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

use super::placement::LAPSE;

/// Shortest pause after a change.
const SHORTEST: Duration = Duration::from_millis(300);

/// Longest pause after a change; a leaf that has just started waits as long
/// for its first request.
const LONGEST: Duration = Duration::from_secs(2);

/// Time kept back for the read itself and for requests on their way to a leaf.
const READ_TIME: Duration = Duration::from_secs(1);

/// Share of the time to bring a version into force that is spent on waiting.
const APPLY_DIVISOR: u32 = 2;

/// Time without an answer to a watch after which the store's revision is asked
/// for. A connection may be silent for good, and nothing else shows it.
pub const SILENCE: Duration = Duration::from_secs(2);

/// Time that an answer to a watch may take from the change to the VM.
pub const ANSWER_TIME: Duration = Duration::from_millis(500);

/// First pause after a failed call; doubles with each further one.
const FIRST_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// Longest pause after failed calls while nothing is known.
const LONGEST_UNKNOWN: Duration = Duration::from_millis(800);

/// Longest pause after failed calls where something is in force.
const LONGEST_KNOWN: Duration = Duration::from_secs(2);

/// Pauses between the calls.
#[derive(Clone, Debug)]
pub struct Pace {
    after_change: Duration,
    failures: u32,
}

impl Pace {
    /// Paces calls under the platform's bounds: `leaving` is how long a leaf
    /// still serves after it was registered as leaving, or removed; `apply` is
    /// the time in which a version of the routes has to be in force.
    pub fn new(leaving: Duration, apply: Duration) -> Pace {
        let left = leaving.saturating_sub(LAPSE + READ_TIME);
        let longest = LONGEST.min(apply / APPLY_DIVISOR).max(SHORTEST);
        Pace {
            after_change: left.clamp(SHORTEST, longest),
            failures: 0,
        }
    }

    /// Returns the pause after a change.
    pub fn after_change(&self) -> Duration {
        self.after_change
    }

    /// Notes a call that was answered.
    pub fn on_answer(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed call; returns the pause before the next. `known` says
    /// whether anything is in force; `spread` in [0, 1) sets VMs apart.
    pub fn on_failure(&mut self, known: bool, spread: f64) -> Duration {
        let longest = if known {
            LONGEST_KNOWN
        } else {
            LONGEST_UNKNOWN
        };
        let doublings = self.failures.min(8);
        self.failures += 1;
        let pause = FIRST_AFTER_FAILURE.saturating_mul(1 << doublings);
        pause.min(longest).mul_f64((1.0 + spread) / 2.0)
    }
}
