//! HTTP client for tests that act as callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

/// Timeout of one call; far above any deadline in the tests.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A reply that a caller or operator received.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body as JSON; `Null` when it is empty or not JSON.
    pub body: Value,
    /// Body as received.
    pub text: String,
    headers: Vec<(String, String)>,
}

impl Reply {
    /// Returns the value of a header; the name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// HTTP client for one address. Each call opens a new connection, because a kept-alive one to a
/// process that has died in the meantime would fail the next call.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    address: SocketAddr,
}

impl Client {
    /// Creates a client with the default timeout.
    pub fn new(address: SocketAddr) -> Client {
        Client::with_timeout(address, CALL_TIMEOUT)
    }

    /// Creates a client whose calls fail after `timeout`.
    pub fn with_timeout(address: SocketAddr, timeout: Duration) -> Client {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(timeout))
            .build();
        Client {
            agent: config.new_agent(),
            address,
        }
    }

    /// Sends a request and reads its reply.
    ///
    /// # Errors
    ///
    /// Fails if no complete reply is received within the timeout.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Vec<u8>>,
    ) -> Result<Reply, ureq::Error> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = ureq::http::Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = body.into();
        let mut response = if body.is_empty() {
            self.agent.run(request.body(())?)?
        } else {
            self.agent.run(request.body(body)?)?
        };
        let pairs = response.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), value)
        });
        let headers = pairs.collect();
        let text = response.body_mut().read_to_string()?;
        Ok(Reply {
            status: response.status().as_u16(),
            body: serde_json::from_str(&text).unwrap_or(Value::Null),
            text,
            headers,
        })
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str) -> Result<Reply, ureq::Error> {
        self.call("GET", path, &[], Vec::new())
    }

    /// Sends a query to a service.
    pub fn query(
        &self,
        service: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Reply, ureq::Error> {
        let path = format!("/v1/services/{service}/query");
        self.call("POST", &path, headers, body.to_string())
    }
}
