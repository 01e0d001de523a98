//! Execution log of a stand-in leaf, which tests inspect.

use std::time::Instant;

/// An entry of a leaf's execution log, added when a request starts to run.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id of the attempt, which is one try of a VM to run a request at a leaf.
    pub attempt: u64,
    /// Id of the caller's request.
    pub request: String,
    /// Shard that was searched, as `service/shard`.
    pub shard: String,
    /// Number of the snapshot (version of the index) that was searched.
    pub snapshot: u64,
    /// Whether the request was sent to `/search`; otherwise it was sent to `/execute`.
    pub idempotent: bool,
    /// Body of the request.
    pub body: String,
    /// When the execution started.
    pub started: Instant,
    /// How and when the execution ended; `None` while it runs.
    pub end: Option<(Ending, Instant)>,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Ran to completion.
    Done,
    /// Cancelled by `DELETE /attempts/{id}`.
    Cancelled,
    /// Stopped at its deadline.
    Expired,
}
