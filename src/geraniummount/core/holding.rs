//! Which snapshots a leaf holds.

use crate::prelude::*;

/// Snapshots that a leaf holds of one shard, as its owner last heard.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
pub struct Holding {
    /// Service whose layout has the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardName,
    /// Leaf that holds it.
    pub leaf: LeafName,
    /// Snapshots held, ascending.
    pub snapshots: Vec<SnapshotId>,
}
