//! Share of this VM in the requests of all VMs, by which the VMs divide what is limited for all of
//! them together.
//!
//! Load pattern: seven VMs with a dozen requests a second each, or three hundred with one in six
//! seconds; some get several times the requests of others, and some have just started. A VM alone
//! cannot tell. Once the VMs tell each other their rates of requests, each takes the share that its
//! requests have in those of all. A share that was not confirmed for a while is not relied on, as
//! more VMs may have come.

use std::time::{Duration, Instant};

/// Time for which a share that was read is relied on.
const MAX_AGE: Duration = Duration::from_secs(15);

/// Share of this VM in the requests of all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Share {
    /// The VMs have not told each other their rates.
    #[default]
    Unknown,
    /// The share is known.
    Known {
        /// From 0 to 1.
        share: f64,
        /// When it was read.
        as_of: Instant,
        /// Whether the VMs that began to tell their rates together have been counted.
        is_settled: bool,
    },
}

impl Share {
    /// Returns whether the share is known, settled and recent.
    pub fn is_reliable(self, now: Instant) -> bool {
        match self {
            Share::Unknown => false,
            Share::Known {
                as_of, is_settled, ..
            } => is_settled && now.saturating_duration_since(as_of) <= MAX_AGE,
        }
    }
}
