//! A request, or part of one, that has no reply.

use std::time::Duration;

use crate::prelude::*;

/// Why there is no reply, and whether the request may have run all the same.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// When trying again may help; `None` where it does not.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure of a request that was not run.
    pub fn not_run(reason: Reason) -> Failure {
        Failure {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// A failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Failure {
        Failure {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Returns whether it says that nothing was there to take the part.
    pub fn is_unreachable(&self) -> bool {
        let unreachable = matches!(
            self.reason,
            Reason::ConnectFailed | Reason::NoOwner | Reason::Unreachable
        );
        unreachable && self.verdict == Verdict::NotRun
    }

    /// The same failure with a time to come back.
    pub fn with_retry_after(self, wait: Duration) -> Failure {
        Failure {
            retry_after: Some(wait),
            ..self
        }
    }
}
