//! What a caller may send, and how long it may take.

use std::time::Duration;

/// Bounds on callers' connections and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time to send a request's head, and again its body.
    pub read: Duration,
    /// Time that a connection may stay without a request.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            read: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}
