//! Values of metric labels.

use crate::core::claims;
use crate::core::vm;

/// Reason for an attempt, which is one try to run a part (the share of a request that goes to one
/// shard) at a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptKind {
    /// First attempt to run a part.
    First,
    /// Another attempt, after an earlier one that failed or never reached a leaf.
    Retry,
    /// Another attempt, at another replica, while an earlier one is late.
    Hedge,
}

impl AttemptKind {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            AttemptKind::First => "first",
            AttemptKind::Retry => "retry",
            AttemptKind::Hedge => "hedge",
        }
    }
}

/// Result of a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryResult {
    /// Answered with the results of all shards.
    Whole,
    /// Answered with the results of some shards missing.
    Partial,
    /// Rejected, other than as invalid, or failed without having run.
    Refused,
    /// Failed after it may have run.
    Failed,
    /// Rejected because the request is invalid.
    Invalid,
}

impl QueryResult {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            QueryResult::Whole => "whole",
            QueryResult::Partial => "partial",
            QueryResult::Refused => "refused",
            QueryResult::Failed => "failed",
            QueryResult::Invalid => "invalid",
        }
    }
}

/// Kind of a call to the platform, which the users run: a key-value service and the membership list
/// (the list of all processes, VMs and leaves).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read of a value.
    Get,
    /// Write of a value by compare-and-swap.
    Put,
    /// Wait for a change of a value.
    Watch,
    /// Read of the membership list.
    Members,
}

impl Call {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Call::Get => "get",
            Call::Put => "put",
            Call::Watch => "watch",
            Call::Members => "members",
        }
    }
}

/// Result of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The call succeeded.
    Ok,
    /// The write lost against a concurrent write.
    Conflict,
    /// The platform rejected the call or answered with an error.
    Refused,
    /// No answer was received. The call may have taken effect.
    Lost,
    /// The call was not sent.
    NotSent,
}

impl CallResult {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            CallResult::Ok => "ok",
            CallResult::Conflict => "conflict",
            CallResult::Refused => "refused",
            CallResult::Lost => "lost",
            CallResult::NotSent => "not-sent",
        }
    }
}

pub(super) fn vm_state(state: vm::State) -> &'static str {
    match state {
        vm::State::Live => "live",
        vm::State::Suspect => "suspect",
        vm::State::Leaving => "leaving",
        vm::State::Dead => "dead",
    }
}

/// VM that claims an idempotency key, which means that it records in the platform's key-value
/// service that the key was taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claimant {
    /// Another VM, on behalf of this one.
    Peer,
    /// This VM.
    Own,
}

impl Claimant {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Claimant::Peer => "peer",
            Claimant::Own => "self",
        }
    }
}

pub(super) fn claim_result(answer: claims::Answer) -> &'static str {
    match answer {
        claims::Answer::Granted => "granted",
        claims::Answer::Duplicate => "duplicate",
        claims::Answer::Full => "full",
        claims::Answer::PlatformDown => "platform-down",
    }
}
