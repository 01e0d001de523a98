//! What a gateway is started with.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::placement::Start;
use crate::prelude::*;

/// What a gateway is started with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Name of this VM.
    pub name: VmName,
    /// Failure domain of this VM.
    pub failure_domain: DomainName,
    /// Whether the whole system starts for the first time.
    pub start: Start,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks for readiness.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// Time that a planned stop goes on taking connections.
    pub linger: Duration,
    /// Time after which a planned stop ends with requests unanswered.
    pub drain: Duration,
    /// Time that a leaf still serves after it was registered as leaving.
    pub leaving: Duration,
    /// Time in which a version of the routes has to be in force.
    pub apply: Duration,
}
