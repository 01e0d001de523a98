//! What a request wants done.

use std::time::Duration;

use super::reply::Response;
use crate::core::placement::ReplicaKey;
use crate::prelude::*;

/// What a request wants done.
#[derive(Debug)]
pub enum Action {
    /// Send it to a leaf.
    Send {
        /// Number of the attempt.
        attempt: AttemptId,
        /// Service of the leaf.
        service: ServiceName,
        /// The leaf.
        replica: ReplicaKey,
    },
    /// Stop waiting for an attempt.
    Abandon {
        /// Number of the attempt.
        attempt: AttemptId,
    },
    /// Answer the caller; comes once.
    Finish(End),
}

/// How a request ends.
#[derive(Debug)]
pub enum End {
    /// With the parts of enough shards.
    Gathered {
        /// The parts, in the order of the shards.
        parts: Vec<Response>,
        /// Number of shards that are left out.
        missing: usize,
        /// Records in the answer.
        top_k: usize,
    },
    /// With a leaf's answer, which may be a failure of the leaf.
    Forward(Response),
    /// Without having run, now or later.
    Refuse {
        /// Why.
        refusal: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Without an answer, though it may have run.
    Fail,
    /// Without an answer in time, though it may have run.
    TimeOut,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Too few leaves can be tried now.
    NoLeaf,
    /// The deadline is over, or nearly so.
    NoTime,
    /// Each leaf that was tried rejected it or could not be reached.
    AllRejected,
}

impl Refusal {
    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoLeaf => "no-leaf",
            Refusal::NoTime => "no-time",
            Refusal::AllRejected => "all-rejected",
        }
    }
}
