//! A leaf's reply to one part.

use crate::prelude::*;

/// Whole reply of a leaf, read from one snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Snapshot that the leaf says it read from.
    pub snapshot: SnapshotId,
    /// The leaf's JSON body, unchanged.
    pub body: Vec<u8>,
}
