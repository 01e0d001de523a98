//! Stand-in for a leaf that the gateway routes callers' requests to.
//!
//! The signature is the text in a leaf's answer by which the leaf identifies itself and the request
//! that it answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use super::Store;
use super::server::Server;
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

/// How a leaf answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Answer {
    /// Completely and correctly.
    #[default]
    Whole,
    /// Correctly, after this delay.
    Late(Duration),
    /// With status 503, without running the request.
    Rejected,
    /// The first request of each connection in this mode with status 503 and without an id, without
    /// running it. The next one on that connection is run, and a second copy of that answer comes
    /// before its own.
    RejectedTwice,
    /// Two requests of five with status 503 as their time ends, without running them, as if they had
    /// waited in the leaf's queue until then; the others completely and correctly.
    OftenExpired,
    /// With status 500, after running the request.
    Failed,
    /// Not at all: runs the request and closes the connection.
    Lost,
    /// Partly: runs the request and closes the connection in the middle of the body.
    Truncated,
    /// Without a `Content-Length`; closing the connection ends the body.
    Unframed,
    /// Twice; the second answer belongs to no request.
    Doubled,
    /// With an answer to another request before the correct one.
    ForeignFirst,
    /// With bytes that are not HTTP.
    Garbage,
    /// With a `Content-Encoding` that the request did not ask for.
    Encoded,
    /// Without the last bytes, of this number: closes the connection before them.
    Cut(Framing, usize),
}

/// How an answer tells where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By chunks, with a trailer.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns an answer with a signature and a body, both of the leaf's.
    pub(crate) fn answer(self, id: &str, stamp: &str, body: &[u8]) -> Vec<u8> {
        let length = body.len();
        let (field, start, end) = match self {
            Framing::Length => (format!("Content-Length: {length}\r\n"), String::new(), ""),
            Framing::Chunked => (
                "Transfer-Encoding: chunked\r\n".to_string(),
                format!("{length:x}\r\n"),
                "\r\n0\r\nTrailer: a\r\n\r\n",
            ),
            Framing::UntilClose => (String::new(), String::new(), ""),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nServer-Stamp: {stamp}\r\n{field}Request-Id: {id}\r\n\r\n{start}"
        );
        [head.as_bytes(), body, end.as_bytes()].concat()
    }
}

/// Body of an answer to another request.
const FOREIGN: &[u8] = b"an answer to another request";

/// Of this number of requests, [`Answer::OftenExpired`] rejects [`EXPIRED_OF_PERIOD`].
const EXPIRY_PERIOD: usize = 5;
const EXPIRED_OF_PERIOD: usize = 2;

/// Start time of a leaf in milliseconds since the Unix epoch.
const DEFAULT_START_MS: u64 = 1_700_000_000_000;

/// A running stand-in, stopped when it is dropped.
#[derive(Debug)]
pub struct Leaf {
    id: String,
    service: String,
    domain: String,
    /// Address in the leaf's registration.
    advertised: SocketAddr,
    state: Arc<Monitor<State>>,
    server: Server,
}

/// A request that a leaf ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// When the request arrived.
    pub arrived: Instant,
    /// Address that its connection came from; `None` if the connection ended at once.
    pub peer: Option<SocketAddr>,
}

#[derive(Debug, Default)]
struct State {
    answer: Answer,
    /// Records that the leaf returns for a request without a body.
    records: Vec<u8>,
    /// Requests that the leaf ran, in order of arrival.
    runs: Vec<Run>,
    /// Requests whose connection closed before the answer was due.
    cancelled: u64,
    /// Requests that reached the leaf, including those that it did not run, with the time of each.
    arrivals: Vec<Run>,
    /// Header fields of the requests that reached the leaf.
    heads: Vec<Vec<(String, String)>>,
    /// Number of registrations that the leaf has written.
    heartbeats: u64,
    /// Requests that the leaf rejected with a time without requests, with the time of each.
    pauses: Vec<Run>,
    /// Whether all answers say that the leaf is leaving.
    is_leaving: bool,
    /// Value of `Retry-After` in the answers with status 503.
    retry_after: Option<String>,
    /// Value of `Server-Limit` in all answers.
    limit: Option<String>,
    /// Field that is added to all answers, by name and value.
    extra_field: Option<(&'static str, String)>,
    /// Body of the requests that crash the leaf.
    crash_body: Option<Vec<u8>>,
    /// Request that crashed the leaf.
    crashed_by: Option<Run>,
}

static NEXT_LEAF_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns the signature of a leaf's answer to the request with this id.
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

    /// Starts a leaf of a service without registering it.
    pub fn unregistered(service: &str, domain: &str, records: &[u8]) -> Leaf {
        let number = NEXT_LEAF_NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number:06x}");
        let state: Arc<Monitor<State>> = Arc::default();
        state.update(|state| state.records = records.to_vec());
        let (shared, name) = (Arc::clone(&state), id.clone());
        let server = Server::start(move |connection| serve(&shared, &name, connection));
        Leaf {
            id,
            service: service.to_string(),
            domain: domain.to_string(),
            advertised: server.address(),
            state,
            server,
        }
    }

    /// Registers the leaf as ready under the given address, such as that of a proxy in front of it.
    pub fn register_at(&mut self, store: &Store, advertised: SocketAddr) {
        self.advertised = advertised;
        self.register(store, "ready");
    }

    /// Writes the registration of the leaf with the given state.
    pub fn register(&self, store: &Store, state: &str) {
        self.write(store, state, DEFAULT_START_MS, Duration::ZERO);
    }

    /// Writes the registration of the leaf as ready and cold for a time.
    pub fn register_cold(&self, store: &Store, left: Duration) {
        self.write(store, "ready", DEFAULT_START_MS, left);
    }

    /// Writes the registration of another start of the leaf, as ready, with its start time in
    /// milliseconds since the Unix epoch.
    pub fn register_start(&self, store: &Store, started_at_ms: u64) {
        self.write(store, "ready", started_at_ms, Duration::ZERO);
    }

    fn write(&self, store: &Store, state: &str, started_at_ms: u64, warm_up_left: Duration) {
        let warm_up_left_ms = u64::try_from(warm_up_left.as_millis()).unwrap_or(u64::MAX);
        let heartbeat = self.state.update(|state| {
            state.heartbeats += 1;
            state.heartbeats
        });
        let entry = json!({
            "backend": self.service, "address": self.advertised.to_string(),
            "zone": self.domain, "version": "v1", "concurrency": 2, "state": state,
            "warmupLeftMs": warm_up_left_ms, "seq": heartbeat, "born": started_at_ms,
        });
        store.put(&self.key(), entry.to_string());
    }

    /// Returns the store key of the leaf's registration.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the id of the leaf.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address that the leaf listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how the leaf answers from now on.
    pub fn set_answer(&self, answer: Answer) {
        self.state.update(|state| state.answer = answer);
    }

    /// Sets the records that the leaf returns for a request without a body.
    pub fn set_records(&self, records: &[u8]) {
        self.state.update(|state| state.records = records.to_vec());
    }

    /// Sets whether all answers say that the leaf is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state.update(|state| state.is_leaving = is_leaving);
    }

    /// Sets the value of `Retry-After` in the answers with status 503.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        let retry_after = retry_after.map(str::to_string);
        self.state.update(|state| state.retry_after = retry_after);
    }

    /// Sets the value of `Server-Limit` in all answers.
    pub fn set_limit(&self, limit: Option<&str>) {
        let limit = limit.map(str::to_string);
        self.state.update(|state| state.limit = limit);
    }

    /// Adds a field to all answers.
    pub fn set_extra_field(&self, name: &'static str, value: &str) {
        let field = Some((name, value.to_string()));
        self.state.update(|state| state.extra_field = field);
    }

    /// Makes each request with this body crash the leaf as soon as the leaf runs it: all
    /// connections are closed without an answer, and no further request is run.
    pub fn set_crash_body(&self, body: &[u8]) {
        let body = body.to_vec();
        self.state.update(|state| state.crash_body = Some(body));
    }

    /// Returns the request that crashed the leaf, if one did.
    pub fn crashed_by(&self) -> Option<Run> {
        self.state.lock().crashed_by.clone()
    }

    /// Returns the requests that reached the leaf, including those that it did not run, in order of
    /// arrival.
    pub fn arrivals(&self) -> Vec<Run> {
        self.state.lock().arrivals.clone()
    }

    /// Returns the header fields, names and values as received, of the requests that reached the
    /// leaf, in order of arrival.
    pub fn heads(&self) -> Vec<Vec<(String, String)>> {
        self.state.lock().heads.clone()
    }

    /// Forgets the header fields of the requests so far.
    pub fn clear_heads(&self) {
        self.state.update(|state| state.heads.clear());
    }

    /// Returns the requests that the leaf rejected with a time without requests, in order of
    /// arrival.
    pub fn pauses(&self) -> Vec<Run> {
        self.state.lock().pauses.clone()
    }

    /// Returns the ids of the requests that the leaf ran, in order of arrival.
    pub fn runs(&self) -> Vec<String> {
        let state = self.state.lock();
        state.runs.iter().map(|run| run.id.clone()).collect()
    }

    /// Returns the requests that the leaf ran, in order of arrival, with their arrival times.
    pub fn timed_runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Returns the number of requests whose connection closed before the answer was due.
    pub fn cancelled(&self) -> u64 {
        self.state.lock().cancelled
    }
}

fn serve(state: &Monitor<State>, leaf: &str, mut connection: Connection) {
    let mut has_rejected = false;
    while let Ok(Some(request)) = connection.read() {
        if !answer(state, leaf, &request, &mut connection, &mut has_rejected) {
            break;
        }
    }
    // `Server` holds a clone of the socket, which would keep the connection open without this
    // shutdown.
    let _ = connection.stream().shutdown(std::net::Shutdown::Both);
}

/// Answers a request; returns whether to keep the connection. `has_rejected` is whether the
/// connection has got the first answer of [`Answer::RejectedTwice`].
fn answer(
    state: &Monitor<State>,
    leaf: &str,
    request: &Request,
    connection: &mut Connection,
    has_rejected: &mut bool,
) -> bool {
    let Some(id) = request.header("Request-Id").map(str::to_string) else {
        let missing_id = Response::empty(400).with_header("Request-Not-Run", 1);
        return connection.write(&missing_id).is_ok();
    };
    if request
        .header("Expect-Instance")
        .is_some_and(|wanted| wanted != leaf)
    {
        let misdirected = Response::empty(421).with_header("Instance-Id", leaf);
        return connection.write(&misdirected).is_ok();
    }
    let new_run = Run {
        id: id.clone(),
        arrived: Instant::now(),
        peer: connection.stream().peer_addr().ok(),
    };
    let (mode, retry_after, is_down, count) = state.update(|state| {
        if state.crash_body.as_ref() == Some(&request.body) {
            state.crashed_by.get_or_insert_with(|| new_run.clone());
        }
        let is_down = state.crashed_by.is_some();
        if !is_down {
            state.arrivals.push(new_run.clone());
            state.heads.push(request.headers().to_vec());
        }
        let count = state.arrivals.len();
        (state.answer, state.retry_after.clone(), is_down, count)
    });
    if is_down {
        return false;
    }
    if mode == Answer::Rejected {
        let mut rejected = Response::empty(503).with_header("Request-Not-Run", 1);
        if let Some(retry_after) = retry_after {
            state.update(|state| state.pauses.push(new_run));
            rejected = rejected.with_header("Retry-After", retry_after);
        }
        return connection.write(&with_notice(state, rejected)).is_ok();
    }
    if mode == Answer::RejectedTwice && !*has_rejected {
        *has_rejected = true;
        return connection.write(&rejection()).is_ok();
    }
    if mode == Answer::OftenExpired && count % EXPIRY_PERIOD < EXPIRED_OF_PERIOD {
        std::thread::sleep(deadline(request));
        let rejected = Response::empty(503)
            .with_header("Request-Not-Run", 1)
            .with_header("Request-Id", &id);
        return connection.write(&rejected).is_ok();
    }
    state.update(|state| state.runs.push(new_run));
    run(state, leaf, request, connection, mode)
}

/// Returns an answer that rejects a request and does not name it.
fn rejection() -> Response {
    Response::empty(503).with_header("Request-Not-Run", 1)
}

/// Returns the time that the sender of a request waits for the answer.
fn deadline(request: &Request) -> Duration {
    let ms = request.header("Deadline-Ms").and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or_default())
}

/// Adds the notice that the leaf is leaving, if it is, and its limit, if it has one.
fn with_notice(state: &Monitor<State>, mut response: Response) -> Response {
    let state = state.lock();
    if state.is_leaving {
        response = response.with_header("Server-Leaving", 1);
    }
    if let Some(limit) = &state.limit {
        response = response.with_header("Server-Limit", limit);
    }
    if let Some((name, value)) = &state.extra_field {
        response = response.with_header(name, value);
    }
    response
}

/// Returns an answer of the leaf to another request.
fn foreign(leaf: &str) -> Response {
    Response::new(200, FOREIGN)
        .with_header("Request-Id", "another")
        .with_header("Server-Stamp", signature(leaf, "another"))
}

/// Answers a request that was logged as run; returns whether to keep the connection.
fn run(
    state: &Monitor<State>,
    leaf: &str,
    request: &Request,
    connection: &mut Connection,
    mode: Answer,
) -> bool {
    let id = request.header("Request-Id").unwrap_or_default().to_string();
    let body = if request.body.is_empty() {
        state.lock().records.clone()
    } else {
        request.body.clone()
    };
    let whole = Response::new(200, body.clone())
        .with_header("Request-Id", &id)
        .with_header("Server-Stamp", signature(leaf, &id));
    let whole = with_notice(state, whole);
    match mode {
        Answer::Whole | Answer::Rejected | Answer::OftenExpired => connection.write(&whole).is_ok(),
        Answer::Late(delay) => {
            std::thread::sleep(delay);
            if connection.is_closed() {
                state.update(|state| state.cancelled += 1);
                return false;
            }
            connection.write(&whole).is_ok()
        }
        Answer::Failed => {
            let failed = Response::empty(500)
                .with_header("Request-Id", &id)
                .with_header("Server-Stamp", signature(leaf, &id));
            connection.write(&failed).is_ok()
        }
        Answer::Lost => false,
        Answer::Truncated => {
            let _ = connection.write_truncated(&whole);
            false
        }
        Answer::Unframed => {
            let unframed = Framing::UntilClose.answer(&id, &signature(leaf, &id), &body);
            let _ = connection.write_raw(&unframed);
            false
        }
        Answer::RejectedTwice => {
            let answers = [rejection().to_bytes(), whole.to_bytes()];
            connection.write_raw(&answers.concat()).is_ok()
        }
        Answer::Doubled => connection.write_raw(&whole.to_bytes().repeat(2)).is_ok(),
        Answer::ForeignFirst => {
            let answers = [foreign(leaf).to_bytes(), whole.to_bytes()];
            connection.write_raw(&answers.concat()).is_ok()
        }
        Answer::Garbage => {
            let _ = connection.write_raw(b"no answer at all\r\n\r\n");
            false
        }
        Answer::Cut(framing, missing) => {
            let bytes = framing.answer(&id, &signature(leaf, &id), &body);
            let sent = bytes.len().saturating_sub(missing);
            let _ = connection.write_raw(&bytes[..sent]);
            missing == 0
        }
        Answer::Encoded => connection
            .write(&whole.with_header("Content-Encoding", "gzip"))
            .is_ok(),
    }
}
