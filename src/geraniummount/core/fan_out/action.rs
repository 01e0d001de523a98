//! What a query asks of its thread.

use crate::core::answer::Answer;
use crate::prelude::*;

/// What the query's thread has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the part; its outcome is due.
    Send(Part),
    /// Give up an attempt at a leaf.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Leaf that it was sent to.
        leaf: LeafName,
    },
    /// Return the answer to the caller; the query is over.
    Finish(Result<Answer, Failure>),
}
