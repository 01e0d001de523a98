//! Threads of the stand-in platform: one accepts connections, the others serve one connection
//! each.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Outage, State, Window};
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

const MAX_VALUE_BYTES: usize = 1024 * 1024;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Interval at which a waiting watch checks for expired leases.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections until the platform closes.
pub(super) fn accept(listener: &TcpListener, state: &Arc<Monitor<State>>) {
    for stream in listener.incoming() {
        if state.lock().closed {
            return;
        }
        let Ok(stream) = stream else { continue };
        if let Ok(copy) = stream.try_clone() {
            state.lock().streams.push(copy);
        }
        let state = Arc::clone(state);
        std::thread::spawn(move || serve(&state, Connection::new(stream)));
    }
}

fn serve(state: &Monitor<State>, mut connection: Connection) {
    while let Ok(Some(request)) = connection.read() {
        let response = match handle(state, &request) {
            Outcome::Reply(response) => response,
            Outcome::Close => break,
            Outcome::Ignore => {
                connection.discard_until_closed();
                break;
            }
        };
        if connection.write(&response).is_err() {
            break;
        }
    }
    // `State::streams` holds a clone of the socket, which would keep the connection open without
    // this shutdown.
    let _ = connection.stream().shutdown(std::net::Shutdown::Both);
    let closed_peer = connection.stream().peer_addr().ok();
    let mut guard = state.lock();
    guard.streams.retain(|other| {
        let peer = other.peer_addr().ok();
        peer.is_some() && peer != closed_peer
    });
}

/// What a connection does with a request: reply, close, or leave it unanswered.
enum Outcome {
    Reply(Response),
    Close,
    Ignore,
}

/// Kind of a call, for the counts and rate limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallKind {
    Lease,
    Members,
    Read,
    Watch,
    Write,
}

fn call_kind(request: &Request) -> CallKind {
    match (request.method.as_str(), request.path()) {
        ("GET", _) if request.query_number("watch").is_some() => CallKind::Watch,
        ("GET", "/members") => CallKind::Members,
        (_, path) if path.starts_with("/leases") => CallKind::Lease,
        ("PUT" | "DELETE", _) => CallKind::Write,
        _ => CallKind::Read,
    }
}

fn handle(state: &Monitor<State>, request: &Request) -> Outcome {
    let kind = call_kind(request);
    let behaviour = state.update(|state| {
        state.count(kind);
        state.behaviour
    });
    match behaviour.outage {
        Outage::None => {}
        Outage::Reject => return Outcome::Reply(Response::empty(503)),
        Outage::Unresponsive => return Outcome::Ignore,
    }
    if state.update(|state| state.exceeds_rate(kind)) {
        return Outcome::Reply(Response::empty(429).with_header("Retry-After", 1));
    }
    std::thread::sleep(behaviour.call_delay);
    if kind == CallKind::Watch {
        return watch(state, request);
    }
    let response = state.update(|state| state.respond(request));
    if kind == CallKind::Write && state.update(State::take_lost_reply) {
        return Outcome::Close;
    }
    Outcome::Reply(response)
}

/// Waits for a version that differs from the one that the client knows.
fn watch(state: &Monitor<State>, request: &Request) -> Outcome {
    let known = request.query_number("watch").unwrap_or(0);
    let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        let next_check = until.min(Instant::now() + EXPIRY_CHECK_INTERVAL);
        let outcome = state.wait(next_check, |state| state.poll_watch(request, known));
        if let Some(outcome) = outcome {
            return outcome;
        }
        if Instant::now() >= until {
            return Outcome::Reply(Response::empty(304).with_header("Version", known));
        }
    }
}

impl State {
    fn count(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Lease => &mut self.calls.leases,
            CallKind::Members => &mut self.calls.members,
            CallKind::Read => &mut self.calls.reads,
            CallKind::Watch => &mut self.calls.watches,
            CallKind::Write => &mut self.calls.writes,
        };
        *count += 1;
    }

    /// Counts a call in the current window; returns whether it exceeds the rate limit.
    fn exceeds_rate(&mut self, kind: CallKind) -> bool {
        let now = Instant::now();
        let is_current = self
            .window
            .started
            .is_some_and(|started| now - started < RATE_WINDOW);
        if !is_current {
            self.window = Window {
                started: Some(now),
                ..Window::default()
            };
        }
        let (count, limit) = match kind {
            CallKind::Lease | CallKind::Write => {
                (&mut self.window.writes, self.behaviour.writes_per_second)
            }
            CallKind::Members | CallKind::Read | CallKind::Watch => {
                (&mut self.window.reads, self.behaviour.reads_per_second)
            }
        };
        *count += 1;
        let exceeds = limit.is_some_and(|limit| *count > limit);
        self.calls.rate_limited += u64::from(exceeds);
        exceeds
    }

    /// Returns whether the reply to a write is to be lost, and counts it off if it is.
    fn take_lost_reply(&mut self) -> bool {
        let loses = self.behaviour.lost_replies > 0;
        self.behaviour.lost_replies -= u32::from(loses);
        loses
    }

    /// Returns the outcome of a watch if there is a change, an outage, or the platform has closed;
    /// `None` if the watch is to wait further.
    fn poll_watch(&mut self, request: &Request, known: u64) -> Option<Outcome> {
        if self.closed {
            return Some(Outcome::Close);
        }
        match self.behaviour.outage {
            Outage::None => {}
            Outage::Reject => return Some(Outcome::Reply(Response::empty(503))),
            Outage::Unresponsive => return Some(Outcome::Ignore),
        }
        self.store.expire_leases();
        let version = match request.path().strip_prefix("/kv/") {
            Some(key) => self.store.get(key).0,
            None => self.members_version,
        };
        (version != known).then(|| Outcome::Reply(self.respond(request)))
    }

    fn respond(&mut self, request: &Request) -> Response {
        self.store.expire_leases();
        let path = request.path();
        if let Some(key) = path.strip_prefix("/kv/") {
            return match request.method.as_str() {
                "GET" => self.read(key),
                "PUT" | "DELETE" => self.write(key, request),
                _ => Response::empty(405),
            };
        }
        match (request.method.as_str(), path) {
            ("GET", "/members") => self.list_members(),
            ("POST", "/leases") => self.grant(request),
            ("POST" | "DELETE", _) => self.change_lease(request),
            _ => Response::empty(404),
        }
    }

    fn read(&self, key: &str) -> Response {
        match self.store.get(key) {
            (version, Some(value)) => Response::new(200, value).with_header("Version", version),
            (_, None) => Response::empty(404).with_header("Version", 0),
        }
    }

    fn write(&mut self, key: &str, request: &Request) -> Response {
        let Some(expected) = request.header_number("If-Version") else {
            return Response::empty(400);
        };
        if request.body.len() > MAX_VALUE_BYTES {
            return Response::empty(413);
        }
        let lease = request.header_number("Lease");
        if lease.is_some_and(|id| !self.store.has_lease(id)) {
            return Response::empty(404).with_header("Version", self.store.get(key).0);
        }
        let written = match request.method.as_str() {
            "PUT" => self.store.put(key, expected, request.body.clone(), lease),
            _ => self.store.delete(key, expected).map(|()| 0),
        };
        match written {
            Ok(version) => Response::empty(200).with_header("Version", version),
            Err((version, value)) => Response::new(409, value).with_header("Version", version),
        }
    }

    fn list_members(&self) -> Response {
        let members = self.members.iter().map(|member| json!(member));
        let members: Vec<Value> = self.odd_members.iter().cloned().chain(members).collect();
        let body = json!({ "version": self.members_version, "members": members });
        Response::json(200, &body).with_header("Version", self.members_version)
    }

    fn grant(&mut self, request: &Request) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let Some(ttl_ms) = body["ttl_ms"].as_u64() else {
            return Response::empty(400);
        };
        let id = self.store.grant(Duration::from_millis(ttl_ms));
        Response::json(200, &json!({ "lease": id, "ttl_ms": ttl_ms }))
    }

    fn change_lease(&mut self, request: &Request) -> Response {
        let id = request.path().strip_prefix("/leases/");
        let Some(id) = id.and_then(|id| id.parse().ok()) else {
            return Response::empty(404);
        };
        if request.method == "DELETE" {
            self.store.revoke(id);
            return Response::empty(200);
        }
        match self.store.renew(id) {
            Some(ttl) => {
                let body = json!({ "lease": id, "ttl_ms": ttl.as_millis() as u64 });
                Response::json(200, &body)
            }
            None => Response::empty(404),
        }
    }
}
