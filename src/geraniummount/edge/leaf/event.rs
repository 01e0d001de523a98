//! Messages to the task of a leaf that this VM owns, which means that it holds the leaf's queue.

use std::sync::mpsc::SyncSender;

use super::Dump;
use super::connections::PooledConnection;
use crate::core::leaf_queue::{Completion, Health};
use crate::edge::pending::Pending;
use crate::prelude::*;

/// A message to the task of a leaf.
#[derive(Debug)]
pub(super) enum Event {
    /// A part, which is the share of a request that goes to one shard, was submitted.
    Submit(Part, Pending),
    /// An attempt, which is one try to run a part, is cancelled.
    Cancel(AttemptId),
    /// A worker completed an attempt. The connection is included if it can be reused.
    Completed(AttemptId, Completion, Option<PooledConnection>),
    /// A request to the health endpoint completed. The connection is included if the endpoint
    /// answered.
    Probed(Health, Option<PooledConnection>),
    /// The connection that sent a cancellation was closed. It no longer counts towards this VM's
    /// share of the leaf's connections.
    ConnectionReleased,
    /// Asks the leaf's health endpoint at once, to check this VM's links to the leaves.
    Check,
    /// Requests the task's state.
    Dump(SyncSender<Dump>),
    /// Keeps the task alive, because another part of the process has just asked which snapshots
    /// (versions of the index) the leaf holds.
    Touch,
}
