//! Parser of the registrations that leaves, the servers that run the requests, write to the
//! key-value store of the users' platform.

use std::time::Duration;

use serde::Deserialize;
use serde::de::Error as _;

use super::REGISTRATION_PREFIX;
use crate::core::instance::Instance;
use crate::util::bounded;

/// Maximum length of the id of a leaf, which is a part of a key of the store.
const MAX_ID_BYTES: usize = 200;

/// Characters of an id other than ASCII letters and digits.
const ID_PUNCTUATION: &[u8] = b"-._~:@";

/// A registration in the format in which the leaf writes it.
#[derive(Debug, Deserialize)]
struct Registration {
    /// Service whose requests the leaf runs.
    backend: String,
    #[serde(deserialize_with = "super::address::read")]
    address: std::net::SocketAddr,
    /// Failure domain: the group of machines that can fail together with the leaf.
    zone: String,
    /// Maximum number of requests that the leaf runs concurrently.
    #[serde(deserialize_with = "bounded::deserialize_count")]
    concurrency: u32,
    /// Whether the leaf takes new requests.
    state: State,
    /// Remaining warm-up time, during which the leaf is slower than others.
    #[serde(
        default,
        deserialize_with = "bounded::deserialize_millis",
        rename = "warmupLeftMs"
    )]
    warm_up_left: Duration,
    /// Start time of the leaf in milliseconds since the Unix epoch.
    #[serde(default)]
    born: Option<u64>,
    /// Number of heartbeats since the start of the leaf.
    #[serde(default)]
    seq: Option<u64>,
}

#[derive(Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    /// The leaf finishes the requests in hand and takes no new ones.
    Draining,
}

/// Parses the registration that is stored under a key.
///
/// # Errors
///
/// Returns an error if the key does not name a leaf, or if the value is not a valid registration.
pub fn read(key: &str, value: &[u8]) -> Result<Instance, serde_json::Error> {
    let id = key.strip_prefix(REGISTRATION_PREFIX).unwrap_or(key);
    if !is_id(id) {
        let problem = "the key names no leaf; use letters, digits and -._~:@";
        return Err(serde_json::Error::custom(problem));
    }
    let registration: Registration = serde_json::from_slice(value)?;
    Ok(Instance {
        id: id.to_string(),
        started_at_ms: registration.born,
        heartbeat: registration.seq,
        service: registration.backend,
        address: registration.address,
        domain: registration.zone,
        slots: registration.concurrency,
        is_leaving: registration.state == State::Draining,
        warm_up_left: registration.warm_up_left,
    })
}

/// Returns whether a text can be the id of a leaf. Requests name the id in a header field, and log
/// lines contain it.
fn is_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || ID_PUNCTUATION.contains(&byte);
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}
