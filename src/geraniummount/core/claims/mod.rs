//! At most one run of a request that its caller marked with a key.
//!
//! Keys are claimed in the platform's service before a request is dispatched.
//! Bucket stand in a fixed number of values, by hash of the key; many claims
//! go into one compare-and-swap. Each claim carries the random id of its
//! attempt, so that a lost reply is settled by reading the value back: a
//! claim is granted only once the value was seen, or written, with it.
//!
//! Where the fleet claims many keys a second, a VM sends its claims to the one
//! that [`Forwarding`] names, which writes each value for all. That spares calls;
//! no promise rests on it, as the compare-and-swap decides between two VMs
//! that write the same value. A forwarded claim without an answer is tried
//! again by the VM itself, with an attempt of its own that replaces the first
//! one: whoever works on the first can then neither grant nor release it.
//!
//! Keys are kept for [`KEY_TTL`] by the wall clocks of the VMs; clocks that
//! differ by less than [`CLOCK_MARGIN`] do not shorten it.

mod bucket;
mod forwarding;
mod write_limiter;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

pub use self::bucket::Bucket;
pub use self::forwarding::{FORWARD_TIMEOUT, Forwarding};
pub use self::write_limiter::WriteLimiter;
use crate::prelude::*;

/// Values over which claims are spread. VMs of versions that differ in it
/// would look for the same key in different values: never change it without
/// a way over.
pub const BUCKETS: u64 = 64;
/// Time for which a key is refused after it was claimed.
pub const KEY_TTL: Duration = Duration::from_secs(15 * 60);
/// Difference of clocks between VMs that does not shorten the window.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(5 * 60);
/// Most claims in one value, so that it stays below the platform's limit of
/// 1 MiB at 28 bytes each.
pub const MAX_CLAIMS_PER_BUCKET: usize = 32_768;

/// Hash of a service and a caller's key. Two of a million keys within a window
/// have the same with odds of about 1 in 10^27; the second would be refused.
pub type KeyHash = u128;

/// Hashes a caller's key within its service.
pub fn key_hash(service: &str, key: &str) -> KeyHash {
    let mut text = Vec::with_capacity(service.len() + key.len() + 1);
    text.extend_from_slice(service.as_bytes());
    text.push(0);
    text.extend_from_slice(key.as_bytes());
    xxh3_128(&text)
}

/// Returns the value that holds the claims of a key.
pub fn bucket_index(key: KeyHash) -> u64 {
    xxh3_64(&key.to_le_bytes()) % BUCKETS
}

/// A claim as it stands in a value.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Attempt that holds it.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Wall clock of the claiming VM, in milliseconds since the epoch.
    #[serde(rename = "t")]
    pub at_ms: u64,
}

/// What the claims of one value need from their driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the value.
    Read,
    /// Write these claims, by key, if the value still has this version.
    Write {
        /// Version that the write replaces.
        version: u64,
        /// All claims of the value.
        claims: Vec<Claim>,
    },
    /// Tell the one who waits.
    Answer(AttemptId, Answer),
}

/// How a claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The attempt holds the key and may run.
    Granted,
    /// Another attempt holds the key.
    Duplicate,
    /// The value is full, too many wait, or the platform takes no more calls:
    /// not claimed.
    Full,
    /// The platform did not answer: not claimed, as far as is known.
    PlatformDown,
}
