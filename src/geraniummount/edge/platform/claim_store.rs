//! Claims of idempotency keys as values of the platform's service.

use super::{Platform, Written};
use crate::core::claims::Claim;

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
        let claims = serde_json::from_slice(&value.body).ok()?;
        Some((value.version, claims))
    }

    /// Writes a value if it still has `version`.
    pub fn write(&self, index: u64, version: u64, claims: &[Claim]) -> Written {
        match serde_json::to_vec(claims) {
            Ok(body) => self.platform.put(&key(index), version, &body),
            Err(_) => Written::Refused,
        }
    }
}

fn key(index: u64) -> String {
    format!("claims/{index}")
}
