//! What a caller may send, and how long it may take.

use std::time::Duration;

/// Bounds on callers' connections and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time to send a request's head, and again its body.
    pub read_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
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
