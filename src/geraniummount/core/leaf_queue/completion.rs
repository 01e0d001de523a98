//! How a part that was sent ended.

use std::time::Duration;

use super::MIN_SHED_BACKOFF;
use crate::core::leaf::State;
use crate::prelude::*;

/// How a started part ended on its connection.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The leaf sent a whole reply.
    Replied {
        /// Attempt that the reply names.
        echo: Option<AttemptId>,
        /// Snapshot that the reply names.
        snapshot: Option<SnapshotId>,
        /// The reply's body.
        body: Vec<u8>,
        /// State that the leaf told.
        state: State,
    },
    /// The leaf refused it before running it.
    Shed {
        /// When the leaf wants to be asked again.
        retry_after: Option<Duration>,
        /// State that the leaf told.
        state: State,
    },
    /// The leaf does not hold the snapshot; it did not run the part.
    SnapshotNotHeld {
        /// Snapshots that it holds of the shard.
        held: Vec<SnapshotId>,
    },
    /// No byte of the request left.
    NotSent(Reason),
    /// The connection broke, or the reply was not whole, after a byte may
    /// have left.
    Interrupted(Reason),
    /// No reply came in time.
    TimedOut,
    /// The leaf answered with an error of its own.
    LeafError,
}

/// Turns the end of an attempt into its result.
pub(super) fn into_result(part: &Part, completion: Completion) -> Result<Reply, Failure> {
    match completion {
        Completion::Replied {
            echo,
            snapshot,
            body,
            ..
        } => check_reply(part, echo, snapshot, body),
        Completion::Shed { retry_after, .. } => {
            let wait = retry_after.unwrap_or(MIN_SHED_BACKOFF);
            Err(Failure::not_run(Reason::Shed).with_retry_after(wait))
        }
        Completion::SnapshotNotHeld { .. } => Err(Failure::not_run(Reason::SnapshotNotHeld)),
        Completion::NotSent(reason) => Err(Failure::not_run(reason)),
        Completion::Interrupted(reason) => Err(Failure::may_have_run(reason)),
        Completion::TimedOut => Err(Failure::may_have_run(Reason::Deadline)),
        Completion::LeafError => Err(Failure::may_have_run(Reason::LeafError)),
    }
}

fn check_reply(
    part: &Part,
    echo: Option<AttemptId>,
    snapshot: Option<SnapshotId>,
    body: Vec<u8>,
) -> Result<Reply, Failure> {
    if echo != Some(part.attempt) {
        return Err(Failure::may_have_run(Reason::ReplyMismatch));
    }
    if part.snapshot.is_some() && snapshot != part.snapshot {
        return Err(Failure {
            verdict: Verdict::Ran,
            reason: Reason::SnapshotMismatch,
            retry_after: None,
        });
    }
    Ok(Reply {
        snapshot: snapshot.unwrap_or_default(),
        body,
    })
}
