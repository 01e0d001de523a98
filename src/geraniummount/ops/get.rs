//! `get`: shows resources as they are in force at the queried VM.

use std::io::Write;
use std::net::SocketAddr;

use error_stack::Report;
use serde_json::Value;

use crate::core::config::resource::Kind;
use crate::ops::exit::Exit;
use crate::ops::operator_client::OperatorClient;
use crate::ops::output::{self, Format};
use crate::util::table::{self, Table};

/// Options of `get`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the operators' listener.
    pub server: SocketAddr,
    /// Kind of the resources.
    pub kind: Kind,
    /// Name of the resource; all resources of the kind if `None`.
    pub name: Option<String>,
    /// Output format.
    pub format: Format,
}

/// Writes one resource or all resources of a kind.
pub fn get(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let client = OperatorClient::new(options.server);
    let path = match &options.name {
        Some(name) => format!("/v1/resources/{}/{name}", options.kind),
        None => format!("/v1/resources/{}", options.kind),
    };
    let answer = client.get(&path)?;
    match (options.format, &options.name) {
        (Format::Json, _) => output::json(out, &answer),
        (Format::Text, Some(_)) => output::text(out, &table::outline(&answer)),
        (Format::Text, None) => output::text(out, &list(options.kind, &answer)),
    }
}

/// Returns a table of the resources of a kind. The generation of a resource is the revision
/// (position in the log of accepted changes) at which it was last changed.
fn list(kind: Kind, answer: &Value) -> String {
    let mut table = match kind {
        Kind::Leaf => Table::new(&[
            "NAME",
            "GENERATION",
            "DOMAIN",
            "ADDRESS",
            "STATE",
            "SLOTS",
            "CONNECTIONS",
        ]),
        Kind::Service => Table::new(&[
            "NAME",
            "GENERATION",
            "SHARDS",
            "INCLUDES",
            "DEADLINE-MS",
            "PREFER",
        ]),
    };
    for item in answer["items"].as_array().into_iter().flatten() {
        table.push(row(kind, item));
    }
    table.text("")
}

fn row(kind: Kind, item: &Value) -> Vec<String> {
    let spec = &item["spec"];
    let count = |list: &Value| list.as_array().map_or(0, Vec::len).to_string();
    let cell = table::cell;
    match kind {
        Kind::Leaf => vec![
            cell(&spec["name"]),
            cell(&item["generation"]),
            cell(&spec["failure_domain"]),
            cell(&spec["address"]),
            cell(&spec["state"]),
            cell(&spec["contract"]["slots"]),
            cell(&spec["contract"]["connections"]),
        ],
        Kind::Service => vec![
            cell(&spec["name"]),
            cell(&item["generation"]),
            count(&spec["shards"]),
            count(&spec["includes"]),
            cell(&spec["deadline_ms"]),
            cell(&spec["prefer"]),
        ],
    }
}
