//! What decides whether this VM may send an attempt to a leaf with a limit.

use crate::core::fleet::Share;

/// What decides this VM's part of a limit.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::placement) struct Portion {
    /// Share of this VM in the requests of all VMs.
    pub(in crate::core::placement) share: Share,
    /// Requests per second that this VM would send to the leaf if no leaf of the service had a
    /// limit.
    pub(in crate::core::placement) usual_per_second: f64,
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
