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
        held: Vec<HeldSnapshots>,
    },
    /// It did not answer in time.
    Unresponsive,
}

/// Snapshots that a leaf holds of one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldSnapshots {
    /// Service that declares the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardName,
    /// Snapshots, ascending.
    pub snapshots: Vec<SnapshotId>,
}

impl HeldSnapshots {
    /// Returns whether these are the snapshots of a service's shard; two
    /// services may name theirs alike.
    pub fn is_for(&self, service: &str, shard: &str) -> bool {
        self.service == service && self.shard == shard
    }
}
