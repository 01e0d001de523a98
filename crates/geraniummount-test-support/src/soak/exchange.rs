//! Records a request of a caller together with its outcome.

use std::time::Instant;

use super::kind::Kind;

/// A request that a caller sent, and its outcome.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the gateway that the request was sent to.
    pub vm: usize,
    /// Key of a tenant that it was sent with; `None` in a run without tenants.
    pub key: Option<String>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the outcome was known.
    pub ended_at: Instant,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// The outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The caller could not connect to the gateway.
    NoConnection,
    /// The caller received a whole reply with this status.
    Status(u16),
    /// The connection ended before the whole reply was received.
    ConnectionLost,
    /// The caller received no reply in time.
    TimedOut,
    /// The reply is malformed, or reports success but is wrong or belongs to another request.
    WrongReply(String),
}

impl Outcome {
    /// Returns whether the status promises that the request has not run and never will.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Outcome::Status(408 | 421 | 429 | 503))
    }

    /// Returns whether the request was served.
    pub fn is_success(&self) -> bool {
        matches!(self, Outcome::Status(200..=299))
    }
}
