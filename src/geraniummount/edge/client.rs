//! HTTP client that the command line uses to call a VM's listeners: the addresses on which the VM
//! serves operators and callers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::{Agent, http};

/// Maximum length of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Client for one listener of a VM.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    /// Address of the listener.
    server: SocketAddr,
}

/// Request to a listener.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Method in upper case, such as `GET`.
    pub method: &'a str,
    /// Path and query string, starting with a slash.
    pub path: &'a str,
    /// Headers in addition to those that the HTTP client sets itself.
    pub headers: Vec<(&'a str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Response of a listener, with any status code.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Unparsed body.
    pub text: String,
}

/// Reason why there is no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The request failed before any byte was sent, for example because the connection failed.
    NotSent(String),
    /// The request may have been sent, but no complete response was received.
    MaybeSent(String),
}

impl Client {
    /// Creates a client. `timeout` limits each request as a whole, from connecting to the end of
    /// the response.
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

    /// Returns the address of the listener.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Sends a request and reads the whole response.
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
    /// Returns the body parsed as JSON, or `Value::Null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Returns whether the status code is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

impl Error {
    /// Returns the description of the error.
    pub fn text(&self) -> &str {
        match self {
            Error::NotSent(text) | Error::MaybeSent(text) => text,
        }
    }
}

/// Distinguishes errors that occur before the first byte is sent from later ones.
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
