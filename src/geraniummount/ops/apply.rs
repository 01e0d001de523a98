//! `apply`: creates or updates the resources in a file on the server, which is a VM.
//!
//! The file holds one resource, such as `{"leaf": {...}}`, or a list of them.
//! All resources are parsed before the first one is sent. Leaves are sent before
//! the services that refer to them, and services before those that include them.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use serde_json::Value;

use crate::core::config::resource::{Kind, Resource};
use crate::ops::exit::Exit;
use crate::ops::operator_client::OperatorClient;
use crate::ops::output::{self, Format};
use crate::prelude::*;
use crate::util::table::Table;

/// Options of `apply`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the operators' listener.
    pub server: SocketAddr,
    /// File with the resources.
    pub file: PathBuf,
    /// Generation that the resource must currently have on the server, or 0 if it must not exist
    /// there. A generation is the revision (position in the log of changes) at which a resource was
    /// last changed. Allowed only if the file has exactly one resource.
    pub if_generation: Option<Generation>,
    /// Output format.
    pub format: Format,
}

/// Result of applying one resource.
#[derive(Clone, Debug, serde::Serialize)]
struct Outcome {
    kind: Kind,
    name: String,
    /// Generation of the resource after the change; `None` unless the server confirmed it.
    generation: Option<Generation>,
    result: &'static str,
}

/// Applies the resources of a file and writes the result of each.
pub fn apply(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let resources = sort_by_dependency(read(&options.file)?);
    if options.if_generation.is_some() && resources.len() != 1 {
        return Err(Report::new(Exit::Usage)
            .attach(format!(
                "{}: has {} resources, but --if-generation needs exactly one",
                options.file.display(),
                resources.len()
            ))
            .attach("do: put the resource into a separate file"));
    }
    let client = OperatorClient::new(options.server);
    let mut outcomes = Vec::new();
    let mut failure: Option<Report<Exit>> = None;
    for resource in &resources {
        let is_stopped = failure.as_ref().is_some_and(is_fatal);
        let result = if is_stopped {
            None
        } else {
            Some(put(&client, resource, options.if_generation))
        };
        outcomes.push(outcome(resource, result.as_ref()));
        if let (Some(Err(report)), None) = (result, &failure) {
            failure = Some(report);
        }
    }
    write(&outcomes, options.format, out)?;
    failure.map_or(Ok(()), Err)
}

/// Reads all resources of a file; the error lists every invalid one.
fn read(path: &Path) -> Result<Vec<Resource>, Report<Exit>> {
    let text = std::fs::read_to_string(path)
        .change_context(Exit::Invalid)
        .attach_with(|| format!("{}: can't be read", path.display()))
        .attach("do: pass the path of a readable JSON file with -f")?;
    let document: Value = serde_json::from_str(&text)
        .change_context(Exit::Invalid)
        .attach_with(|| format!("{}: not valid JSON", path.display()))
        .attach("do: write one resource, {\"leaf\": {...}}, or a list of them")?;
    let items = match document {
        Value::Array(items) => items,
        item => vec![item],
    };
    let mut resources = Vec::new();
    let mut faults = Vec::new();
    for (index, item) in items.into_iter().enumerate() {
        match serde_json::from_value::<Resource>(item) {
            Ok(resource) => resources.push(resource),
            Err(error) => faults.push(format!("{}: item {index}: {error}", path.display())),
        }
    }
    if faults.is_empty() {
        return Ok(resources);
    }
    let report = faults
        .into_iter()
        .fold(Report::new(Exit::Invalid), |report, fault| {
            report.attach(fault)
        });
    Err(report.attach("do: fix each item listed above; nothing was applied"))
}

/// Sorts resources so that each one follows those that it refers to.
fn sort_by_dependency(resources: Vec<Resource>) -> Vec<Resource> {
    let (mut ordered, mut pending): (Vec<Resource>, Vec<Resource>) = resources
        .into_iter()
        .partition(|resource| resource.kind() == Kind::Leaf);
    while !pending.is_empty() {
        let names: Vec<String> = pending.iter().map(|r| r.name().to_string()).collect();
        let (blocked, ready): (Vec<Resource>, Vec<Resource>) = pending
            .into_iter()
            .partition(|resource| includes_any(resource, &names));
        if ready.is_empty() {
            // The services include each other in a cycle; the server reports this fault.
            ordered.extend(blocked);
            break;
        }
        ordered.extend(ready);
        pending = blocked;
    }
    ordered
}

fn includes_any(resource: &Resource, names: &[String]) -> bool {
    match resource {
        Resource::Leaf(_) => false,
        Resource::Service(service) => service.includes.iter().any(|name| names.contains(name)),
    }
}

fn put(
    client: &OperatorClient,
    resource: &Resource,
    generation: Option<Generation>,
) -> Result<Value, Report<Exit>> {
    let path = format!("/v1/resources/{}/{}", resource.kind(), resource.name());
    let spec = match resource {
        Resource::Leaf(leaf) => serde_json::to_vec(leaf),
        Resource::Service(service) => serde_json::to_vec(service),
    };
    client.change("PUT", &path, generation, spec.change_context(Exit::Other)?)
}

/// Returns whether no further resource is tried after a failure, because the failure does not
/// concern just this resource or the outcome of the change is unknown.
fn is_fatal(report: &Report<Exit>) -> bool {
    match report.current_context() {
        Exit::Invalid | Exit::Conflict | Exit::NotFound | Exit::Warned => false,
        Exit::Other
        | Exit::Usage
        | Exit::Unreachable
        | Exit::Undecided
        | Exit::NotRun
        | Exit::MayHaveRun
        | Exit::Ran => true,
    }
}

fn outcome(resource: &Resource, result: Option<&Result<Value, Report<Exit>>>) -> Outcome {
    let (generation, result) = match result {
        Some(Ok(answer)) => (answer["generation"].as_u64(), "applied"),
        Some(Err(report)) => (None, result_label(*report.current_context())),
        None => (None, "not tried"),
    };
    Outcome {
        kind: resource.kind(),
        name: resource.name().to_string(),
        generation,
        result,
    }
}

/// Returns what the column RESULT shows for a failed resource. A refused change was rejected by the
/// server and did not run.
fn result_label(exit: Exit) -> &'static str {
    match exit {
        Exit::Invalid => "invalid",
        Exit::Conflict => "conflict",
        Exit::Undecided => "undecided",
        Exit::NotRun => "refused",
        Exit::Unreachable => "not sent",
        Exit::Other
        | Exit::Usage
        | Exit::MayHaveRun
        | Exit::NotFound
        | Exit::Ran
        | Exit::Warned => "failed",
    }
}

fn write(outcomes: &[Outcome], format: Format, out: &mut impl Write) -> Result<(), Report<Exit>> {
    if format == Format::Json {
        let value = serde_json::to_value(outcomes).change_context(Exit::Other)?;
        return output::json(out, &value);
    }
    let mut table = Table::new(&["KIND", "NAME", "GENERATION", "RESULT"]);
    for item in outcomes {
        let generation = item.generation.map_or("-".to_string(), |g| g.to_string());
        table.push([
            item.kind.to_string(),
            item.name.clone(),
            generation,
            item.result.to_string(),
        ]);
    }
    output::text(out, &table.text(""))
}
