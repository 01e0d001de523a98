//! Calls between VMs: capnp-rpc over TCP.
//!
//! A few threads carry the calls to all peers, one connection a peer, and a
//! few serve the connections of others. A part that is forwarded takes the
//! time that remains with it, less its way. When a caller is gone, or drops a
//! call, the part that it sent is cancelled.

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

/// What peers ask besides parts. The control state answers from memory,
/// without waiting, as other calls wait behind it.
pub struct Hooks {
    /// Accepted changes after a revision.
    pub changes: Box<dyn Fn(Revision) -> Changes + Send + Sync>,
    /// State of this VM and what it knows of others, as JSON.
    pub status: Box<dyn Fn() -> Vec<u8> + Send + Sync>,
    /// Claims of idempotency keys.
    pub claims: Claims,
}
