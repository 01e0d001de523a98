//! Stand-in for a leaf that callers' requests are routed to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use super::Store;
use super::serving::Serving;
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

/// How a leaf answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Answer {
    /// As it should.
    #[default]
    Whole,
    /// After a pause.
    Late(Duration),
    /// Rejects the request without running it.
    Rejected,
    /// With a failure of its own, after running it.
    Failed,
    /// Runs it and ends the connection without an answer.
    Lost,
    /// Runs it and breaks off within the body.
    Truncated,
    /// Without a length; the end of the connection ends it.
    Unframed,
    /// With a second answer behind it that belongs to no request.
    Doubled,
    /// With an answer to another request first.
    ForeignFirst,
    /// With bytes that are no answer.
    Garbage,
    /// With a content coding that nobody asked for.
    Encoded,
}

/// Body of an answer to another request.
const FOREIGN: &[u8] = b"an answer to another request";

/// A running stand-in; dropping it closes it.
#[derive(Debug)]
pub struct Leaf {
    id: String,
    service: String,
    domain: String,
    /// Where callers are told that it listens.
    advertised: SocketAddr,
    state: Arc<Monitor<State>>,
    serving: Serving,
}

/// A request that a leaf ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    answer: Answer,
    /// Records that it holds.
    records: Vec<u8>,
    /// Requests that it ran, in order.
    runs: Vec<Run>,
    /// Requests whose connection closed before the answer was due.
    cancelled: u64,
}

static NEXT_RUN: AtomicU64 = AtomicU64::new(1);

/// The signature of a leaf's answer to a request.
pub fn signature(leaf: &str, id: &str) -> String {
    format!("{leaf}.{id}")
}

impl Leaf {
    /// Starts a leaf of a service and registers it.
    pub fn start(store: &Store, service: &str, domain: &str, records: &[u8]) -> Leaf {
        let mut leaf = Leaf::unregistered(service, domain, records);
        leaf.register_at(store, leaf.address());
        leaf
    }

    /// Starts a leaf of a service that is not registered yet.
    pub fn unregistered(service: &str, domain: &str, records: &[u8]) -> Leaf {
        let number = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number:06x}");
        let state: Arc<Monitor<State>> = Arc::default();
        state.update(|state| state.records = records.to_vec());
        let (shared, name) = (Arc::clone(&state), id.clone());
        let serving = Serving::start(move |connection| serve(&shared, &name, connection));
        Leaf {
            id,
            service: service.to_string(),
            domain: domain.to_string(),
            advertised: serving.address(),
            state,
            serving,
        }
    }

    /// Registers it under another address than its own, such as a proxy's.
    pub fn register_at(&mut self, store: &Store, advertised: SocketAddr) {
        self.advertised = advertised;
        self.register(store, "ready");
    }

    /// Writes its registration with a state.
    pub fn register(&self, store: &Store, state: &str) {
        let entry = json!({
            "backend": self.service, "address": self.advertised.to_string(),
            "zone": self.domain, "version": "v1", "concurrency": 2, "state": state,
            "warmupLeftMs": 0, "seq": 1, "born": 1_700_000_000_000_u64,
        });
        store.put(&self.key(), entry.to_string());
    }

    /// Key of its registration.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Sets how it answers from now on.
    pub fn set_answer(&self, answer: Answer) {
        self.state.update(|state| state.answer = answer);
    }

    /// Ids of the requests that it ran, in order.
    pub fn runs(&self) -> Vec<String> {
        let state = self.state.lock();
        state.runs.iter().map(|run| run.id.clone()).collect()
    }

    /// Requests that it ran, in order, with their times.
    pub fn timed_runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Requests whose connection closed before the answer was due.
    pub fn cancelled(&self) -> u64 {
        self.state.lock().cancelled
    }
}

fn serve(state: &Monitor<State>, leaf: &str, mut connection: Connection) {
    while let Ok(Some(request)) = connection.read() {
        if !answer(state, leaf, &request, &mut connection) {
            break;
        }
    }
    // The copy kept for closing would hold the socket open.
    let _ = connection.stream().shutdown(std::net::Shutdown::Both);
}

/// Answers a request; returns whether the connection goes on.
fn answer(
    state: &Monitor<State>,
    leaf: &str,
    request: &Request,
    connection: &mut Connection,
) -> bool {
    let Some(id) = request.header("Request-Id").map(str::to_string) else {
        let unnamed = Response::empty(400).with("Request-Not-Run", 1);
        return connection.write(&unnamed).is_ok();
    };
    if request
        .header("Expect-Instance")
        .is_some_and(|wanted| wanted != leaf)
    {
        let other = Response::empty(421).with("Instance-Id", leaf);
        return connection.write(&other).is_ok();
    }
    let how = state.lock().answer;
    if how == Answer::Rejected {
        let rejected = Response::empty(503).with("Request-Not-Run", 1);
        return connection.write(&rejected).is_ok();
    }
    let run_now = Run {
        id: id.clone(),
        at: Instant::now(),
    };
    state.update(|state| state.runs.push(run_now));
    run(state, leaf, request, connection, how)
}

/// Answers a request that it has run; returns whether the connection goes on.
fn run(
    state: &Monitor<State>,
    leaf: &str,
    request: &Request,
    connection: &mut Connection,
    how: Answer,
) -> bool {
    let id = request.header("Request-Id").unwrap_or_default().to_string();
    let body = if request.body.is_empty() {
        state.lock().records.clone()
    } else {
        request.body.clone()
    };
    let whole = Response::new(200, body.clone())
        .with("Request-Id", &id)
        .with("Server-Stamp", signature(leaf, &id));
    match how {
        Answer::Whole | Answer::Rejected => connection.write(&whole).is_ok(),
        Answer::Late(pause) => {
            std::thread::sleep(pause);
            if connection.is_closed() {
                state.update(|state| state.cancelled += 1);
                return false;
            }
            connection.write(&whole).is_ok()
        }
        Answer::Failed => {
            let failed = Response::empty(500)
                .with("Request-Id", &id)
                .with("Server-Stamp", signature(leaf, &id));
            connection.write(&failed).is_ok()
        }
        Answer::Lost => false,
        Answer::Truncated => {
            let _ = connection.write_truncated(&whole);
            false
        }
        Answer::Unframed => {
            let stamp = signature(leaf, &id);
            let head =
                format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\n\r\n");
            let _ = connection.write_raw(&[head.as_bytes(), &body].concat());
            false
        }
        Answer::Doubled => {
            let bytes = whole.to_bytes();
            connection
                .write_raw(&[bytes.clone(), bytes].concat())
                .is_ok()
        }
        Answer::ForeignFirst => {
            let foreign = Response::new(200, FOREIGN)
                .with("Request-Id", "another")
                .with("Server-Stamp", signature(leaf, "another"));
            connection
                .write_raw(&[foreign.to_bytes(), whole.to_bytes()].concat())
                .is_ok()
        }
        Answer::Garbage => {
            let _ = connection.write_raw(b"no answer at all\r\n\r\n");
            false
        }
        Answer::Encoded => connection
            .write(&whole.with("Content-Encoding", "gzip"))
            .is_ok(),
    }
}
