//! One run of a leaf, as the registry of leaves shows it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::prelude::*;

/// One run of a leaf's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name of this run; the leaf answers to no other.
    pub id: String,
    /// When the process started, in milliseconds since the Unix epoch; tells
    /// two runs under one name apart.
    pub started_at_ms: Option<u64>,
    /// Service whose shard, or requests, it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub warm_up_left: Duration,
}
