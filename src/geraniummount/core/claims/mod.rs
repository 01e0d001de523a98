//! Ensures that a request with an idempotency key runs at most once.
//!
//! A key is claimed in the platform's key-value service before its request is dispatched. Claims
//! are hashed by key into a fixed number of buckets, each of which is one stored value. Many claims
//! go into one compare-and-swap of a bucket. Each claim carries the random id of its attempt (one
//! try to run the request), which resolves a lost reply: the bucket is read again, and a claim is
//! granted only once the bucket was read or written with it.
//!
//! When the fleet claims many keys per second, or the platform's rate limit rejects calls, each VM
//! forwards its claims to the VM that [`Forwarding`] selects, which writes a bucket on behalf of
//! all. This reduces the number of calls to the platform. Correctness does not depend on it,
//! because the compare-and-swap decides between two VMs that write the same bucket. If a forwarded
//! claim gets no answer, the VM claims the key itself under a new attempt id, and the new claim
//! replaces the first one. A VM that still processes the first attempt can then neither grant nor
//! release the key.
//!
//! Keys are kept for [`KEY_TTL`], measured by the wall clocks of the VMs.
//! Clock differences of less than [`CLOCK_MARGIN`] do not shorten this time.

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

/// Number of buckets over which claims are hashed. VMs with different values
/// look up the same key in different buckets, and a key can then be claimed
/// twice. Never change it without a migration.
pub const BUCKETS: u64 = 64;
/// Time for which a key is rejected after it was claimed.
pub const KEY_TTL: Duration = Duration::from_secs(15 * 60);
/// Clock difference between VMs that does not shorten [`KEY_TTL`].
pub const CLOCK_MARGIN: Duration = Duration::from_secs(5 * 60);
/// Maximum number of claims in one bucket. At 28 bytes per claim, a full
/// bucket stays below the platform's limit of 1 MiB per value.
pub const MAX_CLAIMS_PER_BUCKET: usize = 32_768;

/// Hash of a service and an idempotency key. Among a million keys within one
/// [`KEY_TTL`], the probability that two have the same hash is about 1 in
/// 10^27. The second request would be rejected as a duplicate.
pub type KeyHash = u128;

/// Hashes a caller's idempotency key together with its service.
pub fn key_hash(service: &str, key: &str) -> KeyHash {
    let mut text = Vec::with_capacity(service.len() + key.len() + 1);
    text.extend_from_slice(service.as_bytes());
    text.push(0);
    text.extend_from_slice(key.as_bytes());
    xxh3_128(&text)
}

/// Returns the index of the bucket that holds the claim of a key.
pub fn bucket_index(key: KeyHash) -> u64 {
    xxh3_64(&key.to_le_bytes()) % BUCKETS
}

/// A claim as it is stored in a bucket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Hash of the claimed key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Attempt that holds the key.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Wall clock of the claiming VM, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub at_ms: u64,
}

/// What the caller of a [`Bucket`] has to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the bucket.
    Read,
    /// Write these claims, sorted by key, if the stored bucket still has this
    /// version.
    Write {
        /// Version that the write replaces.
        version: u64,
        /// All claims of the bucket.
        claims: Vec<Claim>,
    },
    /// Send the answer to the request that waits for this attempt.
    Answer(AttemptId, Answer),
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The attempt holds the key and may run.
    Granted,
    /// Another attempt holds the key.
    Duplicate,
    /// Not claimed: the bucket is full, too many claims are pending, or the
    /// platform accepts no more calls.
    Full,
    /// The platform did not answer. The key is not claimed as far as this VM
    /// knows.
    PlatformDown,
}
