//! Outcome of one attempt at one part.
//!
//! A part is the share of a request that goes to one shard. An attempt is one try to run it at one
//! leaf, through the owner of the leaf, the VM that holds the leaf's queue.

use crate::prelude::*;

/// Outcome of an attempt, as the owner of the leaf returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Id of the attempt that ended.
    pub attempt: AttemptId,
    /// The complete reply, or why there is none.
    pub result: Result<Reply, Failure>,
    /// State of the leaf, if its owner was reached.
    pub report: Option<Report>,
}

impl Outcome {
    /// Returns whether the owner was lost during the attempt. Such an outcome says nothing about
    /// the leaf.
    pub fn is_owner_lost(&self) -> bool {
        let is_lost = |failure: &Failure| {
            let reason = failure.reason;
            matches!(
                reason,
                Reason::ConnectFailed | Reason::NoOwner | Reason::Unreachable
            )
        };
        self.report.is_none() && self.result.as_ref().is_err_and(is_lost)
    }

    /// Returns whether the VM that was asked can't reach the leaf, so that another VM may be asked.
    pub fn is_declined(&self) -> bool {
        let is_declined = |failure: &Failure| {
            failure.verdict == Verdict::NotRun && failure.reason == Reason::ConnectFailed
        };
        self.report.is_none() && self.result.as_ref().is_err_and(is_declined)
    }

    /// Creates the outcome of an attempt that failed before its owner was reached.
    pub fn failed(attempt: AttemptId, failure: Failure) -> Outcome {
        Outcome {
            attempt,
            result: Err(failure),
            report: None,
        }
    }
}
