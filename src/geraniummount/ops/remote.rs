//! One operator's view of a running process: requests with errors that tell
//! a person what was wrong, where, and what to do.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use serde_json::Value;

use crate::core::fault::Fault;
use crate::edge::client::{Client, Error, Request, Response};
use crate::ops::exit::Exit;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Time for a watch to answer beyond the time that it waits.
const WATCH_MARGIN: Duration = Duration::from_secs(10);

/// Client of an operators' listener.
#[derive(Clone, Debug)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// Makes a client; nothing is sent yet.
    pub fn new(server: SocketAddr) -> Remote {
        Remote {
            client: Client::new(server, TIMEOUT),
        }
    }

    /// Makes a client for requests that the server holds for up to `wait`.
    pub fn patient(server: SocketAddr, wait: Duration) -> Remote {
        Remote {
            client: Client::new(server, wait + WATCH_MARGIN),
        }
    }

    /// Reads a document.
    pub fn get(&self, path: &str) -> Result<Value, Report<Exit>> {
        let answer = self.call("GET", path, Vec::new(), Vec::new())?;
        self.json(path, &answer)
    }

    /// Changes a resource; `generation` makes it conditional.
    pub fn change(
        &self,
        method: &str,
        path: &str,
        generation: Option<u64>,
        body: Vec<u8>,
    ) -> Result<Value, Report<Exit>> {
        let mut headers = Vec::new();
        if let Some(generation) = generation {
            headers.push(("If-Match", generation.to_string()));
        }
        let answer = self.call(method, path, headers, body)?;
        if answer.status == 202 {
            return Err(undecided(&answer.json()));
        }
        self.json(path, &answer)
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        mut headers: Vec<(&str, String)>,
        body: Vec<u8>,
    ) -> Result<Response, Report<Exit>> {
        if !body.is_empty() {
            headers.push(("Content-Type", "application/json".to_string()));
        }
        let request = Request {
            method,
            path,
            headers,
            body,
        };
        let answer = self.client.send(&request);
        let answer = answer.map_err(|error| self.unanswered(method, &error))?;
        if answer.is_success() {
            return Ok(answer);
        }
        Err(refused(path, &answer))
    }

    fn json(&self, path: &str, answer: &Response) -> Result<Value, Report<Exit>> {
        serde_json::from_str(&answer.text).map_err(|cause| {
            Report::new(Exit::Other)
                .attach(format!("{path}: the answer is not JSON: {cause}"))
                .attach(format!(
                    "do: check that {} is an operators' listener of geraniummount",
                    self.client.server()
                ))
        })
    }

    fn unanswered(&self, method: &str, error: &Error) -> Report<Exit> {
        let server = self.client.server();
        let text = format!("server {server}: {}", error.text());
        match error {
            Error::MaybeSent(_) if method != "GET" => Report::new(Exit::Undecided).attach(text).attach(
                "do: read the resource with 'geraniummount get' before sending the change again",
            ),
            _ => Report::new(Exit::Unreachable).attach(text).attach(
                "do: name the operators' listener of a live VM with --server, or in \
                 GERANIUMMOUNT_SERVER",
            ),
        }
    }
}

/// Turns a refusal of the server into a failure.
fn refused(path: &str, answer: &Response) -> Report<Exit> {
    let body = answer.json();
    let exit = match answer.status {
        400 | 413 | 422 => Exit::Invalid,
        404 => Exit::NotFound,
        409 | 412 => Exit::Conflict,
        429 | 503 => Exit::NotRun,
        _ => Exit::Other,
    };
    let error = body["error"].as_str().unwrap_or(answer.text.trim());
    let mut report = Report::new(exit).attach(format!("{path}: {error}"));
    for fault in body["faults"].as_array().into_iter().flatten() {
        report = report.attach(match serde_json::from_value::<Fault>(fault.clone()) {
            Ok(fault) => format!("fault: {fault}"),
            Err(_) => format!("fault: {fault}"),
        });
    }
    if let Some(wait) = body["retry_after_ms"].as_u64() {
        report = report.attach(format!("do: try again in {wait} ms"));
    }
    if exit == Exit::Conflict {
        report = report.attach(
            "do: read the resource with 'geraniummount get', decide anew, and send the change \
             with --if-generation",
        );
    }
    report
}

fn undecided(body: &Value) -> Report<Exit> {
    let change = crate::util::table::cell(&body["change"]);
    Report::new(Exit::Undecided)
        .attach(format!(
            "change {change} was sent to the platform, but no answer came back"
        ))
        .attach(
            "do: read the resource with 'geraniummount get'; the change shows there if it took \
             effect",
        )
}
