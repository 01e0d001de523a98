//! Messages to the task of a leaf.

use std::sync::mpsc::SyncSender;

use super::Dump;
use super::connections::PooledConnection;
use crate::core::leaf_queue::{Completion, Health};
use crate::edge::pending::Pending;
use crate::prelude::*;

/// What a task is told.
#[derive(Debug)]
pub(super) enum Event {
    /// A new part.
    Submit(Part, Pending),
    /// An attempt is no longer wanted.
    Cancel(AttemptId),
    /// A worker ended; the connection comes back if it can be used again.
    Completed(AttemptId, Completion, Option<PooledConnection>),
    /// The health endpoint answered or did not.
    Probed(Health, Option<PooledConnection>),
    /// A connection for a side job is closed.
    ConnectionReleased,
    /// Wants the task's state.
    Dump(SyncSender<Dump>),
    /// Keeps the task alive while its leaf's snapshots are asked for.
    Touch,
}
