//! Client of the HTTP server that each VM runs for operators (the operators' listener). Its errors
//! say what failed, where, and what to do; [`Exit`] is the kind of failure of the subcommand.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use serde_json::Value;

use crate::core::config::fault::Fault;
use crate::edge::client::{Client, Error, Request, Response};
use crate::ops::exit::Exit;

/// Timeout of a request that is not a long poll.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the client waits for the response of a long poll after the time for which the
/// server may hold it.
const LONG_POLL_MARGIN: Duration = Duration::from_secs(10);

/// Client of one operators' listener.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: Client,
}

impl OperatorClient {
    /// Creates a client; it connects with the first request.
    pub fn new(server: SocketAddr) -> OperatorClient {
        OperatorClient {
            client: Client::new(server, REQUEST_TIMEOUT),
        }
    }

    /// Creates a client for long polls that the server holds for up to `wait`.
    pub fn for_long_poll(server: SocketAddr, wait: Duration) -> OperatorClient {
        OperatorClient {
            client: Client::new(server, wait + LONG_POLL_MARGIN),
        }
    }

    /// Sends a GET request and returns the JSON document of the response.
    pub fn get(&self, path: &str) -> Result<Value, Report<Exit>> {
        let answer = self.call("GET", path, Vec::new(), Vec::new())?;
        self.json(path, &answer)
    }

    /// Changes a resource. If `generation` is given, the change is accepted only while the resource
    /// has this generation. The generation of a resource is the revision at which it was last
    /// changed; a revision is a position in the log of accepted changes.
    ///
    /// # Errors
    ///
    /// Fails with [`Exit::Undecided`] if the change was sent but its outcome is unknown.
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
        // The server does not know whether the change took effect.
        if answer.status == 202 {
            return Err(undecided_error(&answer.json()));
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
        let answer = answer.map_err(|error| self.transport_error(method, &error))?;
        if answer.is_success() {
            return Ok(answer);
        }
        Err(response_error(path, &answer))
    }

    fn json(&self, path: &str, answer: &Response) -> Result<Value, Report<Exit>> {
        serde_json::from_str(&answer.text).map_err(|cause| {
            Report::new(Exit::Other)
                .attach(format!("{path}: the response is not JSON: {cause}"))
                .attach(format!(
                    "do: check that {} is an operators' listener of geraniummount",
                    self.client.server()
                ))
        })
    }

    fn transport_error(&self, method: &str, error: &Error) -> Report<Exit> {
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

/// Converts an error response of the server into a failure of the subcommand.
fn response_error(path: &str, answer: &Response) -> Report<Exit> {
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
        // Each fault is an error in the resource that was sent. A fault in a format that this
        // version can't parse is shown as JSON.
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
            "do: read the resource with 'geraniummount get', check that the change still applies, \
             and send it with --if-generation",
        );
    }
    report
}

/// Returns the failure for a change whose outcome the server does not know. `body` names the
/// change's id.
fn undecided_error(body: &Value) -> Report<Exit> {
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
