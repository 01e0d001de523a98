//! Limits the number of connections that this VM opens to a leaf.
//!
//! Load pattern: a leaf accepts a bounded number of connections from all VMs together and resets
//! those beyond the bound. Each VM gets a share that suits about a dozen VMs. After VMs lose power,
//! the leaf still counts their connections, and in a larger fleet the shares add up to more than
//! the bound. In both cases the leaf resets a new connection immediately, and the VM then limits
//! itself to one connection for a while.

use std::time::{Duration, Instant};

/// Number of VMs that a leaf's connections are divided between.
const SHARING_VM_COUNT: usize = 12;

/// Minimum number of connections of a VM, unless the leaf is considered full.
const MIN_CONNECTIONS: usize = 2;

/// Maximum number of connections while the leaf is considered full.
const MAX_CONNECTIONS_WHILE_FULL: usize = 1;

/// Time for which a leaf is considered full. Leaves close idle connections after a few seconds.
const LEAF_FULL_BACKOFF: Duration = Duration::from_secs(5);

/// A connection that is lost before it reaches this age was refused by the leaf; a connection whose
/// answer is lost is older.
const MAX_REFUSED_CONNECTION_AGE: Duration = Duration::from_millis(13);

/// This VM's share of one leaf's connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionShare {
    /// When the leaf is no longer considered full, after its last refusal of a connection.
    full_until: Option<Instant>,
}

impl ConnectionShare {
    /// Returns how many connections may be open; `granted` is the number that the leaf accepts from
    /// all VMs together.
    pub fn max_connections(&self, granted: usize, now: Instant) -> usize {
        match self.full_until {
            Some(until) if now < until => MAX_CONNECTIONS_WHILE_FULL,
            _ => (granted / SHARING_VM_COUNT).max(MIN_CONNECTIONS),
        }
    }

    /// Records that a connection was lost before its first answer; `open_for` is its age. If the
    /// leaf refused the connection, it is considered full from now on.
    pub fn on_connection_lost(&mut self, open_for: Duration, now: Instant) {
        if open_for < MAX_REFUSED_CONNECTION_AGE {
            self.full_until = Some(now + LEAF_FULL_BACKOFF);
        }
    }
}
