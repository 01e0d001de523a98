//! Makes and serves calls between VMs with capnp-rpc over TCP.
//!
//! A peer is another VM. A part is the share of a request that goes to one shard. A claim records
//! that an idempotency key was taken.
//!
//! A few client threads make the calls to all peers, with one connection per
//! peer. A few server threads serve the connections of peers. A forwarded part
//! carries the time that remains until its deadline, less the one-way delay to
//! the peer. If the calling VM disconnects or drops a call, the part that it
//! sent is cancelled.

mod changes;
mod claim;
mod client;
mod connection;
mod dispatch;
mod in_flight;
mod link;
mod lost_peers;
mod server;
mod service;
mod wire;
mod write_buffer;

pub use changes::Changes;
pub use claim::{ClaimReply, ClaimRequest};
pub use client::Client;
pub use link::Dump;
pub use server::Server;

use crate::edge::claims::Claims;
use crate::prelude::*;

/// Handlers for those calls of peers that do not send parts. `changes` and `status` have to answer
/// from memory without blocking, because other calls on the same thread wait for them.
pub struct Hooks {
    /// Returns the configuration changes accepted after a revision, which is a position in the log
    /// of all accepted changes.
    pub changes: Box<dyn Fn(Revision) -> Changes + Send + Sync>,
    /// Returns the state of this VM and what it knows about other VMs, as JSON.
    pub status: Box<dyn Fn() -> Vec<u8> + Send + Sync>,
    /// Claims and releases idempotency keys on behalf of peers.
    pub claims: Claims,
}
