//! Connections from callers.

use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use log::{debug, warn};
use mio::Interest;
use mio::net::{TcpListener, TcpStream};

use super::Gateway;
use super::socket::{Flow, Socket};
use super::timers::Timer;
use super::token::Owner;
use crate::core::route::Limits;
use crate::platform::headers;
use crate::util::h1::{self, Body, Parsed, Request};

/// Bytes that a caller may send ahead while its request runs.
const MAX_AHEAD: usize = 64 * 1024;

/// Time that a connection with an answer to an unread request stays half open,
/// so that the caller reads the answer before it sees a reset.
const CLOSING: Duration = Duration::from_millis(500);

/// A connection from a caller.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) serial: u64,
    pub(super) socket: Socket,
    pub(super) state: State,
    /// When the state began.
    pub(super) since: Instant,
    /// Whether the connection ends after the answer that is being written.
    pub(super) last: bool,
}

/// What a caller's connection is doing.
#[derive(Debug)]
pub(super) enum State {
    /// No byte of a request is here.
    Idle,
    /// Part of a head is here.
    Head,
    /// The head is here, and part of the body.
    Body {
        request: Request,
        body: Body,
        content: Vec<u8>,
    },
    /// The request is being worked on.
    Waiting {
        /// Its call.
        call: usize,
    },
    /// Only the end of the connection is awaited.
    Closing,
}

/// Accepts a connection, if one waits.
fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    loop {
        match listener?.accept() {
            Ok((stream, _)) => return Some(stream),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) => {
                warn!("accept outcome=failed error=\"{error}\"");
                return None;
            }
        }
    }
}

impl Gateway {
    pub(super) fn accept_callers(&mut self) {
        while let Some(stream) = accept(self.callers_listener.as_ref()) {
            self.add_caller(stream);
        }
    }

    fn add_caller(&mut self, stream: TcpStream) {
        let serial = self.serial();
        let entry = self.callers.vacant_entry();
        let key = entry.key();
        let mut socket = Socket::new(stream);
        // Without it an answer in two writes may wait for an acknowledgement.
        let _ = socket.stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = Owner::Caller(key).token();
        if let Err(error) = self
            .poll
            .registry()
            .register(&mut socket.stream, token, interest)
        {
            return self.accept_failed("callers", &error);
        }
        entry.insert(Caller {
            serial,
            socket,
            state: State::Idle,
            since: self.now,
            last: false,
        });
        self.counts.caller_connections.inc();
        self.watch_caller(key);
        self.read_caller(key, false);
    }

    pub(super) fn read_caller(&mut self, key: usize, closed: bool) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let ahead = caller.socket.input.len();
        if matches!(caller.state, State::Waiting { .. }) && ahead > MAX_AHEAD && !closed {
            return;
        }
        let flow = caller.socket.read(&mut self.scratch, closed);
        match (&caller.state, flow) {
            (State::Closing, Flow::Open) => caller.socket.input.clear(),
            (_, Flow::Open) => self.advance_caller(key),
            (_, Flow::Ended | Flow::Broken) => self.caller_gone(key),
        }
    }

    /// The caller has left: what runs for it is given up.
    fn caller_gone(&mut self, key: usize) {
        let caller = self.callers.remove(key);
        if let State::Waiting { call } = caller.state {
            self.give_up_call(call);
        }
    }

    /// Reads requests as far as bytes are there.
    pub(super) fn advance_caller(&mut self, key: usize) {
        loop {
            let Some(caller) = self.callers.get_mut(key) else {
                return;
            };
            let goes_on = match &mut caller.state {
                State::Idle | State::Head => self.read_head(key),
                State::Body { .. } => self.read_body(key),
                State::Waiting { .. } | State::Closing => false,
            };
            if !goes_on {
                return;
            }
        }
    }

    fn read_head(&mut self, key: usize) -> bool {
        let limits = self.limits();
        let now = self.now;
        let caller = &mut self.callers[key];
        let input = &mut caller.socket.input;
        // Some senders end a body with one line end too many.
        let blank = input
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        input.drain(..blank);
        if input.is_empty() {
            return false;
        }
        if matches!(caller.state, State::Idle) {
            caller.state = State::Head;
            caller.since = now;
            self.watch_caller(key);
        }
        let caller = &mut self.callers[key];
        match Request::parse(&caller.socket.input) {
            Ok(Parsed::Whole(_, length)) if length > limits.max_head_bytes => {
                self.reject(key, 431, "the head is too long; send a shorter one")
            }
            Ok(Parsed::Partial) if caller.socket.input.len() > limits.max_head_bytes => {
                self.reject(key, 431, "the head is too long; send a shorter one")
            }
            Ok(Parsed::Partial) => false,
            Ok(Parsed::Whole(request, length)) => {
                caller.socket.input.drain(..length);
                self.begin_body(key, request, limits)
            }
            Err(fault) => self.reject(key, 400, &format!("{fault}; send HTTP/1.1")),
        }
    }

    fn begin_body(&mut self, key: usize, request: Request, limits: Limits) -> bool {
        if let Body::Length(length) = request.body
            && length > limits.max_body_bytes as u64
        {
            return self.reject(key, 413, "the body is too long; send a shorter one");
        }
        let caller = &mut self.callers[key];
        if request.awaits_continue && caller.socket.input.is_empty() {
            let mut interim = Vec::new();
            h1::status_line(&mut interim, 100);
            h1::end_head(&mut interim);
            caller.socket.queue(&interim);
            // A broken connection shows with the next event.
            let _ = caller.socket.flush();
        }
        caller.since = self.now;
        caller.state = State::Body {
            body: request.body,
            request,
            content: Vec::new(),
        };
        true
    }

    fn read_body(&mut self, key: usize) -> bool {
        let limits = self.limits();
        let caller = &mut self.callers[key];
        let State::Body { body, content, .. } = &mut caller.state else {
            return false;
        };
        let fed = body.feed(&caller.socket.input, content);
        if content.len() > limits.max_body_bytes {
            return self.reject(key, 413, "the body is too long; send a shorter one");
        }
        match fed {
            Ok((taken, done)) => {
                caller.socket.input.drain(..taken);
                if !done {
                    return false;
                }
            }
            Err(fault) => return self.reject(key, 400, &format!("{fault}; send a whole body")),
        }
        let state = std::mem::replace(&mut caller.state, State::Idle);
        if let State::Body {
            request, content, ..
        } = state
        {
            caller.last |= !request.kept;
            self.admit(key, request, content);
        }
        true
    }

    /// Answers a request that can't be read, and ends the connection.
    fn reject(&mut self, key: usize, status: u16, why: &str) -> bool {
        debug!("request outcome=rejected status={status} why=\"{why}\"");
        self.counts.count_answer("rejected");
        let caller = &mut self.callers[key];
        caller.last = true;
        caller.state = State::Closing;
        self.write_plain(key, status, why, None);
        true
    }

    pub(super) fn limits(&self) -> Limits {
        self.table
            .as_ref()
            .map_or_else(Limits::default, |table| table.limits)
    }

    /// Writes a whole answer and waits for the next request.
    pub(super) fn respond(&mut self, key: usize, answer: &[u8]) {
        let leaving = self.is_leaving();
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        caller.last |= leaving;
        caller.socket.queue(answer);
        caller.since = self.now;
        if !matches!(caller.state, State::Closing) {
            caller.state = State::Idle;
        }
        self.flush_caller(key);
        if self.callers.contains(key) {
            self.watch_caller(key);
        }
    }

    /// Returns whether callers should go to other VMs.
    fn is_leaving(&self) -> bool {
        self.stop.is_some() || self.isolation.is_isolated()
    }

    /// Returns whether the answer being written is the connection's last one.
    pub(super) fn is_last(&self, key: usize) -> bool {
        self.is_leaving() || self.callers.get(key).is_some_and(|caller| caller.last)
    }

    pub(super) fn write_plain(
        &mut self,
        key: usize,
        status: u16,
        why: &str,
        retry_after: Option<Duration>,
    ) {
        let mut answer = Vec::with_capacity(160);
        h1::status_line(&mut answer, status);
        if let Some(wait) = retry_after {
            headers::write_retry_after(&mut answer, wait);
        }
        h1::field(&mut answer, "Content-Type", b"text/plain");
        h1::number_field(&mut answer, "Content-Length", why.len() as u64 + 1);
        if self.is_last(key) {
            h1::field(&mut answer, "Connection", b"close");
        }
        h1::end_head(&mut answer);
        answer.extend_from_slice(why.as_bytes());
        answer.push(b'\n');
        self.respond(key, &answer);
    }

    pub(super) fn flush_caller(&mut self, key: usize) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        if caller.socket.flush().is_err() {
            return self.caller_gone(key);
        }
        let answered = matches!(caller.state, State::Idle | State::Closing);
        if !caller.last || !answered || caller.socket.is_blocked() {
            return;
        }
        if matches!(caller.state, State::Closing) {
            // A failure shows as the end of the connection.
            let _ = caller.socket.stream.shutdown(Shutdown::Write);
            caller.socket.input.clear();
            return;
        }
        self.callers.remove(key);
    }

    fn watch_caller(&mut self, key: usize) {
        let limits = self.limits();
        let caller = &self.callers[key];
        let due = match caller.state {
            State::Idle => limits.idle_timeout,
            State::Head | State::Body { .. } => limits.read_timeout,
            State::Waiting { .. } => return,
            State::Closing => CLOSING,
        };
        let timer = Timer::Caller(key, caller.serial);
        self.timers.add(caller.since + due, timer);
    }

    pub(super) fn tick_caller(&mut self, key: usize, serial: u64) {
        let limits = self.limits();
        let Some(caller) = self.callers.get(key) else {
            return;
        };
        if caller.serial != serial {
            return;
        }
        let age = self.now.saturating_duration_since(caller.since);
        match caller.state {
            State::Idle if age >= limits.idle_timeout => {
                self.callers.remove(key);
            }
            State::Head if age >= limits.read_timeout => {
                self.reject(key, 408, "the head took too long; send it faster");
            }
            State::Body { .. } if age >= limits.read_timeout * 2 => {
                self.reject(key, 408, "the body took too long; send it faster");
            }
            State::Closing if age >= CLOSING => {
                self.callers.remove(key);
            }
            State::Body { .. } => {
                let timer = Timer::Caller(key, serial);
                self.timers.add(self.now + limits.read_timeout, timer);
            }
            _ => {}
        }
    }
}
