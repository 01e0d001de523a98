//! What the health endpoint of a leaf says.

use crate::core::leaf::State;
use crate::prelude::*;

/// Answer of the health endpoint, which may lag or mislead.
#[derive(Clone, Debug)]
pub enum Health {
    /// It answered.
    Answered {
        /// State that it told.
        state: State,
        /// Snapshots that it told, by shard.
        held: Vec<Held>,
    },
    /// It did not answer in time.
    Silent,
}

/// Snapshots that a leaf holds of one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// The shard.
    pub shard: ShardName,
    /// Snapshots, ascending.
    pub snapshots: Vec<SnapshotId>,
}
