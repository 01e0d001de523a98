//! Counters of the attempts at leaves.

use prometheus::{IntCounterVec, Registry};

use super::{counter_by, counter_by_outcome};

/// Counters of the attempts at leaves.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Attempts by how they ended.
    pub(super) ended: IntCounterVec,
    /// Attempts at leaves that name a limit, by kind of attempt.
    pub(super) limited: IntCounterVec,
    /// Attempts that were not sent although their leaf had been chosen, by reason.
    pub(super) held_back: IntCounterVec,
}

impl Attempts {
    /// Creates the counters and registers them.
    pub(super) fn new(registry: &Registry) -> Attempts {
        Attempts {
            ended: counter_by_outcome(
                registry,
                "gateway_attempts_total",
                "Attempts at leaves by how they ended.",
            ),
            limited: counter_by(
                registry,
                "gateway_limited_attempts_total",
                "Attempts at leaves that limit the requests of all VMs together.",
                &["kind"],
            ),
            held_back: counter_by(
                registry,
                "gateway_held_back_attempts_total",
                "Attempts not sent because their leaf is evacuated or became cold.",
                &["reason"],
            ),
        }
    }
}
