//! Reply of a leaf to one part.

use crate::prelude::*;

/// Complete reply of a leaf, read from one snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Snapshot that the leaf reports to have read from.
    pub snapshot: SnapshotId,
    /// JSON body of the leaf, unchanged.
    pub body: Vec<u8>,
}
