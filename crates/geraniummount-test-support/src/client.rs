//! HTTP client for tests that act as callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

/// Patience of a client with one call; far above any deadline in the tests.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A reply to a caller or operator.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body as JSON; `Null` when it is empty or not JSON.
    pub body: Value,
    /// Body as it came.
    pub text: String,
    headers: Vec<(String, String)>,
}

impl Reply {
    /// Returns a header's value; the name's case does not count.
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

/// Client of one address; every call opens a connection of its own, so that a
/// dead process does not spoil the next call.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    address: SocketAddr,
}

impl Client {
    /// Makes a client for an address.
    pub fn new(address: SocketAddr) -> Client {
        Client::with_timeout(address, CALL_TIMEOUT)
    }

    /// Makes a client that gives each call up after `timeout`.
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

    /// Makes one call; an error means that no whole reply came.
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

    /// Gets a path.
    pub fn get(&self, path: &str) -> Result<Reply, ureq::Error> {
        self.call("GET", path, &[], Vec::new())
    }

    /// Sends a query of a service.
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
