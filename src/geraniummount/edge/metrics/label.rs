//! Values of metric labels, as closed sets.

use crate::core::claims;
use crate::core::vm;

/// Why a part was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptKind {
    /// First attempt at a shard.
    First,
    /// Another attempt after a failure.
    Retry,
    /// Another attempt while the first is late.
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

/// How a query ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryResult {
    /// Answered with all shards.
    Whole,
    /// Answered with shards missing.
    Partial,
    /// Refused without having run.
    Refused,
    /// Failed after it may have run.
    Failed,
    /// Bad input.
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

/// What a call to the platform asked for.
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

/// How a call to the platform ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// Answered.
    Ok,
    /// Answered that another write came first.
    Conflict,
    /// Answered with a refusal or an error.
    Refused,
    /// No answer; it may have taken effect.
    Lost,
    /// Not sent.
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

/// Who makes a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claimant {
    /// Another VM, for this one.
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
