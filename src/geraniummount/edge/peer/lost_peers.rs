//! Peers that do not answer now.
//!
//! A peer is lost when no connection to it can be opened, or one that was in
//! use ended or went silent. Traffic goes around it, to the next owner of its
//! leaves, until a ping on a new connection is answered. So a loss costs the
//! parts that were at the peer, and not those that come before membership
//! has noticed.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// Addresses of lost peers, sorted; clones share them.
#[derive(Clone, Debug, Default)]
pub struct LostPeers {
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
}

impl LostPeers {
    /// Whether a peer is lost.
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
