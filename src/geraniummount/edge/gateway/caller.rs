//! Connections from callers: [`accepting`] accepts them, this module reads requests, and [`writing`]
//! writes responses.

mod accepting;
mod pipelining;
mod state;
mod timing;
mod writing;

use std::time::{Duration, Instant};

use log::{debug, warn};
use mio::Interest;
use mio::net::TcpStream;

pub(super) use self::state::State;

use super::socket::{MAX_BYTES_PER_EVENT, ReadStatus, Socket};
use super::token::EventSource;
use super::{Gateway, delegation};
use crate::core::memory_account::{Holder, Share};
use crate::core::route::Limits;
use crate::prelude::*;
use crate::util::h1::{self, Body, Parsed, Request};

/// Bytes of pipelined requests that are buffered while a request is in flight; beyond this limit,
/// read events of the connection are ignored until the response is written.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Bytes of answers that a caller has not taken beyond which its next pipelined request waits.
const MAX_BACKLOG_BYTES: usize = 64 * 1024;

/// Who sends the requests on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another VM, which delegates requests of its callers.
    Peer,
}

/// A connection from a caller, or from another VM that delegates requests.
#[derive(Debug)]
pub(super) struct CallerConnection {
    pub(super) origin: Origin,
    /// Number that tells the connection from others that had the same key.
    pub(super) serial: u64,
    pub(super) socket: Socket,
    pub(super) state: State,
    /// When the connection entered its state, or when its last response was written.
    pub(super) state_since: Instant,
    /// Whether the connection is closed once the current response is written.
    pub(super) closes_after_response: bool,
    /// Whether another VM may have run the current request, so that it must not be refused as one
    /// that has not run.
    pub(super) may_have_run: bool,
    /// Handoff that the current request of another VM names.
    pub(super) handoff: Option<HandoffId>,
    /// Whether bytes were left unread because too many were buffered while a request was in flight.
    has_unread: bool,
    /// Requests begun in an iteration of the event loop, and the number of that iteration.
    begun: (u32, u64),
    /// Whether the input is parsed further in the next iteration of the event loop.
    is_postponed: bool,
    /// When the next timer of the connection fires; `None` if none is set.
    timer_at: Option<Instant>,
    /// When bytes of the head or of the body were last received.
    progress_at: Instant,
    /// Memory that a request takes while its body is read or while it waits to be admitted.
    request_share: Share,
}

impl CallerConnection {
    /// Records what the connection holds.
    fn settle(&mut self) {
        self.socket.settle();
        self.request_share.resize(self.state.held_bytes());
    }

    /// Returns the number of bytes that the connection holds.
    pub(super) fn held_bytes(&self) -> usize {
        self.socket.held_bytes() + self.request_share.bytes()
    }

    /// Returns whether so much of the answers is not taken that no further request is read.
    fn has_backlog(&self) -> bool {
        self.socket.pending_output() > MAX_BACKLOG_BYTES
    }
}

impl Gateway {
    fn add_caller(&mut self, stream: TcpStream, origin: Origin) {
        if !self.has_descriptor_for_caller() {
            return;
        }
        let serial = self.allocate_serial();
        let (input, body) = match origin {
            Origin::Caller => (Holder::Heads, Holder::Bodies),
            Origin::Peer => (Holder::PeerRequests, Holder::PeerRequests),
        };
        let output_share = self.account.share(Holder::Answers);
        let mut socket = Socket::new(stream, self.account.share(input), output_share);
        let entry = self.caller_connections.vacant_entry();
        let key = entry.key();
        // With Nagle's algorithm, the second write of a response may wait for an acknowledgement.
        let _ = socket.stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Caller(key).token();
        if let Err(error) = self
            .poll
            .registry()
            .register(&mut socket.stream, token, interest)
        {
            return self.log_accept_failure("callers", &error);
        }
        entry.insert(CallerConnection {
            origin,
            serial,
            socket,
            state: State::Idle,
            state_since: self.now,
            closes_after_response: false,
            may_have_run: false,
            handoff: None,
            has_unread: false,
            begun: (0, 0),
            is_postponed: false,
            timer_at: None,
            progress_at: self.now,
            request_share: self.account.share(body),
        });
        self.metrics.caller_connections.inc();
        self.start_caller_timer(key);
        self.read_caller(key, false);
    }

    /// Reads requests; `closed` means that the event reported the end of input or an error.
    pub(super) fn read_caller(&mut self, key: usize, closed: bool) {
        let Some(caller) = self.caller_connections.get_mut(key) else {
            return;
        };
        let pipelined_bytes = caller.socket.input.len();
        let is_waiting = caller.state.has_request() || caller.has_backlog() || caller.is_postponed;
        if is_waiting && pipelined_bytes > MAX_PIPELINED_BYTES {
            if closed {
                // What else has arrived need not be read to know that the caller has left.
                return self.on_caller_closed(key);
            }
            caller.has_unread = true;
            return;
        }
        let max_bytes = match is_waiting {
            true => MAX_PIPELINED_BYTES,
            false => MAX_BYTES_PER_EVENT,
        };
        let status = caller
            .socket
            .read_up_to(&mut self.read_buf, closed, max_bytes);
        if caller.socket.input.len() > pipelined_bytes {
            caller.progress_at = self.now;
        }
        match (&caller.state, status) {
            (State::Closing, ReadStatus::Open | ReadStatus::Interrupted) => {
                caller.socket.input.clear();
                caller.settle();
            }
            (_, ReadStatus::Open | ReadStatus::Interrupted) => self.advance_caller(key),
            (_, ReadStatus::Eof | ReadStatus::Broken | ReadStatus::TimedOut) => {
                self.on_caller_closed(key);
            }
        }
        if status == ReadStatus::Interrupted {
            self.register_caller_again(key);
        }
    }

    /// Registers a caller's socket again, so that an event reports the bytes that are available.
    fn register_caller_again(&mut self, key: usize) {
        let Some(caller) = self.caller_connections.get_mut(key) else {
            return;
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Caller(key).token();
        let stream = &mut caller.socket.stream;
        if let Err(error) = self.poll.registry().reregister(stream, token, interest) {
            warn!("caller event=not-registered action=close error=\"{error}\"");
            self.on_caller_closed(key);
        }
    }

    /// Removes a connection that the caller closed or that broke, and cancels its call.
    fn on_caller_closed(&mut self, key: usize) {
        let caller = self.caller_connections.remove(key);
        match caller.state {
            State::InFlight { call } => self.cancel_call(call),
            State::Delegated { request } => self.cancel_delegated(request),
            _ => {}
        }
    }

    /// Parses buffered input until more bytes are needed or a request is in flight.
    pub(super) fn advance_caller(&mut self, key: usize) {
        loop {
            let Some(caller) = self.caller_connections.get_mut(key) else {
                return;
            };
            let has_progressed = match &caller.state {
                State::Idle | State::Head if caller.has_backlog() => false,
                State::Idle | State::Head if caller.has_used_iteration(self.iteration.number) => {
                    self.postpone(key);
                    false
                }
                State::Idle | State::Head => self.read_head(key),
                State::Body { .. } => self.read_body(key),
                State::InFlight { .. }
                | State::Delegated { .. }
                | State::Held { .. }
                | State::AwaitingTrial(_)
                | State::AwaitingToken(_)
                | State::Closing => false,
            };
            if !has_progressed {
                break;
            }
        }
        self.resume_reading(key);
        self.settle_caller(key);
    }

    /// Records what a connection holds, and closes connections if too much is held now.
    fn settle_caller(&mut self, key: usize) {
        if let Some(caller) = self.caller_connections.get_mut(key) {
            caller.settle();
            self.relieve_memory(key);
        }
    }

    /// Parses a request head; returns whether the connection's state advanced.
    fn read_head(&mut self, key: usize) -> bool {
        let limits = self.routes.limits();
        let now = self.now;
        let caller = &mut self.caller_connections[key];
        let input = &mut caller.socket.input;
        // Some clients send an extra line break after a body.
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
            caller.state_since = now;
            caller.handoff = None;
            self.start_caller_timer(key);
        }
        let caller = &mut self.caller_connections[key];
        match Request::parse(&caller.socket.input) {
            Ok(Parsed::Complete(_, length)) if length > limits.max_head_bytes => {
                self.reject(key, 431, "the head is too long; send a shorter one")
            }
            Ok(Parsed::Partial) if caller.socket.input.len() > limits.max_head_bytes => {
                self.reject(key, 431, "the head is too long; send a shorter one")
            }
            Ok(Parsed::Partial) => false,
            Ok(Parsed::Complete(request, length)) => {
                caller.socket.input.drain(..length);
                caller.record_request(self.iteration.number);
                caller.handoff = delegation::read_handoff(&request.fields);
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
        let announced = match request.body {
            Body::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Body::Chunked(_) | Body::UntilClose => 0,
        };
        if !self.admits_body(key, announced) {
            return self.reject_for_memory(key);
        }
        let caller = &mut self.caller_connections[key];
        if request.expects_continue && caller.socket.input.is_empty() {
            let mut interim = Vec::new();
            h1::write_status_line(&mut interim, 100);
            h1::write_head_end(&mut interim);
            caller.socket.queue(&interim);
            // A write error is reported again by the next event of the socket.
            let _ = caller.socket.flush();
        }
        caller.state_since = self.now;
        caller.state = State::Body {
            body: request.body,
            request,
            // The whole body is recorded before it is read.
            content: Vec::with_capacity(announced),
        };
        caller.settle();
        true
    }

    fn read_body(&mut self, key: usize) -> bool {
        let limits = self.routes.limits();
        let caller = &mut self.caller_connections[key];
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
        caller.settle();
        if let State::Body {
            request, content, ..
        } = state
        {
            caller.closes_after_response |= !request.is_persistent;
            match caller.origin {
                Origin::Caller => self.admit(key, request, content, None),
                Origin::Peer => self.admit_delegated(key, request, content),
            }
        }
        true
    }

    /// Answers a request that is malformed, too large or too slow, and closes the connection.
    fn reject(&mut self, key: usize, status: u16, why: &str) -> bool {
        self.reject_until(key, status, why, None)
    }

    /// As [`Gateway::reject`], with the time after which the caller may send the request again.
    pub(super) fn reject_until(
        &mut self,
        key: usize,
        status: u16,
        why: &str,
        retry_after: Option<Duration>,
    ) -> bool {
        debug!("request outcome=rejected status={status} why=\"{why}\"");
        self.metrics.count_answer("rejected");
        let caller = &mut self.caller_connections[key];
        caller.closes_after_response = true;
        caller.state = State::Closing;
        caller.socket.input.clear();
        caller.settle();
        self.write_plain(key, status, why, retry_after);
        true
    }
}
