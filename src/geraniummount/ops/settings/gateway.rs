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
use crate::core::placement::Start;
use crate::edge::gateway::Options;

/// Names of the sections that a settings file may have.
const SECTIONS: &[&str] = &["gateway", "platform", "bounds", "limits", "log"];

const DEFAULT_LINGER_MS: u64 = 2_300;
const DEFAULT_DRAIN_MS: u64 = 5_400;
const DEFAULT_LEAVING_MS: u64 = 3_000;
const DEFAULT_APPLY_MS: u64 = 3_000;

/// Settings of a gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
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
        ]);
        let name = section.name("name");
        let failure_domain = section.name("failure_domain");
        let first_start = section.choice("first_start", false, &["true", "false"]);
        let callers = section.listener("callers");
        let ready = section.listener("ready");
        let metrics = section.optional_target("metrics");
        let peer_listen = section.optional_target("peer_listen");
        let source = section.optional_ip("source");
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
        })
    }
}

/// Section `[bounds]`: time limits that the platform sets for every VM.
struct BoundsSection {
    /// Time for which a leaf still serves after it was registered as leaving.
    leaving: Duration,
    /// Time within which a new version of the routes has to be in force.
    apply: Duration,
}

impl BoundsSection {
    fn read(section: &mut Section<'_>) -> Option<BoundsSection> {
        section.check_keys(&["leaving_ms", "apply_ms"]);
        let leaving = section.millis("leaving_ms", DEFAULT_LEAVING_MS, 0..=600_000);
        let apply = section.millis("apply_ms", DEFAULT_APPLY_MS, 0..=600_000);
        Some(BoundsSection {
            leaving: leaving?,
            apply: apply?,
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
}

impl LimitsSection {
    fn read(section: &mut Section<'_>) -> Option<LimitsSection> {
        section.check_keys(&["max_reply_bytes", "linger_ms", "drain_ms"]);
        let max_reply_bytes = section.count(
            "max_reply_bytes",
            DEFAULT_MAX_REPLY_BYTES,
            1..=MAX_REPLY_BYTES,
        );
        let linger = section.millis("linger_ms", DEFAULT_LINGER_MS, 0..=600_000);
        let drain = section.millis("drain_ms", DEFAULT_DRAIN_MS, 0..=600_000);
        Some(LimitsSection {
            max_reply_bytes: max_reply_bytes?,
            linger: linger?,
            drain: drain?,
        })
    }
}
