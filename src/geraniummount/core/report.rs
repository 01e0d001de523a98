//! What an owner tells about its leaf with every outcome.

use std::time::Duration;

use crate::core::leaf;
use crate::prelude::*;

/// State of a leaf as its owner saw it when it sent an outcome.
///
/// Entry VMs rank replicas by these reports. They come from what answers
/// showed, not from the leaf's health endpoint, which may lag or mislead.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// VM that holds the leaf's queue.
    pub owner: VmName,
    /// State of the leaf.
    pub state: leaf::State,
    /// Snapshots that the leaf holds for the part's shard, ascending; empty
    /// when not known.
    pub held: Vec<SnapshotId>,
    /// Parts that wait in the owner's queue.
    pub queued: u32,
    /// Parts that the leaf is running.
    pub busy: u16,
    /// Parts that the owner lets the leaf run at once now.
    pub slots: u16,
    /// Time this part waited in the queue.
    pub queue_time: Duration,
    /// Time this part spent at the leaf; zero when it was not sent.
    pub service_time: Duration,
    /// Recent median time at the leaf.
    pub median: Duration,
    /// Recent 95th percentile of the time at the leaf.
    pub p95: Duration,
}
