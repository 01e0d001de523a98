//! A running leaf process, as registered in the platform's store, the key-value store that the
//! users run.

use std::net::SocketAddr;
use std::time::Duration;

use crate::prelude::*;

/// One run of a leaf process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name of this run. The leaf rejects requests that name another run.
    pub id: String,
    /// Start of the process in milliseconds since the Unix epoch; `None` if it is not registered.
    /// The start distinguishes two runs with the same name.
    pub started_at_ms: Option<u64>,
    /// Number of heartbeats of this run; `None` if it is not registered.
    pub heartbeat: Option<u64>,
    /// Service that the leaf belongs to.
    pub service: ServiceName,
    /// Address that the leaf listens on.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub domain: DomainName,
    /// Number of requests that the leaf processes concurrently.
    pub slots: u32,
    /// Whether the leaf is draining and accepts no new requests.
    pub is_leaving: bool,
    /// Time left until the leaf has warmed up; it is slower until then.
    pub warm_up_left: Duration,
}
