//! The share of a request that goes to one shard.

use std::sync::Arc;
use std::time::Instant;

use crate::prelude::*;

/// One attempt to run a request on one shard at one leaf.
#[derive(Clone, Debug)]
pub struct Part {
    /// This attempt.
    pub attempt: AttemptId,
    /// The caller's request.
    pub request: RequestId,
    /// Service whose layout has the shard.
    pub service: ServiceName,
    /// Shard to run on.
    pub shard: ShardName,
    /// Replica that runs it.
    pub leaf: LeafName,
    /// Snapshot to read from; a non-idempotent request names none.
    pub snapshot: Option<SnapshotId>,
    /// When the answer is of no more use. Travels between processes as the
    /// time that remains, never as a clock reading.
    pub deadline: Instant,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// VMs that it may still pass through.
    pub hops_left: u8,
    /// Set when the leaf's owner does not answer: whoever gets it serves it,
    /// if it may hold connections to the leaf.
    pub takeover: bool,
    /// The caller's JSON body.
    pub body: Arc<[u8]>,
}
