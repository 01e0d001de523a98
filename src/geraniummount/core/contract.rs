//! What a leaf grants to the query tier.

use serde::{Deserialize, Serialize};

/// Limits that a leaf declares; all VMs together keep them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Requests that the leaf runs at once.
    pub slots: u16,
    /// Connections that the leaf accepts.
    pub connections: u16,
    /// Usual time to open a connection, in milliseconds.
    pub open_ms: u32,
}
