//! Reply of a leaf to one part, the share of a request that goes to one shard.

use crate::prelude::*;

/// Complete reply of a leaf, read from one snapshot, a version of the index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Snapshot that the leaf reports to have read from.
    pub snapshot: SnapshotId,
    /// JSON body of the leaf, unchanged.
    pub body: Vec<u8>,
}
