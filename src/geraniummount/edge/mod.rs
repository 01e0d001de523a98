//! Edges: callers, operators, leaves, peers and the platform.

pub mod dispatcher;
pub mod metrics;
