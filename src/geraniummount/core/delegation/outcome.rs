//! Result of passing a request to a peer.

use std::time::Duration;

use super::Decline;
use crate::core::not_run::Author;
use crate::util::h1::Field;

/// Response of a peer, which is forwarded to the caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields for the caller.
    pub fields: Vec<Field>,
    /// Body.
    pub body: Vec<u8>,
    /// Version of the routes by which the peer served the request.
    pub version: u64,
    /// Who wrote the answer.
    pub author: Author,
    /// Whether the peer has checked that the answer may reach a caller, by the route that it knows. Builds
    /// that name the handoff do.
    pub is_examined: bool,
}

/// Result of passing a request to a peer.
#[derive(Debug)]
pub enum Outcome {
    /// The peer answered the request.
    Answered(Answer),
    /// The peer does not serve the request, which has not run and will not run there.
    Declined {
        /// Reason.
        decline: Decline,
        /// Time after which the peer may serve it, if the peer states one.
        retry_after: Option<Duration>,
    },
    /// The peer has not received the request.
    Unreachable,
    /// Nothing was sent, as too little time was left when the request was to be written.
    OutOfTime,
    /// The connection ended after the request was sent; the peer may serve the request.
    Lost,
}

impl Outcome {
    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::Declined { decline, .. } => decline.as_str(),
            Outcome::Unreachable => "unreachable",
            Outcome::OutOfTime => "out-of-time",
            Outcome::Lost => "lost",
        }
    }
}
