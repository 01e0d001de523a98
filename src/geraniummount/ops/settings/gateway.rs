//! Settings of a gateway, read from an INI file.
//!
//! The platform is the store of routes and registrations that the users run.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use error_stack::Report;

use super::document::Document;
use super::fault::Faults;
use super::limits::{DEFAULT_MAX_REPLY_BYTES, MAX_REPLY_BYTES};
use super::section::Section;
use super::{Log, load_text, reject_unknown_sections};
use crate::core::placement::{Policy, Start};
use crate::core::tolerance::Tolerance;
use crate::edge::gateway::Options;
use crate::prelude::*;

/// Names of the sections that a settings file may have.
const SECTIONS: &[&str] = &["gateway", "platform", "bounds", "limits", "log"];

const DEFAULT_LINGER_MS: u64 = 2_300;
const DEFAULT_DRAIN_MS: u64 = 5_400;
const DEFAULT_LEAVING_MS: u64 = 3_000;
const DEFAULT_APPLY_MS: u64 = 3_000;
const DEFAULT_EVACUATE_MS: u64 = 5_000;

/// Maximum processor share of a VM in cores.
const MAX_CORES: f64 = 4096.0;

const MILLICORES_PER_CORE: Millicores = 1_000;

/// Number of bytes of a megabyte.
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Options with which the gateway starts.
    pub options: Options,
    /// Settings of the log.
    pub log: Log,
}

impl Gateway {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn load(path: &Path) -> Result<Gateway, Report<Faults>> {
        let (file, text) = load_text(path)?;
        Ok(Gateway::parse(&file, &text)?)
    }

    /// Parses and checks the text of a settings file; `file` is its name in faults.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(file: &str, text: &str) -> Result<Gateway, Faults> {
        let mut faults = Faults::new(file);
        let document = Document::parse(text, &mut faults);
        reject_unknown_sections(&document, SECTIONS, &mut faults);
        let settings = read(&document, &mut faults);
        faults.sort();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

fn read(document: &Document, faults: &mut Faults) -> Option<Gateway> {
    let gateway = GatewaySection::read(&mut Section::new(document, "gateway", faults));
    let store = read_store(&mut Section::new(document, "platform", faults));
    let bounds = BoundsSection::read(&mut Section::new(document, "bounds", faults));
    let limits = LimitsSection::read(&mut Section::new(document, "limits", faults));
    let log = Log::read(&mut Section::new(document, "log", faults));
    let (gateway, bounds, limits) = (gateway?, bounds?, limits?);
    Some(Gateway {
        options: Options {
            name: gateway.name,
            failure_domain: gateway.failure_domain,
            start: gateway.start,
            callers: gateway.callers,
            ready: gateway.ready,
            metrics: gateway.metrics,
            peer_listen: gateway.peer_listen,
            source: gateway.source,
            store: store?,
            linger: limits.linger,
            drain: limits.drain,
            max_reply_bytes: limits.max_reply_bytes,
            leaving: bounds.leaving,
            apply: bounds.apply,
            regions: gateway.regions,
            millicores: gateway.millicores,
            revoke: bounds.revoke,
            evacuate: bounds.evacuate,
            quota_window: bounds.quota_window,
            quota_tolerance: bounds.quota_tolerance,
            cold_tolerance: bounds.cold_tolerance,
            placement: gateway.placement,
            memory_bytes: limits.memory_bytes,
            max_descriptors: limits.max_descriptors,
        },
        log: log?,
    })
}

fn read_store(section: &mut Section<'_>) -> Option<SocketAddr> {
    section.check_keys(&["address"]);
    section.target("address")
}

/// Section `[gateway]`: identity of this process and its listeners.
struct GatewaySection {
    name: String,
    failure_domain: String,
    /// Whether the system as a whole is starting for the first time.
    start: Start,
    /// Listening address for callers.
    callers: SocketAddr,
    /// Listening address for the platform's readiness probes.
    ready: SocketAddr,
    /// Listening address for metrics, if they are served.
    metrics: Option<SocketAddr>,
    /// Listening address for other VMs, if this VM delegates requests and serves those of others.
    peer_listen: Option<SocketAddr>,
    /// Source address of the connections to leaves and to other VMs, if one is given.
    source: Option<IpAddr>,
    /// Regions of the failure domains, sorted by domain.
    regions: Vec<(DomainName, RegionName)>,
    /// By what leaves are chosen.
    placement: Policy,
    /// Processor share.
    millicores: Millicores,
}

impl GatewaySection {
    fn read(section: &mut Section<'_>) -> Option<GatewaySection> {
        section.check_keys(&[
            "name",
            "failure_domain",
            "first_start",
            "callers",
            "ready",
            "metrics",
            "peer_listen",
            "source",
            "regions",
            "placement",
            "processor_share",
        ]);
        let name = section.name("name");
        let failure_domain = section.name("failure_domain");
        let first_start = section.choice("first_start", false, &["true", "false"]);
        let callers = section.listener("callers");
        let ready = section.listener("ready");
        let metrics = section.optional_target("metrics");
        let peer_listen = section.optional_target("peer_listen");
        let source = section.optional_ip("source");
        let regions = section.pairs("regions");
        let placement = section.choice("placement", Policy::Latency, &["latency", "cost"]);
        let cores = section.decimal("processor_share", 0.0, 0.0..=MAX_CORES);
        Some(GatewaySection {
            name: name?,
            failure_domain: failure_domain?,
            start: match first_start? {
                true => Start::First,
                false => Start::Restart,
            },
            callers: callers?,
            ready: ready?,
            metrics: metrics?,
            peer_listen: peer_listen?,
            source: source?,
            regions: regions?,
            placement: placement?,
            millicores: (cores? * f64::from(MILLICORES_PER_CORE)).round() as Millicores,
        })
    }
}

/// Section `[bounds]`: time limits that the platform sets for every VM.
struct BoundsSection {
    /// Time for which a leaf still serves after it was registered as leaving.
    leaving: Duration,
    /// Time within which a new version of the routes has to be in force.
    apply: Duration,
    /// Time after which a withdrawn key must not be used any more, if keys need confirmation.
    revoke: Option<Duration>,
    /// Time within which requests must not reach an evacuated failure domain any more.
    evacuate: Duration,
    /// Span over which the requests of a tenant are compared with its quota.
    quota_window: Duration,
    /// By how much the quotas of tenants may be exceeded.
    quota_tolerance: Tolerance,
    /// By how much the limits on cold leaves may be exceeded.
    cold_tolerance: Tolerance,
}

/// Names of the keys of section `[bounds]`.
const BOUNDS_KEYS: &[&str] = &[
    "leaving_ms",
    "apply_ms",
    "revoke_ms",
    "evacuate_ms",
    "quota_window_s",
    "quota_over",
    "quota_slack",
    "cold_over",
    "cold_slack",
];

impl BoundsSection {
    fn read(section: &mut Section<'_>) -> Option<BoundsSection> {
        section.check_keys(BOUNDS_KEYS);
        let leaving = section.millis("leaving_ms", DEFAULT_LEAVING_MS, 0..=600_000);
        let apply = section.millis("apply_ms", DEFAULT_APPLY_MS, 0..=600_000);
        let revoke = section.optional_number("revoke_ms", 500..=600_000);
        let evacuate = section.millis("evacuate_ms", DEFAULT_EVACUATE_MS, 0..=600_000);
        let default_window = Options::DEFAULT_QUOTA_WINDOW.as_secs_f64();
        let quota_window = section.decimal("quota_window_s", default_window, 0.1..=600.0);
        let quota_tolerance = Options::DEFAULT_QUOTA_TOLERANCE;
        let quota_over = section.decimal("quota_over", quota_tolerance.share, 0.0..=100.0);
        let quota_slack = section.decimal("quota_slack", quota_tolerance.requests, 0.0..=1e9);
        let cold_tolerance = Options::DEFAULT_COLD_TOLERANCE;
        let cold_over = section.decimal("cold_over", 1.0 + cold_tolerance.share, 1.0..=100.0);
        let cold_slack = section.decimal("cold_slack", cold_tolerance.requests, 0.0..=1e9);
        Some(BoundsSection {
            leaving: leaving?,
            apply: apply?,
            revoke: revoke?.map(Duration::from_millis),
            evacuate: evacuate?,
            quota_window: Duration::from_secs_f64(quota_window?),
            quota_tolerance: Tolerance {
                share: quota_over?,
                requests: quota_slack?,
            },
            cold_tolerance: Tolerance {
                share: cold_over? - 1.0,
                requests: cold_slack?,
            },
        })
    }
}

/// Section `[limits]`: limits on replies and a planned stop.
struct LimitsSection {
    /// Maximum size of a leaf's reply in bytes.
    max_reply_bytes: usize,
    /// Time for which new connections are still accepted after a planned stop begins.
    linger: Duration,
    /// Time after which a planned stop ends even if requests are unanswered.
    drain: Duration,
    /// Memory of the VM in bytes, if it is limited.
    memory_bytes: Option<u64>,
    /// Number of file descriptors of the VM, if it is limited.
    max_descriptors: Option<u64>,
}

impl LimitsSection {
    fn read(section: &mut Section<'_>) -> Option<LimitsSection> {
        section.check_keys(&[
            "max_reply_bytes",
            "linger_ms",
            "drain_ms",
            "memory_mb",
            "max_fds",
        ]);
        let max_reply_bytes = section.count(
            "max_reply_bytes",
            DEFAULT_MAX_REPLY_BYTES,
            1..=MAX_REPLY_BYTES,
        );
        let linger = section.millis("linger_ms", DEFAULT_LINGER_MS, 0..=600_000);
        let drain = section.millis("drain_ms", DEFAULT_DRAIN_MS, 0..=600_000);
        let memory_mb = section.optional_number("memory_mb", 16..=1_000_000);
        let max_descriptors = section.optional_number("max_fds", 256..=10_000_000);
        Some(LimitsSection {
            memory_bytes: memory_mb?.map(|size| size * BYTES_PER_MB),
            max_descriptors: max_descriptors?,
            max_reply_bytes: max_reply_bytes?,
            linger: linger?,
            drain: drain?,
        })
    }
}
