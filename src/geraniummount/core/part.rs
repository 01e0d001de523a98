//! Part of a request: the share that is sent to one shard.

use std::sync::Arc;
use std::time::Instant;

use crate::prelude::*;

/// Number of VMs that a part may pass through.
pub const MAX_HOPS: u8 = 3;

/// Part of a request, as one attempt (one try to run the part at one leaf) sends it.
#[derive(Clone, Debug)]
pub struct Part {
    /// Identifier of this attempt.
    pub attempt: AttemptId,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Service that declares the shard.
    pub service: ServiceName,
    /// Shard to run on.
    pub shard: ShardName,
    /// Replica that runs the part.
    pub leaf: LeafName,
    /// Snapshot (version of the index) to read from; `None` for a non-idempotent request.
    pub snapshot: Option<SnapshotId>,
    /// When the reply is no longer useful. The deadline is sent between processes as the remaining
    /// time, never as a clock reading.
    pub deadline: Instant,
    /// Whether running the part twice is harmless.
    pub idempotent: bool,
    /// Number of VMs that the part may still pass through.
    pub hops_left: u8,
    /// Set when the leaf's owner, the VM that holds its queue, does not answer. The VM that
    /// receives the part then serves it, if that VM may hold connections to the leaf.
    pub takeover: bool,
    /// JSON body of the caller's request.
    pub body: Arc<[u8]>,
}
