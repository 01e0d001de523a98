//! What decides whether this VM may send an attempt to a leaf with a limit.

use std::time::Instant;

use crate::core::fleet::Share;
use crate::core::tolerance::Tolerance;

/// What decides this VM's part of a limit.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::placement) struct Portion {
    /// Share of this VM in the requests of all VMs.
    pub(in crate::core::placement) share: Share,
    /// Requests per second that this VM would send to the leaf if no leaf of the service had a
    /// limit.
    pub(in crate::core::placement) usual_per_second: f64,
    /// Share of this VM if all VMs had equal ones; `None` if their number is not known.
    pub(in crate::core::placement) equal_share: Option<f64>,
    /// Whether the number of VMs can be relied on.
    pub(in crate::core::placement) is_fleet_settled: bool,
    /// By how much the limits of cold leaves may be exceeded.
    pub(in crate::core::placement) tolerance: Tolerance,
}

impl Portion {
    /// Returns the share of this VM in the requests of all VMs, if it can be relied on.
    pub(super) fn reliable_share(&self, now: Instant) -> Option<f64> {
        match self.share {
            Share::Known { share, .. } if self.share.is_reliable(now) => Some(share),
            Share::Known { .. } | Share::Unknown => None,
        }
    }
}

/// What an attempt needs of a leaf with a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::core::placement) enum Need {
    /// No other leaf can take the attempt.
    Only,
    /// A retry or a hedge that another leaf can take too.
    Extra,
    /// A first attempt that another leaf can take too.
    First,
}
