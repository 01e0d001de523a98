//! Tracks peers that are lost, which means currently unresponsive.
//!
//! A peer is lost when no connection to it can be opened, or when a connection in use ends or
//! becomes unresponsive. Until the peer answers a ping on a new connection, or the time for its
//! recovery has passed, its traffic goes to the next owner of its leaves, which is the VM that
//! holds their queues instead. Only the parts that were in flight at the peer fail. Parts that
//! arrive later are not affected, even before membership, which tracks the state of all VMs,
//! detects the failure.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// Sorted addresses of lost peers. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct LostPeers {
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
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
