//! Digest that stands for a key.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Number of bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key. The key cannot be computed from it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<KeyDigest, InvalidDigest> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_BYTES {
            return Err(InvalidDigest);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let high = hex_value(pair[0])?;
            let low = hex_value(pair[1])?;
            *byte = high << 4 | low;
        }
        Ok(KeyDigest(bytes))
    }
}

/// A text is not a digest in hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidDigest;

fn hex_value(digit: u8) -> Result<u8, InvalidDigest> {
    let value = char::from(digit).to_digit(16).ok_or(InvalidDigest)?;
    u8::try_from(value).map_err(|_| InvalidDigest)
}
