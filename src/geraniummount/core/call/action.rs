//! Actions that a request asks the gateway to carry out.

use std::time::Duration;

use super::reply::Response;
use crate::core::not_run::NotRun;
use crate::core::placement::ReplicaKey;
use crate::prelude::*;

/// An action that a request asks the gateway to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send the request, or one of its parts, to a leaf.
    Send {
        /// Id of the new attempt.
        attempt: AttemptId,
        /// Service that the leaf belongs to.
        service: ServiceName,
        /// Leaf that receives the attempt.
        replica: ReplicaKey,
        /// Whether the attempt is a retry or a hedge.
        is_extra: bool,
    },
    /// Cancel an attempt and ignore its reply. If no byte of it was written, none may be written
    /// later.
    Abandon {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Answer the caller. Issued at most once per request.
    Finish(End),
}

impl Action {
    /// Returns whether the action sends an attempt.
    pub(super) fn sends(&self, wanted: AttemptId) -> bool {
        matches!(self, Action::Send { attempt, .. } if *attempt == wanted)
    }
}

/// Final result of a request.
#[derive(Debug)]
pub enum End {
    /// Answer a query over many shards with the parts of enough of them.
    Gathered {
        /// Parts, in the order of the shards.
        parts: Vec<Response>,
        /// Number of shards that the answer lacks.
        missing: usize,
        /// Maximum number of records in the answer.
        top_k: usize,
    },
    /// Forward the response of a leaf, which may be an error response.
    Forward(Response),
    /// Reject the request: it has not run and will not run.
    Refuse {
        /// Proof that the request has not run.
        not_run: NotRun,
        /// Reason for the refusal.
        refusal: Refusal,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Report a failure; the request may have run.
    Fail,
    /// Report a timeout; the request may have run.
    TimeOut,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Too few services or shards have a leaf that can be tried now.
    NoLeaf,
    /// Too few services or shards have a leaf whose limit permits the request now.
    Limited,
    /// The deadline has passed or is too close.
    NoTime,
    /// Leaves have crashed while they ran the request.
    Quarantined,
    /// Every leaf that was tried rejected the request or could not be reached.
    AllRejected,
}

impl Refusal {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoLeaf => "no-leaf",
            Refusal::Limited => "limited",
            Refusal::NoTime => "no-time",
            Refusal::Quarantined => "quarantined",
            Refusal::AllRejected => "all-rejected",
        }
    }
}
