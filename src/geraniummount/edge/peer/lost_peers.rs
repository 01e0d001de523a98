//! Tracks peers that are lost, which means currently unresponsive.
//!
//! A peer is lost when no connection to it can be opened, or when a connection in use ends or
//! becomes unresponsive. Until the peer answers a ping on a new connection, or the time for its
//! recovery has passed, its traffic goes to the next owner of its leaves, which is the VM that
//! holds their queues instead. Only the parts that were in flight at the peer fail. Parts that
//! arrive later are not affected, even before membership, which tracks the state of all VMs,
//! detects the failure.
//!
//! A peer that responds but has lost its own links to the leaves is avoided for a short time.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Time for which a peer that has declined a part is avoided.
const DECLINE_TTL: Duration = Duration::from_millis(500);

/// Lost peers, and those that have declined parts. Clones share the lists.
#[derive(Clone, Debug, Default)]
pub struct LostPeers {
    /// Sorted.
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
    /// Peers that have declined parts, each with the time until which it is avoided, sorted by
    /// address.
    declined: Arc<RwLock<Vec<(SocketAddr, Instant)>>>,
}

impl LostPeers {
    /// Returns whether a peer is lost.
    pub fn contains(&self, address: SocketAddr) -> bool {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.binary_search(&address).is_ok()
    }

    /// Returns whether a peer has just declined a part because it can't reach the leaf.
    pub fn has_declined(&self, address: SocketAddr) -> bool {
        let declined = self.declined.read().unwrap_or_else(PoisonError::into_inner);
        let index = declined.binary_search_by_key(&address, |(known, _)| *known);
        index.is_ok_and(|index| Instant::now() < declined[index].1)
    }

    /// Records that a peer has declined a part.
    pub(super) fn mark_declined(&self, address: SocketAddr) {
        let until = Instant::now() + DECLINE_TTL;
        let mut declined = self
            .declined
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match declined.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(index) => declined[index].1 = until,
            Err(index) => declined.insert(index, (address, until)),
        }
    }

    pub(super) fn insert(&self, address: SocketAddr) {
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Err(index) = addresses.binary_search(&address) {
            addresses.insert(index, address);
        }
    }

    pub(super) fn remove(&self, address: SocketAddr) {
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = addresses.binary_search(&address) {
            addresses.remove(index);
        }
    }
}
