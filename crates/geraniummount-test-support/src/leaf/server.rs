//! Threads of a stand-in leaf: one accepts connections, the others serve one connection each.
//!
//! An incarnation is the time from a start of the leaf until it is killed. A slot is the capacity
//! to run one request: the leaf runs at most as many at once as it has slots. An attempt is one try
//! of a VM to run a request at a leaf, with an id; a snapshot is a version of the index, given by
//! its number. `State` is all data that the threads share, `LeafState` the state that the leaf
//! reports.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use super::state::State;
use super::{Ending, Execution, Fault, Health, Overload, State as LeafState};
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

/// Stack size of a thread; small because hundreds of leaves share a process.
pub(super) const STACK_BYTES: usize = 256 * 1024;

/// Time for the thread of a closed connection to notice the close. A connection that arrives while
/// the leaf's maximum number of connections ([`Behaviour::connections`](super::Behaviour)) is open
/// waits this long for one of them to be released. If none is, the new connection is closed and
/// counted as a violation of that limit.
const CLOSE_GRACE: Duration = Duration::from_millis(200);

/// Interval at which a thread checks whether its client has closed while a request waits or
/// runs.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout, in practice never reached, of a wait that ends when the state changes.
const FOREVER: Duration = Duration::from_secs(24 * 3600);

/// Accepts connections until the leaf is killed, which ends the incarnation.
pub(super) fn accept(listener: &TcpListener, state: &Arc<Monitor<State>>, incarnation: u64) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        // A frozen leaf stands for a suspended process, which neither reads, writes nor accepts.
        if wait_while_frozen(state, incarnation).is_err() {
            return;
        }
        let until = Instant::now() + CLOSE_GRACE;
        let Some(connection_id) = state.wait(until, |state| state.admit(&stream)) else {
            state.update(State::record_violation);
            continue;
        };
        let session = Session {
            state: Arc::clone(state),
            incarnation,
            connection_id,
            connection: Connection::new(stream),
        };
        let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
        if thread.spawn(move || session.serve()).is_err() {
            state.update(|state| state.release(connection_id, incarnation));
        }
    }
}

/// Waits until the leaf is not frozen; fails if the incarnation has ended.
fn wait_while_frozen(state: &Monitor<State>, incarnation: u64) -> io::Result<()> {
    let wait = state.wait(Instant::now() + FOREVER, |state| {
        if !state.is_current(incarnation) {
            return Some(Err(io::Error::other("leaf was killed")));
        }
        (!state.frozen).then_some(Ok(()))
    });
    wait.unwrap_or(Ok(()))
}

/// What happens to the connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Close,
    Keep,
}

/// One connection and the thread that serves it.
struct Session {
    state: Arc<Monitor<State>>,
    incarnation: u64,
    connection_id: usize,
    connection: Connection,
}

/// A search or execute request, as read from its headers.
struct Work {
    attempt: u64,
    shard: String,
    snapshot: u64,
    deadline: Instant,
}

impl Session {
    fn serve(mut self) {
        let open_delay = self.state.lock().behaviour.open_delay;
        std::thread::sleep(open_delay);
        while matches!(self.serve_one(), Ok(Next::Keep)) {}
        // The socket is shut down before the connection is released, because the leaf's count of
        // open connections must never be lower than the number that the client sees open.
        let stream: &TcpStream = self.connection.stream();
        let _ = stream.shutdown(std::net::Shutdown::Both);
        self.release();
    }

    fn release(&self) {
        self.state
            .update(|state| state.release(self.connection_id, self.incarnation));
    }

    fn serve_one(&mut self) -> io::Result<Next> {
        let first_bytes = self.connection.peek()?;
        self.wait_while_frozen()?;
        let runs_work = first_bytes.starts_with(b"POST");
        if first_bytes.is_empty() || (runs_work && self.state.update(State::take_close_before_read))
        {
            return Ok(Next::Close);
        }
        let Some(request) = self.connection.read()? else {
            return Ok(Next::Close);
        };
        self.wait_while_frozen()?;
        match (request.method.as_str(), request.path()) {
            ("POST", "/search" | "/execute") => return self.run(&request),
            ("DELETE", path) if path.starts_with("/attempts/") => self.cancel(path)?,
            ("GET", "/health") => self.write_health()?,
            _ => self.connection.write(&Response::empty(404))?,
        }
        Ok(Next::Keep)
    }

    fn wait_while_frozen(&self) -> io::Result<()> {
        wait_while_frozen(&self.state, self.incarnation)
    }

    fn cancel(&mut self, path: &str) -> io::Result<()> {
        let attempt = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let Some(attempt) = attempt else {
            return self.connection.write(&Response::empty(400));
        };
        let ended = self.state.update(|state| state.cancel(attempt));
        self.connection
            .write(&Response::json(200, &json!({ "ended": ended })))
    }

    fn write_health(&mut self) -> io::Result<()> {
        let response = health_response(&self.state.lock());
        self.connection.write(&response)
    }

    /// Runs a request and replies, both subject to the next fault that a test has injected, if
    /// any.
    fn run(&mut self, request: &Request) -> io::Result<Next> {
        // `CloseBeforeRead` is possible here if it became the next fault after `serve_one` checked
        // for it.
        let fault = self.state.update(State::take_fault);
        if matches!(fault, Some(Fault::CloseBeforeRead | Fault::CloseAfterRead)) {
            return Ok(Next::Close);
        }
        let mut work = match self.check(request) {
            Ok(work) => work,
            Err(response) => {
                self.connection.write(&response)?;
                return Ok(Next::Keep);
            }
        };
        if fault == Some(Fault::WrongSnapshot) {
            work.snapshot += 1;
        }
        self.state
            .update(|state| state.active_attempts.push(work.attempt));
        let response = self.execute(request, &work);
        self.state.update(|state| state.forget(work.attempt));
        self.wait_while_frozen()?;
        if self.crashes(request) {
            self.close_all();
            return Ok(Next::Close);
        }
        self.reply(&response?, &work, fault)
    }

    /// Returns whether a request crashes the leaf.
    fn crashes(&self, request: &Request) -> bool {
        let state = self.state.lock();
        let crash_body = state.behaviour.crash_body.as_deref();
        crash_body.is_some_and(|body| body.as_bytes() == request.body)
    }

    /// Closes all connections of the leaf.
    fn close_all(&self) {
        for stream in self.state.lock().streams() {
            // Fails if the connection is closed already, which is harmless.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Validates a request before it takes a slot; the error is the reply that rejects it.
    fn check(&self, request: &Request) -> Result<Work, Response> {
        let headers = (
            request.header_number("Attempt-Id"),
            request.header_number("Deadline-Ms"),
        );
        let (Some(attempt), Some(deadline_ms)) = headers else {
            return Err(Response::empty(400));
        };
        let state = self.state.lock();
        let behaviour = &state.behaviour;
        if behaviour.state == LeafState::Draining && behaviour.rejects_when_draining {
            return Err(self.empty_response(503, attempt, &state));
        }
        let shard = request.header("Shard").unwrap_or_default().to_string();
        let holds_shard = behaviour.shards.contains(&shard);
        let snapshots = if holds_shard {
            behaviour.snapshots.as_slice()
        } else {
            &[]
        };
        let snapshot = match request.header_number("Snapshot") {
            Some(asked) => snapshots.iter().find(|held| **held == asked),
            None => snapshots.last(),
        };
        let Some(snapshot) = snapshot.copied() else {
            let body = json!({ "snapshots": snapshots });
            return Err(Response::json(410, &body).with_header("Attempt-Id", attempt));
        };
        Ok(Work {
            attempt,
            shard,
            snapshot,
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
        })
    }

    fn empty_response(&self, status: u16, attempt: u64, state: &State) -> Response {
        Response::empty(status)
            .with_header("Attempt-Id", attempt)
            .with_header("Leaf-State", state.behaviour.state.as_str())
    }

    /// Takes a slot, runs the request and returns the reply; an error ends the connection.
    fn execute(&mut self, request: &Request, work: &Work) -> io::Result<Response> {
        let started = match self.take_slot(request, work)? {
            Ok(started) => started,
            Err(rejection) => return Ok(rejection),
        };
        let (index, end) = started;
        let until = end.min(work.deadline);
        let cancelled = self.wait_watching_client(until, |state| {
            state.take_cancelled(work.attempt).then_some(())
        })?;
        let ending = match cancelled {
            Some(()) => Ending::Cancelled,
            None if end > work.deadline => Ending::Expired,
            None => Ending::Done,
        };
        self.state.update(|state| state.finish(index, ending));
        let state = self.state.lock();
        Ok(match ending {
            Ending::Done => success_response(&state, &state.log[index]),
            Ending::Cancelled => self
                .empty_response(499, work.attempt, &state)
                .with_header("Cancelled", "running"),
            Ending::Expired => self.empty_response(500, work.attempt, &state),
        })
    }

    /// Waits for a slot and starts the execution. Returns the execution's index in `State::log` and
    /// the time at which the execution completes, or the reply that rejects the request.
    fn take_slot(
        &mut self,
        request: &Request,
        work: &Work,
    ) -> io::Result<Result<(usize, Instant), Response>> {
        let execution = execution(request, work);
        let taken = self.wait_watching_client(work.deadline, |state| {
            if state.take_cancelled(work.attempt) {
                return Some(Err(499));
            }
            if state.busy < state.behaviour.slots {
                let delay = state.draw_delay();
                let started = Instant::now();
                let index = state.start(Execution {
                    started,
                    ..execution.clone()
                });
                return Some(Ok((index, started + delay)));
            }
            (state.behaviour.overload == Overload::Shed).then_some(Err(429))
        })?;
        Ok(taken.unwrap_or(Err(503)).map_err(|status| {
            let response = self.empty_response(status, work.attempt, &self.state.lock());
            match status {
                499 => response.with_header("Cancelled", "queued"),
                _ => response,
            }
        }))
    }

    /// Waits until `ready` returns a result or `until` has passed. Stops counting the connection
    /// as open if the client closes it in the meantime. Fails if the incarnation has ended.
    fn wait_watching_client<R>(
        &mut self,
        until: Instant,
        mut ready: impl FnMut(&mut State) -> Option<R>,
    ) -> io::Result<Option<R>> {
        let incarnation = self.incarnation;
        loop {
            let next_check = until.min(Instant::now() + CLOSE_CHECK_INTERVAL);
            let found = self.state.wait(next_check, |state| {
                if !state.is_current(incarnation) {
                    return Some(Err(io::Error::other("leaf was killed")));
                }
                if state.frozen {
                    return None;
                }
                ready(state).map(Ok)
            });
            if let Some(found) = found {
                return found.map(Some);
            }
            self.wait_while_frozen()?;
            if Instant::now() >= until {
                return Ok(None);
            }
            if self.connection.is_closed() {
                self.release();
            }
        }
    }

    fn reply(
        &mut self,
        response: &Response,
        work: &Work,
        fault: Option<Fault>,
    ) -> io::Result<Next> {
        match fault {
            None | Some(Fault::WrongSnapshot) => self.connection.write(response)?,
            Some(Fault::CloseBeforeRead | Fault::CloseAfterRead | Fault::CloseAfterRun) => {
                return Ok(Next::Close);
            }
            Some(Fault::DuplicateReply) => {
                self.connection.write(response)?;
                self.connection.write(response)?;
            }
            Some(Fault::Late(delay)) => {
                std::thread::sleep(delay);
                self.connection.write(response)?;
            }
            Some(Fault::NoReply) => {
                self.connection.discard_until_closed();
                return Ok(Next::Close);
            }
            Some(Fault::Truncated) => {
                self.connection.write_truncated(response)?;
                return Ok(Next::Close);
            }
            Some(Fault::WrongAttempt) => {
                let other = self.reply_to_another(work);
                let with_wrong_attempt = || {
                    response
                        .clone()
                        .replace_header("Attempt-Id", work.attempt ^ 1)
                };
                self.connection
                    .write(&other.unwrap_or_else(with_wrong_attempt))?;
            }
        }
        Ok(Next::Keep)
    }

    /// Returns the success reply to the latest execution of another attempt on this leaf, or `None`
    /// if there is none.
    fn reply_to_another(&self, work: &Work) -> Option<Response> {
        let state = self.state.lock();
        let mut others = state.log.iter().rev();
        let other = others.find(|other| other.attempt != work.attempt);
        other.map(|other| success_response(&state, other))
    }
}

fn execution(request: &Request, work: &Work) -> Execution {
    Execution {
        attempt: work.attempt,
        request: request.header("Request-Id").unwrap_or_default().to_string(),
        shard: work.shard.clone(),
        snapshot: work.snapshot,
        idempotent: request.path() == "/search",
        body: String::from_utf8_lossy(&request.body).into_owned(),
        started: Instant::now(),
        end: None,
    }
}

/// Returns the reply to a completed execution, with everything that tests check.
fn success_response(state: &State, ran: &Execution) -> Response {
    let query: serde_json::Value = serde_json::from_str(&ran.body).unwrap_or_default();
    let body = json!({
        "leaf": state.name,
        "shard": ran.shard,
        "snapshot": ran.snapshot,
        "request": ran.request,
        "attempt": ran.attempt,
        "query": query,
        "padding": "x".repeat(state.behaviour.padding_bytes),
    });
    Response::json(200, &body)
        .with_header("Attempt-Id", ran.attempt)
        .with_header("Snapshot", ran.snapshot)
        .with_header("Leaf-State", state.behaviour.state.as_str())
}

fn health_response(state: &State) -> Response {
    let behaviour = &state.behaviour;
    let (reported, busy) = match behaviour.health {
        Health::Actual => (behaviour.state, state.busy),
        Health::Always(reported) => (reported, 0),
        Health::Broken => return Response::empty(500),
    };
    let snapshots: Vec<_> = behaviour
        .shards
        .iter()
        .flat_map(|shard| behaviour.snapshots.iter().map(move |held| (shard, held)))
        .map(|(shard, held)| json!({ "shard": shard, "snapshot": held }))
        .collect();
    let body = json!({ "state": reported.as_str(), "slots_busy": busy, "snapshots": snapshots });
    Response::json(200, &body)
}
