//! Edges: callers, operators, leaves, peers and the platform.

pub mod dispatcher;
pub mod leaf;
pub mod metrics;
pub mod pending;
pub mod workers;
