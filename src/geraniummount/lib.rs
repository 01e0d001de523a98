//! Query tier in front of many shards.
//!
//! Three layers, with imports only downwards:
//!
//! 1. [`core`] decides. It holds the domain's types and plain state machines:
//!    an event and the time go in, typed actions come out. It has no sockets,
//!    threads, clock, randomness of its own, or logging.
//! 2. [`edge`] speaks to the outside: callers, operators, leaves, peers and
//!    the platform.
//!    [`platform`] translates the users' platform for it.
//! 3. [`ops`] is what each subcommand does; it wires edges to decisions.

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
