//! Edges: callers, operators, leaves, peers and the platform.

pub mod client;
pub mod dispatcher;
pub mod leaf;
pub mod metrics;
pub mod operator;
pub mod pending;
pub mod workers;
