//! Sends requests to a leaf and interprets the replies.
//!
//! A request carries the id of an attempt, which is one try to run a part of a caller's request at
//! this leaf. Each reply maps to one [`Completion`]. Only a complete reply that names its attempt
//! is a statement about that attempt. A rejection with no attempt id, or with that of another
//! attempt, leaves open whether the request ran. A snapshot is a version of the index.

use std::time::{Duration, Instant};

use serde::Deserialize;
use ureq::http::{HeaderMap, Response};
use ureq::{Body, Error, RequestBuilder};

use super::connection::Connection;
use crate::core::leaf::State;
use crate::core::leaf_queue::{Completion, Health, HeldSnapshots};
use crate::prelude::*;

/// Maximum size of the health endpoint's reply.
const MAX_HEALTH_BYTES: u64 = 1024 * 1024;

/// Maximum size of the reply to a cancellation.
const MAX_CANCEL_BYTES: u64 = 4096;

/// Sends a part and waits for the reply until the part's deadline.
///
/// If the result is not [`Completion::Replied`], [`Completion::Shed`] or
/// [`Completion::SnapshotNotHeld`], the connection must not be used again.
pub fn send(connection: &Connection, part: &Part, max_reply_bytes: u64) -> Completion {
    let remaining = part.deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Completion::NotSent(Reason::Deadline);
    }
    connection.begin_exchange(max_reply_bytes);
    let sent = request(connection, part, remaining).send(&part.body[..]);
    match sent {
        Ok(response) => read_reply(part, response, max_reply_bytes),
        Err(error) => completion_from_error(connection, &error),
    }
}

/// Queries the leaf's health endpoint. If the result is [`Health::Unresponsive`], the connection
/// must be closed.
pub fn probe(connection: &Connection, timeout: Duration) -> Health {
    connection.begin_exchange(MAX_HEALTH_BYTES);
    let url = format!("http://{}/health", connection.address);
    let request = connection.agent.get(url).config();
    let sent = request.timeout_global(Some(timeout)).build().call();
    let Ok(mut response) = sent else {
        return Health::Unresponsive;
    };
    let body = read_body(&mut response, MAX_HEALTH_BYTES);
    let health = body.ok().and_then(|body| parse_health(&body));
    match health {
        Some(health) if response.status() == 200 => health,
        _ => Health::Unresponsive,
    }
}

/// Notifies the leaf that an attempt is cancelled. A failure is only logged.
pub fn cancel(connection: &Connection, attempt: AttemptId, timeout: Duration) {
    connection.begin_exchange(MAX_CANCEL_BYTES);
    let url = format!("http://{}/attempts/{attempt}", connection.address);
    let request = connection.agent.delete(url).config();
    match request.timeout_global(Some(timeout)).build().call() {
        Ok(mut response) => drop(read_body(&mut response, MAX_CANCEL_BYTES)),
        Err(error) => log::debug!("leaf: failed to cancel attempt {attempt}: {error}"),
    }
}

fn request(
    connection: &Connection,
    part: &Part,
    remaining: Duration,
) -> RequestBuilder<ureq::typestate::WithBody> {
    let path = if part.idempotent { "search" } else { "execute" };
    let url = format!("http://{}/{path}", connection.address);
    let remaining_ms = remaining.as_millis().max(1);
    let request = connection
        .agent
        .post(url)
        .header("Content-Type", "application/json")
        .header("Attempt-Id", part.attempt.to_string())
        .header("Request-Id", &part.request)
        .header("Shard", format!("{}/{}", part.service, part.shard))
        .header("Deadline-Ms", remaining_ms.to_string());
    let request = match part.snapshot {
        Some(snapshot) => request.header("Snapshot", snapshot.to_string()),
        None => request,
    };
    request.config().timeout_global(Some(remaining)).build()
}

fn completion_from_error(connection: &Connection, error: &Error) -> Completion {
    log::debug!("leaf: request to {} failed: {error}", connection.address);
    if !connection.has_sent() {
        return Completion::NotSent(Reason::ConnectFailed);
    }
    match error {
        Error::Timeout(_) => Completion::TimedOut,
        Error::Protocol(_) | Error::LargeResponseHeader(..) => {
            Completion::Interrupted(Reason::Truncated)
        }
        _ => Completion::Interrupted(Reason::ConnectionLost),
    }
}

fn read_reply(part: &Part, mut response: Response<Body>, max_reply_bytes: u64) -> Completion {
    let body = match read_body(&mut response, max_reply_bytes) {
        Ok(body) => body,
        Err(Error::Timeout(_)) => return Completion::TimedOut,
        Err(_) => return Completion::Interrupted(Reason::Truncated),
    };
    let headers = response.headers();
    // Id of the attempt that the reply names.
    let echo = numeric_header(headers, "Attempt-Id");
    let status = response.status().as_u16();
    if matches!(status, 410 | 429 | 503) && echo != Some(part.attempt) {
        return Completion::Interrupted(Reason::ReplyMismatch);
    }
    match status {
        200 => Completion::Replied {
            echo,
            snapshot: numeric_header(headers, "Snapshot"),
            body,
            state: leaf_state_header(headers).unwrap_or(State::Serving),
        },
        410 => Completion::SnapshotNotHeld {
            held: parse_held(&body),
        },
        429 => shed(headers, State::Serving),
        503 => shed(headers, State::Draining),
        _ => Completion::LeafError,
    }
}

/// Returns the completion of a part that the leaf rejected without running it.
fn shed(headers: &HeaderMap, default_state: State) -> Completion {
    Completion::Shed {
        retry_after: numeric_header(headers, "Retry-After").map(Duration::from_secs),
        state: leaf_state_header(headers).unwrap_or(default_state),
    }
}

/// Reads a body that is framed by its length or by chunks. A body that ends when the connection
/// closes is an error unless the status is 204, because a truncated body would pass as complete.
fn read_body(response: &mut Response<Body>, limit: u64) -> Result<Vec<u8>, Error> {
    let headers = response.headers();
    let has_framing =
        headers.contains_key("Content-Length") || headers.contains_key("Transfer-Encoding");
    if !has_framing && response.status() != 204 {
        return Err(Error::ConnectionFailed);
    }
    let reader = response.body_mut().with_config().limit(limit);
    reader.read_to_vec()
}

fn numeric_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn leaf_state_header(headers: &HeaderMap) -> Option<State> {
    match headers.get("Leaf-State")?.to_str().ok()? {
        "serving" => Some(State::Serving),
        "cold" => Some(State::Cold),
        "draining" => Some(State::Draining),
        _ => None,
    }
}

/// Body of a rejection because the leaf does not hold the requested snapshot.
#[derive(Deserialize)]
struct HeldBody {
    snapshots: Vec<SnapshotId>,
}

fn parse_held(body: &[u8]) -> Vec<SnapshotId> {
    let parsed: Result<HeldBody, _> = serde_json::from_slice(body);
    let mut held = parsed.map_or(Vec::new(), |body| body.snapshots);
    held.sort_unstable();
    held
}

#[derive(Deserialize)]
struct HealthBody {
    state: State,
    #[serde(default)]
    snapshots: Vec<HeldSnapshot>,
}

#[derive(Deserialize)]
struct HeldSnapshot {
    shard: String,
    snapshot: SnapshotId,
}

fn parse_health(body: &[u8]) -> Option<Health> {
    let body: HealthBody = serde_json::from_slice(body).ok()?;
    let mut listed = body.snapshots;
    listed.sort_unstable_by(|a, b| (&a.shard, a.snapshot).cmp(&(&b.shard, b.snapshot)));
    let mut held: Vec<HeldSnapshots> = Vec::new();
    for entry in listed {
        // Leaves report a shard as `service/shard`.
        let Some((service, shard)) = entry.shard.split_once('/') else {
            continue;
        };
        match held.iter_mut().find(|held| held.is_for(service, shard)) {
            Some(held) => held.snapshots.push(entry.snapshot),
            None => held.push(HeldSnapshots {
                service: service.to_owned(),
                shard: shard.to_owned(),
                snapshots: vec![entry.snapshot],
            }),
        }
    }
    Some(Health::Answered {
        state: body.state,
        held,
    })
}
