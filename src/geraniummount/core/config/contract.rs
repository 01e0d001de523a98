//! Limits within which the query tier may use a leaf.

use serde::{Deserialize, Serialize};

/// Limits that are declared for a leaf. They apply to all VMs of the query tier, which send
/// requests to the leaf, together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Number of requests that the leaf runs concurrently.
    pub slots: u16,
    /// Number of connections that the leaf accepts.
    pub connections: u16,
    /// Typical time to open a connection, in milliseconds.
    pub open_ms: u32,
}
