//! Actions that the state machine of a query returns to the thread that runs it.

use crate::core::answer::Answer;
use crate::prelude::*;

/// Action that the thread of a query performs.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the part and report its outcome to `on_outcome`.
    Send(Part),
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Leaf that the attempt was sent to.
        leaf: LeafName,
    },
    /// Return the answer or the failure to the caller. The query is finished.
    Finish(Result<Answer, Failure>),
}
