//! How many connections this VM opens to a leaf.
//!
//! Load pattern: a leaf takes a bounded number of connections from all VMs
//! together and resets those beyond. Each VM gets a share that suits some
//! dozen VMs. After VMs lost power the leaf still counts their connections, and
//! in a larger fleet the shares add up to more than it takes. A connection that
//! is reset as soon as it is open shows either, and the VM makes do with one
//! for a while.

use std::time::{Duration, Instant};

/// VMs between which a leaf's connections are divided.
const SHARING_VM_COUNT: usize = 12;

/// Connections of a VM at least, unless some were reset.
const MIN_CONNECTIONS: usize = 2;

/// Connections while the leaf is taken as full.
const MAX_CONNECTIONS_WHILE_FULL: usize = 1;

/// Time for which a leaf is taken as full. Leaves give silent connections up
/// after some seconds.
const LEAF_FULL_BACKOFF: Duration = Duration::from_secs(5);

/// A connection that ends so soon after it was opened was not taken; an answer
/// that is lost takes longer.
const MAX_REFUSED_CONNECTION_AGE: Duration = Duration::from_millis(13);

/// A VM's share of one leaf's connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionShare {
    full_until: Option<Instant>,
}

impl ConnectionShare {
    /// Returns how many connections may be open; `granted` is what the leaf
    /// takes from all VMs.
    pub fn max_connections(&self, granted: usize, now: Instant) -> usize {
        match self.full_until {
            Some(until) if now < until => MAX_CONNECTIONS_WHILE_FULL,
            _ => (granted / SHARING_VM_COUNT).max(MIN_CONNECTIONS),
        }
    }

    /// Notes that a connection broke before its first answer, so long after it
    /// was open.
    pub fn on_connection_lost(&mut self, open_for: Duration, now: Instant) {
        if open_for < MAX_REFUSED_CONNECTION_AGE {
            self.full_until = Some(now + LEAF_FULL_BACKOFF);
        }
    }
}
