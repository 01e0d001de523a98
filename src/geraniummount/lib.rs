//! A query tier that fans queries out to the leaves that hold the shards of an index.
//!
//! The crate has three layers. Each layer imports only from the layers listed before it:
//!
//! 1. [`core`] makes all decisions. It contains the domain types and state machines that take an
//!    event and the current time and return typed actions. It uses no sockets, threads, clock,
//!    logging or randomness of its own.
//! 2. [`edge`] communicates with callers, operators, leaves, peers and the platform. [`platform`]
//!    translates the protocol of the users' platform for it.
//! 3. [`ops`] implements the subcommands and connects `edge` to `core`.
//!
//! A leaf is a process on a backend server that holds replicas of shards. The query tier runs on
//! VMs, which are peers of each other. The platform is run by the users: the key-value store and
//! the membership list of all processes, VMs and leaves, or, for the gateway, the store of routes
//! and registrations.

pub mod core;
pub mod edge;
pub mod ops;
pub mod platform;
pub mod prelude;
pub mod util;

#[allow(
    clippy::all,
    clippy::too_many_lines,
    missing_docs,
    unused_qualifications
)]
#[path = "../../schema/peer_capnp.rs"]
pub mod peer_capnp;

#[allow(clippy::all, missing_docs, unused_qualifications)]
#[path = "../../schema/gossip_capnp.rs"]
pub mod gossip_capnp;

#[allow(clippy::all, missing_docs, unused_qualifications)]
#[path = "../../schema/claims_capnp.rs"]
pub mod claims_capnp;
