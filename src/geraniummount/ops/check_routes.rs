//! `check-routes`: checks a gateway's configuration document before it is sent.

use std::io::Write;
use std::path::Path;

use error_stack::Report;
use serde_json::json;

use crate::core::config_check::{self, Candidate, Finding, Kind, Severity};
use crate::ops::exit::Exit;
use crate::ops::output::{self, Format};
use crate::platform::document;
use crate::prelude::*;

/// What to check, and against what.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// File with the document.
    pub file: &'a Path,
    /// File with the document in force, if it is known.
    pub in_force: Option<&'a Path>,
    /// Regions of the failure domains; lists of regions are not checked if there are none.
    pub regions: &'a [(DomainName, RegionName)],
}

/// Checks a document and writes the findings.
///
/// # Errors
///
/// Returns `Invalid` if a file cannot be read or has an error, `Warned` if there are warnings but no
/// error.
pub fn check(input: Input<'_>, format: Format, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let findings = find(input);
    match format {
        Format::Text => output::text(out, &describe(&findings))?,
        Format::Json => output::json(out, &to_json(&findings))?,
    }
    let worst = findings.iter().map(|finding| finding.kind.severity()).min();
    match worst {
        Some(Severity::Error) => Err(Report::new(Exit::Invalid)
            .attach("do: correct each error listed, then check again; do not send the document")),
        Some(Severity::Warning) => Err(Report::new(Exit::Warned)),
        Some(Severity::Difference) | None => Ok(()),
    }
}

fn find(input: Input<'_>) -> Vec<Finding> {
    let candidate = read(input.file);
    let in_force = input.in_force.map(read).transpose();
    match (candidate, in_force) {
        (Ok(candidate), Ok(old)) => {
            let old = old.map(|old| old.table);
            config_check::check(&candidate, old.as_ref(), input.regions)
        }
        (candidate, in_force) => [candidate.err(), in_force.err()]
            .into_iter()
            .flatten()
            .collect(),
    }
}

/// Reads a document; the error is the finding that says why it cannot be read.
fn read(path: &Path) -> Result<Candidate, Finding> {
    let unreadable = |why: String| {
        let object = format!("file {}", path.display());
        Finding::new(Kind::Unreadable, object, format!("cannot be read: {why}"))
    };
    let text = std::fs::read(path).map_err(|error| unreadable(error.to_string()))?;
    document::read_candidate(&text).map_err(|error| unreadable(error.to_string()))
}

fn describe(findings: &[Finding]) -> String {
    if findings.is_empty() {
        return "no finding\n".to_string();
    }
    let lines = findings.iter().map(|finding| {
        let (severity, kind) = (finding.kind.severity().as_str(), finding.kind.as_str());
        let (object, message) = (&finding.object, &finding.message);
        format!("{severity} {kind}: {object}: {message}\n")
    });
    lines.collect()
}

fn to_json(findings: &[Finding]) -> serde_json::Value {
    let entries = findings.iter().map(|finding| {
        json!({
            "severity": finding.kind.severity().as_str(),
            "kind": finding.kind.as_str(),
            "object": finding.object,
            "message": finding.message,
        })
    });
    json!({ "findings": entries.collect::<Vec<_>>() })
}
