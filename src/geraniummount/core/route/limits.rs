//! Limits on the size and duration of callers' requests.

use std::time::Duration;

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time that a caller may take to send a request's head, and the same again for its
    /// body.
    pub read_timeout: Duration,
    /// Maximum time that a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Returns the greater of each two limits.
    pub fn max(self, other: Limits) -> Limits {
        Limits {
            max_head_bytes: self.max_head_bytes.max(other.max_head_bytes),
            max_body_bytes: self.max_body_bytes.max(other.max_body_bytes),
            read_timeout: self.read_timeout.max(other.read_timeout),
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
