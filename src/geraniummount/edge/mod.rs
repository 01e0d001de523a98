//! Network interfaces of a VM to callers, operators, leaves (the servers that run the requests),
//! peers (the other VMs) and the users' platform.

pub mod boot_clock;
pub mod caller;
pub mod claims;
pub mod client;
pub mod dispatcher;
pub mod executor;
pub mod gateway;
pub mod gossip;
mod holdings_lookup;
mod http;
pub mod leaf;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod pending;
pub mod platform;
pub mod quarantine;
pub mod registry;
pub mod reply_to;
pub mod workers;
