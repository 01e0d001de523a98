//! Failure of a request or of one of its parts, the shares that go to one shard each.

use std::time::Duration;

use crate::prelude::*;

/// Why there is no reply, and whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request was not run, may have run or ran.
    pub verdict: Verdict,
    /// Why the request failed.
    pub reason: Reason,
    /// Delay after which a retry may help; `None` if a retry does not help or no delay is known.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure of a request that did not run.
    pub fn not_run(reason: Reason) -> Failure {
        Failure {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates a failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Failure {
        Failure {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Returns whether the part did not run because its leaf, or the owner of the leaf (the VM that
    /// holds its queue), could not be reached.
    pub fn is_unreachable(&self) -> bool {
        let unreachable = matches!(
            self.reason,
            Reason::ConnectFailed | Reason::NoOwner | Reason::Unreachable
        );
        unreachable && self.verdict == Verdict::NotRun
    }

    /// Returns the same failure with a delay after which a retry may help.
    pub fn with_retry_after(self, wait: Duration) -> Failure {
        Failure {
            retry_after: Some(wait),
            ..self
        }
    }
}
