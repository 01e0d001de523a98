//! Actions that a delegated request asks the gateway to carry out.

use std::time::Duration;

use super::Answer;
use crate::core::not_run::NotRun;
use crate::prelude::*;

/// An action that a delegated request asks the gateway to carry out.
#[derive(Debug)]
pub enum Action {
    /// Pass the request to a peer.
    Send {
        /// Id of the new handoff.
        handoff: HandoffId,
        /// VM that receives the request.
        peer: VmName,
    },
    /// Close the connection to the peer that has the request, which cancels the request there. If no
    /// byte of it was written, none may be written later.
    Abandon,
    /// Answer the caller. Issued at most once per request.
    Finish(End),
}

/// Final result of a delegated request.
#[derive(Debug)]
pub enum End {
    /// Forward the answer of a peer.
    Forward(Answer),
    /// Reject the request: it has not run and will not run.
    Refuse {
        /// Proof that the request has not run.
        not_run: NotRun,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Serve the request on this VM. Issued only for requests that are offloaded.
    ServeHere {
        /// Whether the peer, or a leaf, may have run the request.
        may_have_run: bool,
    },
    /// Report a failure; the request may have run.
    Fail,
    /// Report a timeout; the request may have run.
    TimeOut,
}
