//! Client of the platform's key-value service and its list of members. The users run both. The list
//! contains VMs and backend servers (leaves).
//!
//! The service has outages, is slow at times, and its reply may be lost after a write took effect.
//! The result of a write states what is known: [`PutOutcome::Refused`] is returned only if the
//! write had no effect, and [`PutOutcome::Unknown`] if it may have taken effect.

pub mod claim_store;
pub mod log_store;

use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use ureq::Agent;
use ureq::http::Response;
use ureq::unversioned::transport::DefaultConnector;
use ureq::{Body, Error, Timeout};

use crate::edge::metrics::{Call, CallResult, Metrics};
use crate::util::fixed_resolver::FixedResolver;
use crate::util::json;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a read or write, including the whole reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum idle time after which a connection is still reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);
/// Maximum size of a value in the service.
const MAX_VALUE_BYTES: u64 = 1024 * 1024;

/// A value with its version; version 0 means that the key does not exist.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Value {
    /// Version, which increases with each write.
    pub version: u64,
    /// Bytes of the value; empty if the key does not exist.
    pub body: Vec<u8>,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// The write took effect, and the value now has this version.
    Done(u64),
    /// The value had a different version, and the write had no effect.
    Mismatch,
    /// No valid reply was received. The write may have taken effect or may still do so.
    Unknown,
    /// The write had no effect: the service rejected it or could not be reached.
    Refused,
    /// The write had no effect, because the service's rate limit was exceeded.
    Limited,
}

/// A VM or backend server on the platform's list of members, which may lag behind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Member {
    /// Name of the VM or leaf.
    pub name: String,
    /// Address of the VM or leaf, as the list states it.
    pub address: SocketAddr,
    /// Whether it is live or leaving.
    pub state: MemberState,
}

/// State of a member of the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Running.
    Live,
    /// About to be removed.
    Leaving,
}

/// The platform's list of members, which are the VMs and the backend servers (leaves).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Members {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// The members, without those that can't be read.
    #[serde(deserialize_with = "readable_members")]
    pub members: Vec<Member>,
}

/// Client of the key-value service and the list of members; clones share its connections.
#[derive(Clone, Debug)]
pub struct Platform {
    agent: Agent,
    address: SocketAddr,
    /// First part of all keys that this client reads and writes.
    prefix: String,
    metrics: Metrics,
}

impl Platform {
    /// Creates a client that stores its keys under `prefix`.
    pub fn new(address: SocketAddr, prefix: impl Into<String>, metrics: Metrics) -> Platform {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_age(MAX_IDLE_AGE)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .user_agent("geraniummount")
            .build();
        Platform {
            agent: Agent::with_parts(config, DefaultConnector::new(), FixedResolver(address)),
            address,
            prefix: prefix.into(),
            metrics,
        }
    }

    /// Reads the value of a key; `None` if the service did not answer.
    pub fn get(&self, key: &str) -> Option<Value> {
        let url = self.url(key);
        let reply = self.call(Call::Get, &url, CALL_TIMEOUT)?;
        read_value(reply)
    }

    /// Waits up to `wait` for the value of a key to have a version other than `version`. `None` if
    /// the service did not answer.
    pub fn watch(&self, key: &str, version: u64, wait: Duration) -> Option<WatchOutcome> {
        let wait_ms = wait.as_millis();
        let url = format!("{}?watch={version}&wait_ms={wait_ms}", self.url(key));
        let reply = self.call(Call::Watch, &url, wait + CALL_TIMEOUT)?;
        if reply.status().as_u16() == 304 {
            return Some(WatchOutcome::Unchanged);
        }
        read_value(reply).map(WatchOutcome::Changed)
    }

    /// Writes a value if its version is still `version`; version 0 creates it.
    pub fn put(&self, key: &str, version: u64, body: &[u8]) -> PutOutcome {
        let request = self
            .agent
            .put(self.url(key))
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .header("If-Version", version.to_string());
        let (written, answer) = match request.send(body) {
            Ok(reply) => put_outcome(&reply),
            Err(error) if was_not_sent(&error) => (PutOutcome::Refused, CallResult::NotSent),
            Err(_) => (PutOutcome::Unknown, CallResult::Lost),
        };
        self.metrics.count_platform_call(Call::Put, answer);
        written
    }

    /// Waits up to `wait` for the list of members to have a version other than `version`, and
    /// returns `Some(None)` if it does not. Without `version`, returns the list at once. `None` if
    /// the service did not answer.
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
        let text = String::from_utf8_lossy(&body);
        let members = serde_json::from_str(&text);
        if let Err(error) = &members {
            warn!("platform: failed to decode the membership list: {error}");
        }
        members.ok().map(Some)
    }

    fn url(&self, key: &str) -> String {
        format!("http://{}/kv/{}/{key}", self.address, self.prefix)
    }

    /// Sends a read; `None` if it failed or was rejected.
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

/// Outcome of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchOutcome {
    /// The value still had the given version at the end of the wait.
    Unchanged,
    /// The current value, which has a different version.
    Changed(Value),
}

/// Reads the members one by one, as other writers add entries to the list, too.
fn readable_members<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Member>, D::Error> {
    let entries = Vec::<&'de RawValue>::deserialize(deserializer)?;
    Ok(json::read_entries(entries, |error| {
        warn!("platform: skipped an entry of the membership list: {error}; find who writes it");
    }))
}

fn put_outcome(reply: &Response<Body>) -> (PutOutcome, CallResult) {
    match (reply.status().as_u16(), version_of(reply)) {
        (200, Some(version)) => (PutOutcome::Done(version), CallResult::Ok),
        (409, _) => (PutOutcome::Mismatch, CallResult::Conflict),
        (429, _) => (PutOutcome::Limited, CallResult::Refused),
        (400 | 413 | 503, _) => (PutOutcome::Refused, CallResult::Refused),
        _ => (PutOutcome::Unknown, CallResult::Lost),
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

/// Returns whether certainly no byte of the request reached the service.
fn was_not_sent(error: &Error) -> bool {
    match error {
        Error::ConnectionFailed | Error::Timeout(Timeout::Connect) => true,
        Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
