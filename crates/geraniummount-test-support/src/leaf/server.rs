//! Threads of a stand-in leaf: accepting, and serving one connection.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use super::state::State;
use super::{Ending, Execution, Fault, Health, Overload, State as LeafState};
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

/// Stack of a thread; hundreds of leaves share a process.
pub(super) const STACK_BYTES: usize = 256 * 1024;

/// Time that a closed connection's thread gets to notice before a new
/// connection counts as a violation.
const CLOSE_GRACE: Duration = Duration::from_millis(200);

/// Period in which a thread with work looks whether its client has closed.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(25);

/// A wait without an end of its own.
const FOREVER: Duration = Duration::from_secs(24 * 3600);

/// Accepts connections until the life ends.
pub(super) fn accept(listener: &TcpListener, state: &Arc<Monitor<State>>, life: u64) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        // A frozen process takes no connection in either.
        if wait_while_frozen(state, life).is_err() {
            return;
        }
        let until = Instant::now() + CLOSE_GRACE;
        let Some(number) = state.wait(until, |state| state.admit(&stream)) else {
            state.update(State::refuse_connection);
            continue;
        };
        let session = Session {
            state: Arc::clone(state),
            life,
            number,
            connection: Connection::new(stream),
        };
        let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
        if thread.spawn(move || session.serve()).is_err() {
            state.update(|state| state.release(number, life));
        }
    }
}

/// Waits for the end of a freeze; fails when the life has ended.
fn wait_while_frozen(state: &Monitor<State>, life: u64) -> io::Result<()> {
    let wait = state.wait(Instant::now() + FOREVER, |state| {
        if !state.lives(life) {
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
    life: u64,
    number: usize,
    connection: Connection,
}

/// A request that runs work, as read from its headers.
struct Work {
    attempt: u64,
    shard: String,
    snapshot: u64,
    deadline: Instant,
}

impl Session {
    fn serve(mut self) {
        let open = self.state.lock().behaviour.open;
        std::thread::sleep(open);
        while matches!(self.serve_one(), Ok(Next::Keep)) {}
        // The socket closes before its count falls, so that the count is never
        // below what the client can see.
        let stream: &TcpStream = self.connection.stream();
        let _ = stream.shutdown(std::net::Shutdown::Both);
        self.release();
    }

    fn release(&self) {
        self.state
            .update(|state| state.release(self.number, self.life));
    }

    fn serve_one(&mut self) -> io::Result<Next> {
        let head = self.connection.peek()?;
        self.wait_while_frozen()?;
        let runs_work = head.starts_with(b"POST");
        if head.is_empty() || (runs_work && self.state.update(State::takes_close_before_read)) {
            return Ok(Next::Close);
        }
        let Some(request) = self.connection.read()? else {
            return Ok(Next::Close);
        };
        self.wait_while_frozen()?;
        match (request.method.as_str(), request.path()) {
            ("POST", "/search" | "/execute") => return self.run(&request),
            ("DELETE", path) if path.starts_with("/attempts/") => self.cancel(path)?,
            ("GET", "/health") => self.tell_health()?,
            _ => self.connection.write(&Response::empty(404))?,
        }
        Ok(Next::Keep)
    }

    fn wait_while_frozen(&self) -> io::Result<()> {
        wait_while_frozen(&self.state, self.life)
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

    fn tell_health(&mut self) -> io::Result<()> {
        let response = health(&self.state.lock());
        self.connection.write(&response)
    }

    /// Runs a request and replies, as far as its fault lets it.
    fn run(&mut self, request: &Request) -> io::Result<Next> {
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
        self.state.update(|state| state.present.push(work.attempt));
        let response = self.wait_and_work(request, &work);
        self.state.update(|state| state.forget(work.attempt));
        self.wait_while_frozen()?;
        self.reply(&response?, &work, fault)
    }

    /// Checks a request before it takes a slot.
    fn check(&self, request: &Request) -> Result<Work, Response> {
        let headers = (request.number("Attempt-Id"), request.number("Deadline-Ms"));
        let (Some(attempt), Some(deadline_ms)) = headers else {
            return Err(Response::empty(400));
        };
        let state = self.state.lock();
        let behaviour = &state.behaviour;
        if behaviour.state == LeafState::Draining && behaviour.refuses_when_draining {
            return Err(self.stamp(503, attempt, &state));
        }
        let shard = request.header("Shard").unwrap_or_default().to_string();
        let holds_shard = behaviour.shards.contains(&shard);
        let snapshots = if holds_shard {
            behaviour.snapshots.as_slice()
        } else {
            &[]
        };
        let snapshot = match request.number("Snapshot") {
            Some(asked) => snapshots.iter().find(|held| **held == asked),
            None => snapshots.last(),
        };
        let Some(snapshot) = snapshot.copied() else {
            let body = json!({ "snapshots": snapshots });
            return Err(Response::json(410, &body).with("Attempt-Id", attempt));
        };
        Ok(Work {
            attempt,
            shard,
            snapshot,
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
        })
    }

    fn stamp(&self, status: u16, attempt: u64, state: &State) -> Response {
        Response::empty(status)
            .with("Attempt-Id", attempt)
            .with("Leaf-State", state.behaviour.state.as_str())
    }

    /// Takes a slot, runs and returns the reply; an error ends the connection.
    fn wait_and_work(&mut self, request: &Request, work: &Work) -> io::Result<Response> {
        let started = match self.take_slot(request, work)? {
            Ok(started) => started,
            Err(refusal) => return Ok(refusal),
        };
        let (index, end) = started;
        let until = end.min(work.deadline);
        let cancelled = self.wait_watching(until, |state| {
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
            Ending::Done => answer(&state, &state.log[index]),
            Ending::Cancelled => self
                .stamp(499, work.attempt, &state)
                .with("Cancelled", "running"),
            Ending::Expired => self.stamp(500, work.attempt, &state),
        })
    }

    /// Waits for a slot and starts; returns the place in the log and the time
    /// at which the work will be done, or the refusal.
    fn take_slot(
        &mut self,
        request: &Request,
        work: &Work,
    ) -> io::Result<Result<(usize, Instant), Response>> {
        let execution = execution(request, work);
        let taken = self.wait_watching(work.deadline, |state| {
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
            let response = self.stamp(status, work.attempt, &self.state.lock());
            match status {
                499 => response.with("Cancelled", "queued"),
                _ => response,
            }
        }))
    }

    /// Waits for a condition until a time and frees the connection's place
    /// when the client closes meanwhile; fails when the life has ended.
    fn wait_watching<R>(
        &mut self,
        until: Instant,
        mut ready: impl FnMut(&mut State) -> Option<R>,
    ) -> io::Result<Option<R>> {
        let life = self.life;
        loop {
            let step = until.min(Instant::now() + CLOSE_CHECK_PERIOD);
            let found = self.state.wait(step, |state| {
                if !state.lives(life) {
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
            Some(Fault::DoubledReply) => {
                self.connection.write(response)?;
                self.connection.write(response)?;
            }
            Some(Fault::Late(delay)) => {
                std::thread::sleep(delay);
                self.connection.write(response)?;
            }
            Some(Fault::NoReply) => {
                self.connection.swallow();
                return Ok(Next::Close);
            }
            Some(Fault::Truncated) => {
                self.connection.write_truncated(response)?;
                return Ok(Next::Close);
            }
            Some(Fault::WrongAttempt) => {
                let other = self.reply_to_another(work);
                let made_up = || response.clone().replace("Attempt-Id", work.attempt ^ 1);
                self.connection.write(&other.unwrap_or_else(made_up))?;
            }
        }
        Ok(Next::Keep)
    }

    /// Returns the whole reply to another request that ran here, the last one
    /// where there are more.
    fn reply_to_another(&self, work: &Work) -> Option<Response> {
        let state = self.state.lock();
        let mut others = state.log.iter().rev();
        let other = others.find(|other| other.attempt != work.attempt);
        other.map(|other| answer(&state, other))
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

/// The reply to work that was done; it names everything that a test can check.
fn answer(state: &State, ran: &Execution) -> Response {
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
        .with("Attempt-Id", ran.attempt)
        .with("Snapshot", ran.snapshot)
        .with("Leaf-State", state.behaviour.state.as_str())
}

fn health(state: &State) -> Response {
    let behaviour = &state.behaviour;
    let (said, busy) = match behaviour.health {
        Health::True => (behaviour.state, state.busy),
        Health::Always(said) => (said, 0),
        Health::Broken => return Response::empty(500),
    };
    let snapshots: Vec<_> = behaviour
        .shards
        .iter()
        .flat_map(|shard| behaviour.snapshots.iter().map(move |held| (shard, held)))
        .map(|(shard, held)| json!({ "shard": shard, "snapshot": held }))
        .collect();
    let body = json!({ "state": said.as_str(), "slots_busy": busy, "snapshots": snapshots });
    Response::json(200, &body)
}
