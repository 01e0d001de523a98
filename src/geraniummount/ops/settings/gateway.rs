//! Settings of a gateway.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::Report;

use super::document::Document;
use super::fault::Faults;
use super::section::Section;
use super::{Log, load_text, refuse_unknown_sections};
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
    /// What it is started with.
    pub options: Options,
    /// What is logged.
    pub log: Log,
}

impl Gateway {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the file.
    pub fn load(path: &Path) -> Result<Gateway, Report<Faults>> {
        let (file, text) = load_text(path)?;
        Ok(Gateway::parse(&file, &text)?)
    }

    /// Checks the text of a settings file; `file` is its name in faults.
    ///
    /// # Errors
    ///
    /// All faults of the file.
    pub fn parse(file: &str, text: &str) -> Result<Gateway, Faults> {
        let mut faults = Faults::new(file);
        let document = Document::parse(text, &mut faults);
        refuse_unknown_sections(&document, SECTIONS, &mut faults);
        let settings = read(&document, &mut faults);
        faults.sort();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

fn read(document: &Document, faults: &mut Faults) -> Option<Gateway> {
    let own = Own::read(&mut Section::new(document, "gateway", faults));
    let store = read_store(&mut Section::new(document, "platform", faults));
    let bounds = Bounds::read(&mut Section::new(document, "bounds", faults));
    let limits = Stop::read(&mut Section::new(document, "limits", faults));
    let log = Log::read(&mut Section::new(document, "log", faults));
    let (own, bounds, limits) = (own?, bounds?, limits?);
    Some(Gateway {
        options: Options {
            name: own.name,
            failure_domain: own.failure_domain,
            start: own.start,
            callers: own.callers,
            ready: own.ready,
            metrics: own.metrics,
            store: store?,
            linger: limits.linger,
            drain: limits.drain,
            leaving: bounds.leaving,
            apply: bounds.apply,
        },
        log: log?,
    })
}

fn read_store(section: &mut Section<'_>) -> Option<SocketAddr> {
    section.allow(&["address"]);
    section.target("address")
}

/// Section `[gateway]`: who this process is and where it listens.
struct Own {
    name: String,
    failure_domain: String,
    start: Start,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: Option<SocketAddr>,
}

impl Own {
    fn read(section: &mut Section<'_>) -> Option<Own> {
        section.allow(&[
            "name",
            "failure_domain",
            "first_start",
            "callers",
            "ready",
            "metrics",
        ]);
        let name = section.name("name");
        let failure_domain = section.name("failure_domain");
        let first_start = section.word("first_start", false, &["true", "false"]);
        let callers = section.listener("callers");
        let ready = section.listener("ready");
        let metrics = section.optional_target("metrics");
        Some(Own {
            name: name?,
            failure_domain: failure_domain?,
            start: match first_start? {
                true => Start::First,
                false => Start::Restart,
            },
            callers: callers?,
            ready: ready?,
            metrics: metrics?,
        })
    }
}

/// Section `[bounds]`: what the platform asks of every VM.
struct Bounds {
    leaving: Duration,
    apply: Duration,
}

impl Bounds {
    fn read(section: &mut Section<'_>) -> Option<Bounds> {
        section.allow(&["leaving_ms", "apply_ms"]);
        let leaving = section.millis("leaving_ms", DEFAULT_LEAVING_MS, 0..=600_000);
        let apply = section.millis("apply_ms", DEFAULT_APPLY_MS, 0..=600_000);
        Some(Bounds {
            leaving: leaving?,
            apply: apply?,
        })
    }
}

/// Section `[limits]`: the steps of a planned stop.
struct Stop {
    linger: Duration,
    drain: Duration,
}

impl Stop {
    fn read(section: &mut Section<'_>) -> Option<Stop> {
        section.allow(&["linger_ms", "drain_ms"]);
        let linger = section.millis("linger_ms", DEFAULT_LINGER_MS, 0..=600_000);
        let drain = section.millis("drain_ms", DEFAULT_DRAIN_MS, 0..=600_000);
        Some(Stop {
            linger: linger?,
            drain: drain?,
        })
    }
}
