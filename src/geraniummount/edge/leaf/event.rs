//! Messages to the task of a leaf.

use std::sync::mpsc::SyncSender;

use super::Dump;
use super::connections::Held;
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
    Ended(AttemptId, Completion, Option<Held>),
    /// The health endpoint answered or did not.
    Probed(Health, Option<Held>),
    /// A connection for a side job is closed.
    Released,
    /// Wants the task's state.
    Dump(SyncSender<Dump>),
    /// Keeps the task alive while its leaf's snapshots are asked for.
    Touch,
}
