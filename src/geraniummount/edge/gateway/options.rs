//! Startup options of a gateway. The platform is what the users run around it: the store of the
//! routes and of the leaves' registrations, and the readiness probes.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::core::placement::Start;
use crate::prelude::*;

/// Startup options of a gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Name of this VM.
    pub name: VmName,
    /// Failure domain of this VM.
    pub failure_domain: DomainName,
    /// Whether the system as a whole is starting for the first time.
    pub start: Start,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the platform's readiness probes.
    pub ready: SocketAddr,
    /// Listening address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Listening address for the requests of other VMs; `None` if this VM neither delegates
    /// requests nor serves those of others.
    pub peer_listen: Option<SocketAddr>,
    /// Source address of the connections to leaves and to other VMs; the system chooses one if
    /// `None`.
    pub source: Option<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time for which new connections of callers are still accepted after a planned stop begins.
    pub linger: Duration,
    /// Time after which a planned stop ends even if requests are unanswered.
    pub drain: Duration,
    /// Maximum size of a leaf's response in bytes; a longer one counts as lost.
    pub max_reply_bytes: usize,
    /// Time for which a leaf still serves after it was registered as leaving.
    pub leaving: Duration,
    /// Time within which a new version of the routes has to be in force.
    pub apply: Duration,
}
