//! A leaf's registration.

use std::time::Duration;

use serde::Deserialize;

use super::REGISTRATION_PREFIX;
use crate::core::instance::Instance;

/// A registration as the leaf writes it.
#[derive(Debug, Deserialize)]
struct Registration {
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
    let registration: Registration = serde_json::from_slice(value)?;
    Ok(Instance {
        id: key
            .strip_prefix(REGISTRATION_PREFIX)
            .unwrap_or(key)
            .to_string(),
        started_at_ms: registration.born,
        service: registration.backend,
        address: registration.address,
        domain: registration.zone,
        slots: registration.concurrency,
        is_leaving: registration.state == State::Draining,
        warm_up_left: Duration::from_millis(registration.warmup_left_ms),
    })
}
