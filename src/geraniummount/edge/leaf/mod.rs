//! Sends parts to the leaves that this VM owns, with one task and a pool of HTTP connections for
//! each leaf.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! a leaf. This VM owns a leaf if it holds the leaf's queue: the parts of all VMs for that leaf
//! then go through this VM.
//!
//! The [`Pool`] passes a part over a bounded channel to the task of its leaf. The leaf's queue
//! decides when the task starts the part. The task then passes it with a connection to a worker
//! thread. The worker returns the completion to the task, which answers the submitter.

mod connection;
mod connections;
mod draining;
mod event;
mod exchange;
mod links;
mod pool;
mod shared;
mod task;
mod traffic;
mod transport;

pub use pool::Pool;
pub use shared::DrainingListener;

use crate::core::leaf::State;
use crate::prelude::*;

/// State of one leaf's task, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// Name of the leaf.
    pub leaf: LeafName,
    /// State of the leaf, whichever source reported it: the leaf, its health endpoint, the users'
    /// membership list or the configuration.
    pub state: State,
    /// Number of queued parts.
    pub queued: u32,
    /// Number of parts in flight at the leaf.
    pub busy: u16,
    /// Current maximum number of parts in flight at the leaf.
    pub slots: u16,
    /// Number of open connections from this VM to the leaf.
    pub connections: u16,
    /// Number of connections that carry no request.
    pub idle_connections: usize,
    /// Maximum number of connections from this VM to the leaf: its share of the connections that
    /// the leaf accepts from all VMs.
    pub connection_share: u16,
    /// Recent median service time at the leaf, in microseconds.
    pub median_us: u64,
    /// Recent 95th percentile of the service time at the leaf, in microseconds.
    pub high_us: u64,
}
