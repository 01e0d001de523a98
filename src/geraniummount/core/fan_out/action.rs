//! Actions that the state machine of a query returns to the thread that runs it.
//!
//! A part is the share of the query that goes to one shard, and an attempt is one try to run a part
//! at a leaf.

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
