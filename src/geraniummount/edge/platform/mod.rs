//! Client of the platform's key-value service.
//!
//! The service has outages, is slow at times, and its reply may be lost after
//! a write took effect. Each result says what is known: [`Written::Refused`]
//! only where nothing was done, [`Written::Unknown`] where it may have been.

pub mod claim_store;
pub mod log_store;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use ureq::Agent;
use ureq::http::Response;
use ureq::unversioned::transport::DefaultConnector;
use ureq::{Body, Error, Timeout};

use crate::edge::metrics::{Call, CallResult, Metrics};
use crate::util::fixed::Fixed;

/// Wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for the whole reply to a read or write.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections that were idle for longer are not used again.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Longest value of the service.
const MAX_VALUE_BYTES: u64 = 1024 * 1024;

/// A value with its version; version 0 means that there is none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Value {
    /// Grows with each write.
    pub version: u64,
    /// The bytes; empty where there is no value.
    pub body: Vec<u8>,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect and gave the value this version.
    Done(u64),
    /// The value had another version: it took no effect.
    Mismatch,
    /// No reply: it may have taken effect, or may do so later.
    Unknown,
    /// Nothing was done.
    Refused,
    /// Nothing was done, as more calls came than the service takes.
    Limited,
}

/// A VM or backend server on the platform's lagging list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is there to stay.
    pub state: MemberState,
}

/// State of a member of the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Runs.
    Live,
    /// Is leaving.
    Leaving,
}

/// The platform's list of members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Members {
    /// Grows with each change.
    pub version: u64,
    /// The members.
    pub members: Vec<Member>,
}

/// Connection to the service; clones share it.
#[derive(Clone, Debug)]
pub struct Platform {
    agent: Agent,
    address: SocketAddr,
    prefix: String,
    metrics: Metrics,
}

impl Platform {
    /// Makes a client whose keys start with `prefix`.
    pub fn new(address: SocketAddr, prefix: impl Into<String>, metrics: Metrics) -> Platform {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_age(MAX_IDLE)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .user_agent("geraniummount")
            .build();
        Platform {
            agent: Agent::with_parts(config, DefaultConnector::new(), Fixed(address)),
            address,
            prefix: prefix.into(),
            metrics,
        }
    }

    /// Reads a value; `None` when the service did not answer.
    pub fn get(&self, key: &str) -> Option<Value> {
        let url = self.url(key);
        let reply = self.call(Call::Get, &url, CALL_TIMEOUT)?;
        read_value(reply)
    }

    /// Waits up to `wait` for a version other than `version`, then returns
    /// the value. `None` when the service did not answer.
    pub fn watch(&self, key: &str, version: u64, wait: Duration) -> Option<Watched> {
        let wait_ms = wait.as_millis();
        let url = format!("{}?watch={version}&wait_ms={wait_ms}", self.url(key));
        let reply = self.call(Call::Watch, &url, wait + CALL_TIMEOUT)?;
        if reply.status().as_u16() == 304 {
            return Some(Watched::Same);
        }
        read_value(reply).map(Watched::Changed)
    }

    /// Writes a value if it still has `version`; 0 creates it.
    pub fn put(&self, key: &str, version: u64, body: &[u8]) -> Written {
        let request = self
            .agent
            .put(self.url(key))
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .header("If-Version", version.to_string());
        let (written, answer) = match request.send(body) {
            Ok(reply) => written(&reply),
            Err(error) if was_not_sent(&error) => (Written::Refused, CallResult::NotSent),
            Err(_) => (Written::Unknown, CallResult::Lost),
        };
        self.metrics.count_platform_call(Call::Put, answer);
        written
    }

    /// Waits up to `wait` for a version of the members' list other than
    /// `version`. `None` when the service did not answer.
    pub fn members(&self, version: Option<u64>, wait: Duration) -> Option<Option<Members>> {
        let mut url = format!("http://{}/members", self.address);
        if let Some(version) = version {
            url += &format!("?watch={version}&wait_ms={}", wait.as_millis());
        }
        let mut reply = self.call(Call::Members, &url, wait + CALL_TIMEOUT)?;
        if reply.status().as_u16() == 304 {
            return Some(None);
        }
        let body = reply.body_mut().read_to_vec().ok()?;
        serde_json::from_slice(&body).ok().map(Some)
    }

    fn url(&self, key: &str) -> String {
        format!("http://{}/kv/{}/{key}", self.address, self.prefix)
    }

    /// Sends a read. `None` when it failed or was refused.
    fn call(&self, call: Call, url: &str, timeout: Duration) -> Option<Response<Body>> {
        let request = self.agent.get(url).config();
        let request = request.timeout_global(Some(timeout)).build();
        let (reply, answer) = match request.call() {
            Ok(reply) if matches!(reply.status().as_u16(), 200 | 304 | 404) => {
                (Some(reply), CallResult::Ok)
            }
            Ok(_) => (None, CallResult::Refused),
            Err(error) if was_not_sent(&error) => (None, CallResult::NotSent),
            Err(_) => (None, CallResult::Lost),
        };
        self.metrics.count_platform_call(call, answer);
        reply
    }
}

/// What came of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Watched {
    /// The version did not change in time.
    Same,
    /// The value as it is now.
    Changed(Value),
}

fn written(reply: &Response<Body>) -> (Written, CallResult) {
    match (reply.status().as_u16(), version_of(reply)) {
        (200, Some(version)) => (Written::Done(version), CallResult::Ok),
        (409, _) => (Written::Mismatch, CallResult::Conflict),
        (429, _) => (Written::Limited, CallResult::Refused),
        (400 | 413 | 503, _) => (Written::Refused, CallResult::Refused),
        _ => (Written::Unknown, CallResult::Lost),
    }
}

fn read_value(mut reply: Response<Body>) -> Option<Value> {
    let version = version_of(&reply)?;
    if reply.status().as_u16() == 404 {
        return Some(Value::default());
    }
    let body = reply.body_mut().with_config().limit(MAX_VALUE_BYTES + 1);
    let body = body.read_to_vec().ok()?;
    Some(Value { version, body })
}

fn version_of(reply: &Response<Body>) -> Option<u64> {
    reply.headers().get("Version")?.to_str().ok()?.parse().ok()
}

/// Whether no byte of the request can have reached the service.
fn was_not_sent(error: &Error) -> bool {
    match error {
        Error::ConnectionFailed | Error::Timeout(Timeout::Connect) => true,
        Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
