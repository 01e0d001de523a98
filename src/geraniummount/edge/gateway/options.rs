//! Startup options of a gateway. The platform is what the users run around it: the store of the
//! routes and of the leaves' registrations, and the readiness probes.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::core::placement::{Policy, Start};
use crate::core::tolerance::Tolerance;
use crate::prelude::*;

/// Startup options of a gateway.
#[derive(Clone, Debug, PartialEq)]
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
    /// Regions of the failure domains, sorted by domain; empty if they are not known.
    pub regions: Vec<(DomainName, RegionName)>,
    /// Time after which a key that was withdrawn must not be used any more; `None` if keys need no
    /// confirmation.
    pub revoke: Option<Duration>,
    /// Time within which requests must not reach an evacuated failure domain any more.
    pub evacuate: Duration,
    /// Span over which the requests of a tenant are compared with its quota.
    pub quota_window: Duration,
    /// By how much the quotas of tenants may be exceeded.
    pub quota_tolerance: Tolerance,
    /// By how much the limits on cold leaves may be exceeded.
    pub cold_tolerance: Tolerance,
    /// By what leaves are chosen.
    pub placement: Policy,
    /// Processor share of this VM, by which VMs pass queries to stronger ones.
    pub millicores: Millicores,
    /// Memory of this VM in bytes; `None` if it is not known.
    pub memory_bytes: Option<u64>,
    /// Number of file descriptors of this VM; `None` if it is not known.
    pub max_descriptors: Option<u64>,
}

impl Options {
    /// Span over which the requests of a tenant are compared with its quota, by default.
    pub const DEFAULT_QUOTA_WINDOW: Duration = Duration::from_secs(5);

    /// By how much the quotas of tenants may be exceeded, by default.
    pub const DEFAULT_QUOTA_TOLERANCE: Tolerance = Tolerance {
        share: 0.1,
        requests: 20.0,
    };

    /// By how much the limits on cold leaves may be exceeded, by default.
    pub const DEFAULT_COLD_TOLERANCE: Tolerance = Tolerance {
        share: 0.5,
        requests: 5.0,
    };

    /// Time within which requests must not reach an evacuated failure domain any more, by default.
    pub const DEFAULT_EVACUATE: Duration = Duration::from_secs(5);
}
