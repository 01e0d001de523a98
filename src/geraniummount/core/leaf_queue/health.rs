//! State that a leaf's health endpoint reports, with the snapshots (versions of the index) that the
//! leaf holds.

use crate::core::leaf::State;
use crate::prelude::*;

/// Result of a request to the health endpoint, whose state may lag or mislead.
#[derive(Clone, Debug)]
pub enum Health {
    /// The endpoint answered.
    Answered {
        /// State that the endpoint reported.
        state: State,
        /// Snapshots that the endpoint reported, by shard.
        held: Vec<HeldSnapshots>,
    },
    /// The endpoint did not answer in time.
    Unresponsive,
}

/// Snapshots of one shard that a leaf holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldSnapshots {
    /// Service that declares the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardName,
    /// Snapshots in ascending order.
    pub snapshots: Vec<SnapshotId>,
}

impl HeldSnapshots {
    /// Returns whether these are the snapshots of the given service's shard. Shards of two services
    /// may have the same name.
    pub fn is_for(&self, service: &str, shard: &str) -> bool {
        self.service == service && self.shard == shard
    }
}
