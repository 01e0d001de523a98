//! How a request that was passed to a peer ended, as far as it concerns the peer.

use super::Decline;

/// How a request that was passed to a peer ended, as far as it concerns the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The peer answered.
    Answered,
    /// The peer declined the request.
    Declined(Decline),
    /// The peer did not respond.
    Failed,
    /// The request was abandoned for a reason that has nothing to do with the peer.
    Abandoned,
}
