//! Record of the snapshots (versions of the index) that a leaf holds of one shard.

use crate::prelude::*;

/// Snapshots that a leaf holds of one shard, as last reported to the VM that owns the leaf, that
/// is, holds its queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
pub struct Holding {
    /// Service that declares the shard.
    pub service: ServiceName,
    /// Name of the shard within that service.
    pub shard: ShardName,
    /// Leaf that holds a replica of the shard.
    pub leaf: LeafName,
    /// Snapshots that the replica can serve, in ascending order.
    pub snapshots: Vec<SnapshotId>,
}
