//! Storage of idempotency key claims in the platform's key-value service.
//!
//! A claim records that an idempotency key was taken by one attempt, which has a random id. Each
//! value, called a bucket elsewhere, contains the claims of the keys that hash to its index. A
//! value with at most `MAX_JSON_CLAIMS` claims is written as JSON, the only format that earlier
//! versions can read. A fleet whose values stay below this limit can therefore be upgraded VM by VM
//! without rejected requests. A larger value is written as Cap'n Proto, with 28 bytes per claim. A
//! VM of an earlier version cannot read it, and rejects requests with the keys of that value as not
//! run.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;

use super::{Platform, PutOutcome};
use crate::claims_capnp as wire;
use crate::core::claims::Claim;

/// Maximum number of claims in a value that is written as JSON.
const MAX_JSON_CLAIMS: usize = 1_024;
/// First byte of a value in JSON. A Cap'n Proto value starts with a zero byte, because its message
/// has a single segment.
const JSON_START: u8 = b'[';
const MS_PER_SECOND: u64 = 1_000;

/// Client of the values that store claims, under the keys `claims/{index}`.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    platform: Platform,
}

impl ClaimStore {
    /// Creates a store on the platform's key-value service.
    pub fn new(platform: Platform) -> ClaimStore {
        ClaimStore { platform }
    }

    /// Reads a value and its version; `None` if the service did not answer or the value cannot be
    /// decoded.
    pub fn read(&self, index: u64) -> Option<(u64, Vec<Claim>)> {
        let value = self.platform.get(&key(index))?;
        if value.version == 0 {
            return Some((0, Vec::new()));
        }
        let claims = decode(&value.body)?;
        Some((value.version, claims))
    }

    /// Writes a value if its version is still `version`. Nothing is written if the claims cannot be
    /// encoded.
    pub fn write(&self, index: u64, version: u64, claims: &[Claim]) -> PutOutcome {
        match encode(claims) {
            Some(body) => self.platform.put(&key(index), version, &body),
            None => PutOutcome::Refused,
        }
    }
}

/// Encodes claims, which are sorted by key; `None` if that fails.
pub fn encode(claims: &[Claim]) -> Option<Vec<u8>> {
    if claims.len() <= MAX_JSON_CLAIMS {
        return serde_json::to_vec(claims).ok();
    }
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<wire::claims::Builder<'_>>();
    let count = claims.len() as u32;
    let fields = claims.iter().zip(0..count);
    let mut list = root.reborrow().init_keys_high(count);
    fields
        .clone()
        .for_each(|(claim, index)| list.set(index, (claim.key >> 64) as u64));
    let mut list = root.reborrow().init_keys_low(count);
    fields
        .clone()
        .for_each(|(claim, index)| list.set(index, claim.key as u64));
    let mut list = root.reborrow().init_attempts(count);
    fields
        .clone()
        .for_each(|(claim, index)| list.set(index, claim.attempt));
    let mut list = root.reborrow().init_seconds(count);
    fields.for_each(|(claim, index)| {
        list.set(index, claim.at_ms.div_ceil(MS_PER_SECOND) as u32);
    });
    let mut bytes = Vec::new();
    serialize::write_message(&mut bytes, &builder).ok()?;
    Some(bytes)
}

/// Decodes claims from either format; `None` if the bytes are valid in neither.
pub fn decode(bytes: &[u8]) -> Option<Vec<Claim>> {
    if bytes.first() == Some(&JSON_START) {
        return serde_json::from_slice(bytes).ok();
    }
    let message = serialize::read_message(bytes, ReaderOptions::new()).ok()?;
    let root = message.get_root::<wire::claims::Reader<'_>>().ok()?;
    let (high, low) = (root.get_keys_high().ok()?, root.get_keys_low().ok()?);
    let (attempts, seconds) = (root.get_attempts().ok()?, root.get_seconds().ok()?);
    let count = high.len();
    if [low.len(), attempts.len(), seconds.len()] != [count; 3] {
        return None;
    }
    let read = |index| Claim {
        key: u128::from(high.get(index)) << 64 | u128::from(low.get(index)),
        attempt: attempts.get(index),
        at_ms: u64::from(seconds.get(index)) * MS_PER_SECOND,
    };
    Some((0..count).map(read).collect())
}

fn key(index: u64) -> String {
    format!("claims/{index}")
}
