//! Next step of the exchange of rates.

use std::time::Duration;

use crate::core::store::freshness::Freshness;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Request a lease, and write the entry with this rate in requests per second.
    Join(f64),
    /// Write the entry again, with this rate.
    Write(f64),
    /// Renew the lease.
    Renew,
    /// Read the entries of all VMs.
    Read(Freshness),
    /// Wait for a new rate, at most for this time.
    Wait(Duration),
}
