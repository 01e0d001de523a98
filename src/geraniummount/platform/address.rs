//! Addresses in stored entries.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer};

/// Reads an address to which connections can be opened.
pub(super) fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    let address = SocketAddr::deserialize(deserializer)?;
    match address.port() {
        0 => Err(serde::de::Error::custom("port 0 can't be connected to")),
        _ => Ok(address),
    }
}
