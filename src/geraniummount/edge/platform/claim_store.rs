//! Claims of idempotency keys as values of the platform's service.
//!
//! A value with few claims is written as JSON, as by versions that know no
//! other form, so that a fleet of today's sizes is replaced VM by VM without
//! a refused request. One with many is written as Cap'n Proto, 28 bytes a
//! claim; a VM of such a version can't read it and refuses the keys of that
//! value as not run.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;

use super::{Platform, PutOutcome};
use crate::claims_capnp as wire;
use crate::core::claims::Claim;

/// Most claims in a value that is written as JSON.
const MAX_JSON_CLAIMS: usize = 1_024;
/// First byte of a value in JSON; one in Cap'n Proto starts with a zero, as it
/// has one segment.
const JSON_START: u8 = b'[';
const MS_PER_SECOND: u64 = 1_000;

/// The values that hold claims, `claims/{index}`.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    platform: Platform,
}

impl ClaimStore {
    /// Makes the claims' store.
    pub fn new(platform: Platform) -> ClaimStore {
        ClaimStore { platform }
    }

    /// Reads a value; `None` when the service did not answer.
    pub fn read(&self, index: u64) -> Option<(u64, Vec<Claim>)> {
        let value = self.platform.get(&key(index))?;
        if value.version == 0 {
            return Some((0, Vec::new()));
        }
        let claims = decode(&value.body)?;
        Some((value.version, claims))
    }

    /// Writes a value if it still has `version`.
    pub fn write(&self, index: u64, version: u64, claims: &[Claim]) -> PutOutcome {
        match encode(claims) {
            Some(body) => self.platform.put(&key(index), version, &body),
            None => PutOutcome::Refused,
        }
    }
}

/// Writes claims, sorted by key.
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

/// Reads claims in either form; `None` where they are in neither.
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
