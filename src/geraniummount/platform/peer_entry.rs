//! Stored form of a VM to which the other VMs can delegate requests.

use std::net::SocketAddr;

use serde::de::Error as _;
use serde::{Deserialize, Serialize};

use super::PEER_PREFIX;
use crate::core::config::validation;
use crate::core::delegation::Peer;
use crate::prelude::*;
use crate::util::bounded;

/// A VM, with the time at which its entry was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// The VM.
    pub peer: Peer,
    /// When the entry was written, in milliseconds since the Unix epoch.
    pub written_at_ms: u64,
}

/// Stored value.
#[derive(Debug, Deserialize, Serialize)]
struct Stored {
    #[serde(deserialize_with = "super::address::read")]
    address: SocketAddr,
    domain: DomainName,
    key: String,
    written_at_ms: u64,
    /// Processor share; older builds do not write it.
    #[serde(default, deserialize_with = "bounded::deserialize_count")]
    millicores: Millicores,
}

/// Returns the key under which a VM is stored.
pub fn key(name: &str) -> String {
    format!("{PEER_PREFIX}{name}")
}

/// Encodes the value that is stored for a VM.
pub fn write(entry: &PeerEntry) -> Vec<u8> {
    let peer = &entry.peer;
    let stored = Stored {
        address: peer.address,
        domain: peer.domain.clone(),
        key: peer.key.clone(),
        written_at_ms: entry.written_at_ms,
        millicores: peer.millicores,
    };
    serde_json::json!(stored).to_string().into_bytes()
}

/// Decodes the value that is stored under a key.
///
/// # Errors
///
/// Returns an error if the key does not name a VM, or if the value is invalid.
pub fn read(key: &str, value: &[u8]) -> Result<PeerEntry, serde_json::Error> {
    let name = key.strip_prefix(PEER_PREFIX).unwrap_or(key);
    if !validation::is_valid_name(name) {
        let problem = format!("the key names no VM; use {}", validation::name_rule());
        return Err(serde_json::Error::custom(problem));
    }
    let stored: Stored = serde_json::from_slice(value)?;
    if !is_secret(&stored.key) {
        let problem = "the secret is not usable; use visible ASCII characters";
        return Err(serde_json::Error::custom(problem));
    }
    Ok(PeerEntry {
        peer: Peer {
            name: name.to_string(),
            domain: stored.domain,
            address: stored.address,
            key: stored.key,
            millicores: stored.millicores,
        },
        written_at_ms: stored.written_at_ms,
    })
}

/// Returns whether a text can be the secret of a VM, which requests to it contain in a header field.
fn is_secret(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
