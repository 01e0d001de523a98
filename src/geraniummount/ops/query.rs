//! `query`: sends one request as a caller would.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use serde_json::Value;

use crate::edge::client::{Client, Error, Request, Response};
use crate::ops::exit::Exit;
use crate::ops::output::{self, Form};
use crate::util::table::{self, Table};

/// Time that is left to the answer beyond the request's deadline.
const MARGIN: Duration = Duration::from_secs(2);

/// Deadline that a service without a longer one can't pass.
const LONGEST: Duration = Duration::from_secs(600);

/// One request.
#[derive(Clone, Debug)]
pub struct Options {
    /// Callers' listener.
    pub server: SocketAddr,
    /// Service that is asked.
    pub service: String,
    /// JSON body.
    pub body: String,
    /// Deadline; the service's own where none is given.
    pub deadline_ms: Option<u32>,
    /// Name of the request; drawn by the server where none is given.
    pub request_id: Option<String>,
    /// Set for a request that must not run twice.
    pub once: Option<Once>,
    /// Asks which owner, replica and attempt served each shard.
    pub explain: bool,
    /// Form of the result.
    pub form: Form,
}

/// A request that must not run twice.
#[derive(Clone, Debug)]
pub struct Once {
    /// The one shard that runs it.
    pub shard: String,
    /// Key by which repeated sends are known.
    pub key: Option<String>,
}

/// Sends one request and shows its answer.
pub fn query(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    check(options)?;
    let deadline = options
        .deadline_ms
        .map(u64::from)
        .map(Duration::from_millis);
    let client = Client::new(options.server, deadline.unwrap_or(LONGEST) + MARGIN);
    let explain = if options.explain { "?explain=true" } else { "" };
    let path = format!("/v1/services/{}/query{explain}", options.service);
    let request = Request {
        method: "POST",
        path: &path,
        headers: headers(options),
        body: options.body.clone().into_bytes(),
    };
    let answer = client.send(&request);
    let answer = answer.map_err(|error| unanswered(options.server, &error))?;
    if !answer.is_success() {
        return Err(failed(&options.service, &answer));
    }
    match options.form {
        Form::Json => output::json(out, &answer.json()),
        Form::Text => output::text(out, &describe(&answer.json())),
    }
}

fn check(options: &Options) -> Result<(), Report<Exit>> {
    serde_json::from_str::<Value>(&options.body).map_err(|cause| {
        Report::new(Exit::Invalid)
            .attach(format!("--body is not JSON: {cause}"))
            .attach("do: give JSON, such as --body '{\"text\": \"rope\"}'")
    })?;
    Ok(())
}

fn headers(options: &Options) -> Vec<(&'static str, String)> {
    let mut headers = vec![("Content-Type", "application/json".to_string())];
    if let Some(deadline) = options.deadline_ms {
        headers.push(("Deadline-Ms", deadline.to_string()));
    }
    if let Some(id) = &options.request_id {
        headers.push(("Request-Id", id.clone()));
    }
    if let Some(once) = &options.once {
        headers.push(("Idempotent", "false".to_string()));
        headers.push(("Shard", once.shard.clone()));
        if let Some(key) = &once.key {
            headers.push(("Idempotency-Key", key.clone()));
        }
    }
    headers
}

fn unanswered(server: SocketAddr, error: &Error) -> Report<Exit> {
    let text = format!("server {server}: {}", error.text());
    match error {
        Error::NotSent(_) => Report::new(Exit::Unreachable)
            .attach(text)
            .attach("do: name the callers' listener of a live VM with --server"),
        Error::MaybeSent(_) => Report::new(Exit::MayHaveRun)
            .attach(text)
            .attach("do: a search can be sent again; an order only with the same --key"),
    }
}

/// Turns a refusal or failure of the server into one of the command.
fn failed(service: &str, answer: &Response) -> Report<Exit> {
    let body = answer.json();
    let verdict = body["verdict"].as_str().unwrap_or("may-have-run");
    let exit = match (verdict, answer.status) {
        ("not-run", 404) => Exit::NotFound,
        ("not-run", 400 | 411 | 413 | 414 | 422 | 431) => Exit::Invalid,
        ("not-run", _) => Exit::NotRun,
        ("ran", _) => Exit::Ran,
        _ => Exit::MayHaveRun,
    };
    let reason = body["reason"].as_str().unwrap_or(answer.text.trim());
    let mut report = Report::new(exit)
        .attach(format!("service {service}: {reason}"))
        .attach(format!("verdict: {verdict}"));
    if let Some(id) = body["request_id"].as_str() {
        report = report.attach(format!("request: {id}"));
    }
    match body["retry_after_ms"].as_u64() {
        Some(wait) => report.attach(format!("do: try again in {wait} ms")),
        None => report,
    }
}

/// Writes an answer for a person.
fn describe(answer: &Value) -> String {
    let coverage = &answer["coverage"];
    let included = coverage["included"].as_array().map_or(0, Vec::len);
    let missing = coverage["missing"].as_array().map_or(0, Vec::len);
    let mut text = format!(
        "request   {}\nsnapshot  {}\nrevision  {}\ncoverage  {included} of {} shards\n",
        table::cell(&answer["request_id"]),
        table::cell(&answer["snapshot"]),
        table::cell(&answer["revision"]),
        included + missing,
    );
    if missing > 0 {
        text.push_str("missing\n");
        text.push_str(&indented(&coverage["missing"]));
    }
    text.push_str("results\n");
    let mut results = Table::new(&["shard", "body"]);
    for result in answer["results"].as_array().into_iter().flatten() {
        results.push([table::cell(&result["shard"]), result["body"].to_string()]);
    }
    text.push_str(&results.text("  "));
    if !answer["explain"].is_null() {
        text.push_str("explain\n");
        text.push_str(&indented(&answer["explain"]));
    }
    text
}

fn indented(value: &Value) -> String {
    let outline = table::outline(value);
    outline.lines().map(|line| format!("  {line}\n")).collect()
}
