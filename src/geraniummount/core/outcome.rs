//! How one attempt at one part ended.

use crate::prelude::*;

/// End of an attempt, as the owner of the leaf returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The whole reply, or why there is none.
    pub result: Result<Reply, Failure>,
    /// State of the leaf, where its owner was reached.
    pub report: Option<Report>,
}

impl Outcome {
    /// Whether the owner was lost with the attempt, which says nothing of the
    /// leaf.
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

    /// An attempt that failed before its owner was reached.
    pub fn failed(attempt: AttemptId, failure: Failure) -> Outcome {
        Outcome {
            attempt,
            result: Err(failure),
            report: None,
        }
    }
}
