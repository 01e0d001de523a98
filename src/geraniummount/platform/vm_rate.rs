//! Stored form of the rate of requests that a VM tells the other VMs.

use serde::Deserialize;

/// Maximum rate of a VM in requests per second. A larger one would leave the other VMs no share.
const MAX_RATE: f64 = 1e7;

/// Stored value.
#[derive(Debug, Deserialize)]
struct Entry {
    requests_per_second: f64,
}

/// Encodes a rate in requests per second.
pub fn write(requests_per_second: f64) -> Vec<u8> {
    format!("{{\"requests_per_second\":{requests_per_second:.3}}}").into_bytes()
}

/// Decodes a rate in requests per second; `None` if the value is invalid.
pub fn read(value: &[u8]) -> Option<f64> {
    let entry: Entry = serde_json::from_slice(value).ok()?;
    let rate = entry.requests_per_second;
    (0.0..=MAX_RATE).contains(&rate).then_some(rate)
}
