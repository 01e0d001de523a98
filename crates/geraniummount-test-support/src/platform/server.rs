//! Threads of the stand-in platform: accepting, and serving one connection.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Outage, State, Window};
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

const MAX_VALUE_BYTES: usize = 1024 * 1024;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Period in which a waiting watch looks for lapsed leases.
const LAPSE_PERIOD: Duration = Duration::from_millis(50);

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
            Handled::Reply(response) => response,
            Handled::Close => break,
            Handled::Silence => {
                connection.swallow();
                break;
            }
        };
        if connection.write(&response).is_err() {
            break;
        }
    }
    // The copy kept for closing would hold the socket open.
    let _ = connection.stream().shutdown(std::net::Shutdown::Both);
    let local = connection.stream().peer_addr().ok();
    let mut guard = state.lock();
    guard.streams.retain(|other| {
        let peer = other.peer_addr().ok();
        peer.is_some() && peer != local
    });
}

/// What a connection does after a request.
enum Handled {
    Reply(Response),
    Close,
    Silence,
}

/// Kinds of calls, as they are counted and limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Lease,
    Members,
    Read,
    Watch,
    Write,
}

fn kind(request: &Request) -> Kind {
    match (request.method.as_str(), request.path()) {
        ("GET", _) if request.query("watch").is_some() => Kind::Watch,
        ("GET", "/members") => Kind::Members,
        (_, path) if path.starts_with("/leases") => Kind::Lease,
        ("PUT" | "DELETE", _) => Kind::Write,
        _ => Kind::Read,
    }
}

fn handle(state: &Monitor<State>, request: &Request) -> Handled {
    let kind = kind(request);
    let behaviour = state.update(|state| {
        state.count(kind);
        state.behaviour
    });
    match behaviour.outage {
        Outage::None => {}
        Outage::Refuse => return Handled::Reply(Response::empty(503)),
        Outage::Silence => return Handled::Silence,
    }
    if state.update(|state| state.exceeds_rate(kind)) {
        return Handled::Reply(Response::empty(429).with("Retry-After", 1));
    }
    std::thread::sleep(behaviour.slowness);
    if kind == Kind::Watch {
        return watch(state, request);
    }
    let response = state.update(|state| state.answer(request));
    if kind == Kind::Write && state.update(State::loses_reply) {
        return Handled::Close;
    }
    Handled::Reply(response)
}

/// Waits for a version other than the one that the client knows.
fn watch(state: &Monitor<State>, request: &Request) -> Handled {
    let known = request.query("watch").unwrap_or(0);
    let wait = Duration::from_millis(request.query("wait_ms").unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        let step = until.min(Instant::now() + LAPSE_PERIOD);
        let end = state.wait(step, |state| state.watched(request, known));
        if let Some(end) = end {
            return end;
        }
        if Instant::now() >= until {
            return Handled::Reply(Response::empty(304).with("Version", known));
        }
    }
}

impl State {
    fn count(&mut self, kind: Kind) {
        let count = match kind {
            Kind::Lease => &mut self.calls.leases,
            Kind::Members => &mut self.calls.members,
            Kind::Read => &mut self.calls.reads,
            Kind::Watch => &mut self.calls.watches,
            Kind::Write => &mut self.calls.writes,
        };
        *count += 1;
    }

    /// Counts a call in the current second; returns whether it is too many.
    fn exceeds_rate(&mut self, kind: Kind) -> bool {
        let now = Instant::now();
        let fresh = self
            .window
            .began
            .is_some_and(|began| now - began < RATE_WINDOW);
        if !fresh {
            self.window = Window {
                began: Some(now),
                ..Window::default()
            };
        }
        let (count, limit) = match kind {
            Kind::Lease | Kind::Write => {
                (&mut self.window.writes, self.behaviour.writes_per_second)
            }
            Kind::Members | Kind::Read | Kind::Watch => {
                (&mut self.window.reads, self.behaviour.reads_per_second)
            }
        };
        *count += 1;
        let exceeds = limit.is_some_and(|limit| *count > limit);
        self.calls.limited += u64::from(exceeds);
        exceeds
    }

    fn loses_reply(&mut self) -> bool {
        let loses = self.behaviour.lost_replies > 0;
        self.behaviour.lost_replies -= u32::from(loses);
        loses
    }

    /// Ends a watch when there is a change, an outage or the end.
    fn watched(&mut self, request: &Request, known: u64) -> Option<Handled> {
        if self.closed {
            return Some(Handled::Close);
        }
        match self.behaviour.outage {
            Outage::None => {}
            Outage::Refuse => return Some(Handled::Reply(Response::empty(503))),
            Outage::Silence => return Some(Handled::Silence),
        }
        self.store.lapse();
        let version = match request.path().strip_prefix("/kv/") {
            Some(key) => self.store.get(key).0,
            None => self.members_version,
        };
        (version != known).then(|| Handled::Reply(self.answer(request)))
    }

    fn answer(&mut self, request: &Request) -> Response {
        self.store.lapse();
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
            (version, Some(value)) => Response::new(200, value).with("Version", version),
            (_, None) => Response::empty(404).with("Version", 0),
        }
    }

    fn write(&mut self, key: &str, request: &Request) -> Response {
        let Some(expected) = request.number("If-Version") else {
            return Response::empty(400);
        };
        if request.body.len() > MAX_VALUE_BYTES {
            return Response::empty(413);
        }
        let lease = request.number("Lease");
        if lease.is_some_and(|id| !self.store.holds(id)) {
            return Response::empty(404).with("Version", self.store.get(key).0);
        }
        let written = match request.method.as_str() {
            "PUT" => self.store.put(key, expected, request.body.clone(), lease),
            _ => self.store.delete(key, expected).map(|()| 0),
        };
        match written {
            Ok(version) => Response::empty(200).with("Version", version),
            Err((version, value)) => Response::new(409, value).with("Version", version),
        }
    }

    fn list_members(&self) -> Response {
        let body = json!({ "version": self.members_version, "members": self.members });
        Response::json(200, &body).with("Version", self.members_version)
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
            self.store.end(id);
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
