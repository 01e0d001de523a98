//! How a part that was started at the leaf completed.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! the leaf. The verdict of a failure tells whether the part was not run, may have run, or ran.

use std::time::Duration;

use super::MIN_SHED_BACKOFF;
use crate::core::leaf::State;
use crate::prelude::*;

/// How a started part completed on its connection.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The leaf sent a complete reply.
    Replied {
        /// Attempt that the reply names.
        echo: Option<AttemptId>,
        /// Snapshot (version of the index) that the reply names.
        snapshot: Option<SnapshotId>,
        /// Body of the reply.
        body: Vec<u8>,
        /// State that the leaf reported.
        state: State,
    },
    /// The leaf shed the part, that is, rejected it because of load before running it.
    Shed {
        /// Delay after which the leaf accepts a retry.
        retry_after: Option<Duration>,
        /// State that the leaf reported.
        state: State,
    },
    /// The leaf does not hold the snapshot and did not run the part.
    SnapshotNotHeld {
        /// Snapshots of the shard that the leaf holds.
        held: Vec<SnapshotId>,
    },
    /// No byte of the request was sent.
    NotSent(Reason),
    /// The connection failed, or the reply was incomplete, after a byte of the request may have
    /// been sent.
    Interrupted(Reason),
    /// No reply was received in time.
    TimedOut,
    /// The leaf answered with an error of its own.
    LeafError,
}

/// Converts the completion of an attempt into its result.
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

/// Returns the reply if it names the part's attempt and, where the part requires one, its snapshot.
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
