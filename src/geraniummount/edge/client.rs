//! HTTP client of the command line, for operators' and callers' listeners.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::{Agent, http};

/// Longest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of one listener.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    server: SocketAddr,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Method, in capitals.
    pub method: &'a str,
    /// Path with its query string, from the first slash on.
    pub path: &'a str,
    /// Headers besides those of HTTP itself.
    pub headers: Vec<(&'a str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Response of the listener, whatever its status.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status of HTTP.
    pub status: u16,
    /// Body as it came.
    pub text: String,
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection, so nothing was sent.
    NotSent(String),
    /// Something may have been sent.
    MaybeSent(String),
}

impl Client {
    /// Makes a client; each request has `timeout` as a whole.
    pub fn new(server: SocketAddr, timeout: Duration) -> Client {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(timeout))
            .max_redirects(0)
            .allow_non_standard_methods(true)
            .build();
        Client {
            agent: config.new_agent(),
            server,
        }
    }

    /// Address of the listener.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Sends one request and reads the whole answer.
    pub fn send(&self, request: &Request<'_>) -> Result<Response, Error> {
        let uri = format!("http://{}{}", self.server, request.path);
        let mut builder = http::Request::builder().method(request.method).uri(uri);
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let http_request = builder
            .body(request.body.as_slice())
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let mut response = self.agent.run(http_request).map_err(classify)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let text = body
            .read_to_string()
            .map_err(|error| Error::MaybeSent(error.to_string()))?;
        Ok(Response { status, text })
    }
}

impl Response {
    /// Body as JSON; null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Whether the status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

impl Error {
    /// What went wrong.
    pub fn text(&self) -> &str {
        match self {
            Error::NotSent(text) | Error::MaybeSent(text) => text,
        }
    }
}

/// Tells errors before the first byte from later ones.
fn classify(error: ureq::Error) -> Error {
    let text = error.to_string();
    match error {
        ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            Error::NotSent(text)
        }
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => Error::NotSent(text),
        _ => Error::MaybeSent(text),
    }
}
