//! Fingerprint of a request, by which a repeated request is recognised although each repetition has
//! an id of its own.

use xxhash_rust::xxh3::xxh3_128;

/// Hash of what makes two requests the same request. Two different requests have the same hash with
/// negligible probability.
pub type Fingerprint = u128;

/// Hashes the parts of a request, such as its host, path and body. The parts are delimited, so that
/// no two lists of parts are confused.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
    let mut bytes = Vec::with_capacity(256);
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    xxh3_128(&bytes)
}
