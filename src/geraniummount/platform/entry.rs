//! A leaf's registration.

use std::time::Duration;

use serde::Deserialize;

use super::ENTRY_PREFIX;
use crate::core::instance::Instance;

/// A registration as the leaf writes it.
#[derive(Debug, Deserialize)]
struct Entry {
    /// Service whose requests the leaf runs.
    backend: String,
    address: std::net::SocketAddr,
    /// Failure domain.
    zone: String,
    /// Requests that it works on at once.
    concurrency: u32,
    state: State,
    /// Milliseconds until it is as fast as the others.
    #[serde(default, rename = "warmupLeftMs")]
    warmup_left_ms: u64,
    /// Unix milliseconds of its start.
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Reads the registration under a key.
///
/// # Errors
///
/// The value is not one that a leaf writes; it names no leaf.
pub fn read(key: &str, value: &[u8]) -> Result<Instance, serde_json::Error> {
    let entry: Entry = serde_json::from_slice(value)?;
    Ok(Instance {
        id: key.strip_prefix(ENTRY_PREFIX).unwrap_or(key).to_string(),
        started_at_ms: entry.born,
        service: entry.backend,
        address: entry.address,
        domain: entry.zone,
        slots: entry.concurrency,
        is_leaving: entry.state == State::Draining,
        warm_up_left: Duration::from_millis(entry.warmup_left_ms),
    })
}
