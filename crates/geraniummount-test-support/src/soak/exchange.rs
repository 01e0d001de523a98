//! What a caller sent and what it got.

use std::time::Instant;

use super::kind::Kind;

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The gateway that it was sent to.
    pub vm: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its outcome was catalog.
    pub ended_at: Instant,
    /// What came of it.
    pub outcome: Outcome,
}

/// What came of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No connection could be opened.
    NoConnection,
    /// An answer with this status came whole.
    Status(u16),
    /// The connection ended before a whole answer.
    ConnectionLost,
    /// No answer came in time.
    TimedOut,
    /// A success was not the answer to this request, or a wrong one.
    WrongResponse(String),
}

impl Outcome {
    /// Returns whether the caller was told that it did not run and never will.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Outcome::Status(408 | 421 | 429 | 503))
    }

    /// Returns whether it was served.
    pub fn is_success(&self) -> bool {
        matches!(self, Outcome::Status(200..=299))
    }
}
