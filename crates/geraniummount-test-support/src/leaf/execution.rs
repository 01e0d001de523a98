//! What a leaf ran, for tests to read back.

use std::time::Instant;

/// One entry of a leaf's execution log, made when work starts.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Attempt that ran.
    pub attempt: u64,
    /// The caller's request.
    pub request: String,
    /// Shard it ran on.
    pub shard: String,
    /// Snapshot it was read from.
    pub snapshot: u64,
    /// Whether it came by `/search` and not by `/execute`.
    pub idempotent: bool,
    /// The caller's body.
    pub body: String,
    /// When it started.
    pub started: Instant,
    /// How and when it ended; `None` while it runs.
    pub end: Option<(Ending, Instant)>,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Ran to its end.
    Done,
    /// Was stopped by `DELETE /attempts/{id}`.
    Cancelled,
    /// Stopped when its deadline had passed.
    Expired,
}
