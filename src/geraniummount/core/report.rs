//! Report on a leaf that its owner, the VM that holds its queue, sends with the outcome of every
//! attempt, one try to run a part (the share of a request for one shard) at the leaf.

use std::time::Duration;

use crate::core::leaf;
use crate::prelude::*;

/// State of a leaf as its owner saw it when it sent an outcome.
///
/// Entry VMs, which take the requests from callers, rank replicas by these reports. The reports are
/// derived from the leaf's replies rather than from its health endpoint, which may lag or mislead.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// VM that holds the leaf's queue.
    pub owner: VmName,
    /// State of the leaf.
    pub state: leaf::State,
    /// Snapshots (versions of the index) of the part's shard that the leaf holds, in ascending
    /// order; empty if unknown.
    pub held: Vec<SnapshotId>,
    /// Number of parts that wait in the owner's queue.
    pub queued: u32,
    /// Number of parts that the leaf is running.
    pub busy: u16,
    /// Number of parts that the owner currently lets the leaf run at the same time.
    pub slots: u16,
    /// Time that this part waited in the queue.
    pub queue_time: Duration,
    /// Time that this part spent at the leaf; zero if it was not sent.
    pub service_time: Duration,
    /// Recent median of the time at the leaf.
    pub median: Duration,
    /// Recent 95th percentile of the time at the leaf.
    pub p95: Duration,
}
