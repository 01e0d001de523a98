//! Leaves that this VM owns: one task a leaf, HTTP connections to it.
//!
//! A part goes from the [`Pool`] over a bounded channel to its leaf's task,
//! which decides by the leaf's queue when it starts, and from there on a
//! connection to a worker thread. The ending comes back to the task, which
//! answers.

mod connection;
mod connections;
mod draining;
mod event;
mod exchange;
mod pool;
mod task;
mod transport;

pub use pool::{DrainingListener, Pool};

use crate::core::leaf::State;
use crate::prelude::*;

/// State of one leaf task, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// The leaf.
    pub leaf: LeafName,
    /// Its state, whoever told it.
    pub state: State,
    /// Parts that wait.
    pub queued: u32,
    /// Parts at the leaf.
    pub busy: u16,
    /// Parts that may be at the leaf at once now.
    pub slots: u16,
    /// Connections of this VM to the leaf.
    pub connections: u16,
    /// Those that carry no request.
    pub idle_connections: usize,
    /// Connections that this VM may hold.
    pub connection_share: u16,
    /// Recent median time at the leaf in microseconds.
    pub median_us: u64,
    /// Recent 95th percentile of the time at the leaf in microseconds.
    pub high_us: u64,
}
