//! Connections to leaves.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::Interest;
use mio::net::TcpStream;
use socket2::SockRef;

use super::Gateway;
use super::socket::{Flow, Socket};
use super::timers::Timer;
use super::token::Owner;
use crate::core::call::Reply;
use crate::core::placement::ReplicaKey;
use crate::platform::headers::{self, Answer};
use crate::prelude::*;
use crate::util::h1::{self, Body, Fault, Head, Parsed};

/// Longest wait for a connection to a leaf.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that an answer nobody waits for may still take. Shorter ones spare the
/// leaf a new connection; longer ones would keep it at work for nothing.
const LINGER: Duration = Duration::from_millis(300);

/// Longest time without a sign that sent bytes arrived.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to a leaf.
#[derive(Debug)]
pub(super) struct Leaf {
    pub(super) serial: u64,
    pub(super) replica: ReplicaKey,
    socket: Socket,
    /// The attempt that it is used for.
    attempt: Option<AttemptId>,
    /// Whether an answer is still to come.
    awaited: bool,
    /// Id of the request whose answer is to come.
    request_id: RequestId,
    to_head_request: bool,
    /// When it was open.
    connected: Option<Instant>,
    opened: Instant,
    /// Whether an answer came over it.
    answered: bool,
    /// Whether part of the request was written.
    sent: bool,
    /// Whether the connection can't be used again.
    spoiled: bool,
    head: Option<Head>,
    content: Vec<u8>,
    /// When the caller stopped waiting.
    abandoned_at: Option<Instant>,
    /// How long the leaf keeps the connection unused.
    pub(super) keep_alive: Option<Duration>,
}

/// A step of reading an answer.
enum Step {
    /// More bytes are needed.
    Partial,
    /// The answer is whole.
    Whole(h1::Response),
}

impl Leaf {
    pub(super) fn connect(
        address: SocketAddr,
        replica: ReplicaKey,
        serial: u64,
        now: Instant,
    ) -> io::Result<Leaf> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(Leaf {
            serial,
            replica,
            socket: Socket::new(stream),
            attempt: None,
            awaited: false,
            request_id: RequestId::new(),
            to_head_request: false,
            connected: None,
            opened: now,
            answered: false,
            sent: false,
            spoiled: false,
            head: None,
            content: Vec::new(),
            abandoned_at: None,
            keep_alive: None,
        })
    }

    /// Reads the answer as far as bytes are there.
    fn step(&mut self) -> Result<Step, Fault> {
        loop {
            if self.head.is_none() {
                match Head::parse(&self.socket.input, self.to_head_request)? {
                    Parsed::Partial => return Ok(Step::Partial),
                    Parsed::Whole(head, length) => {
                        self.socket.input.drain(..length);
                        if head.is_interim() {
                            continue;
                        }
                        self.head = Some(head);
                    }
                }
            }
            let Some(head) = &mut self.head else {
                return Ok(Step::Partial);
            };
            let (taken, done) = head.body.feed(&self.socket.input, &mut self.content)?;
            self.socket.input.drain(..taken);
            return Ok(if done { self.whole() } else { Step::Partial });
        }
    }

    /// Takes the answer out.
    fn whole(&mut self) -> Step {
        let content = std::mem::take(&mut self.content);
        match self.head.take() {
            Some(head) => {
                self.spoiled |= !head.kept;
                self.keep_alive = head.keep_alive().or(self.keep_alive);
                Step::Whole(h1::Response { head, content })
            }
            None => Step::Partial,
        }
    }

    /// Takes an answer that ends with its connection.
    fn at_end(&mut self) -> Step {
        let ends_here = self.head.as_ref().map(|head| head.body) == Some(Body::UntilClose);
        if ends_here {
            self.whole()
        } else {
            Step::Partial
        }
    }
}

impl Gateway {
    pub(super) fn register_leaf(&mut self, connection: usize) -> bool {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = Owner::Leaf(connection).token();
        let leaf = &mut self.leaves[connection];
        let stream = &mut leaf.socket.stream;
        let timer = Timer::Leaf(connection, leaf.serial);
        self.timers.add(self.now + CONNECT_TIMEOUT, timer);
        self.poll
            .registry()
            .register(stream, token, interest)
            .is_ok()
    }

    /// Sends an attempt's request over a connection.
    pub(super) fn assign(&mut self, connection: usize, attempt: AttemptId) {
        let Some(open) = self.attempts.get_mut(&attempt) else {
            return self.keep(connection);
        };
        open.connection = Some(connection);
        let state = &self.calls[open.call];
        let left = state.call.plan().end_by.saturating_duration_since(self.now);
        let replica = self.placement.replica(&open.service, open.replica);
        let wanted = replica.map_or("", |replica| replica.instance.id.as_str());
        let forward = &state.forward;
        let mut request = Vec::with_capacity(512 + forward.content.len());
        h1::request_line(&mut request, &forward.method, &forward.target);
        for field in &forward.fields {
            h1::field(&mut request, &field.name, &field.value);
        }
        headers::write_to_leaf(&mut request, left, wanted);
        if !forward.content.is_empty() || forward.method != "GET" {
            h1::number_field(&mut request, "Content-Length", forward.content.len() as u64);
        }
        h1::end_head(&mut request);
        request.extend_from_slice(&forward.content);
        let leaf = &mut self.leaves[connection];
        leaf.request_id.clone_from(&forward.id);
        leaf.to_head_request = forward.method == "HEAD";
        leaf.attempt = Some(attempt);
        leaf.awaited = true;
        leaf.sent = false;
        leaf.abandoned_at = None;
        leaf.socket.queue(&request);
        if leaf.connected.is_some() {
            self.flush_leaf(connection);
        }
    }

    pub(super) fn flush_leaf(&mut self, connection: usize) {
        let Some(leaf) = self.leaves.get_mut(connection) else {
            return;
        };
        if leaf.connected.is_none() {
            let stream = &leaf.socket.stream;
            let failed = stream.take_error().map_or(true, |error| error.is_some());
            if failed {
                return self.leaf_broke(connection);
            }
            if stream.peer_addr().is_err() {
                return;
            }
            leaf.connected = Some(self.now);
        }
        if !leaf.socket.is_blocked() {
            return;
        }
        if leaf.socket.flush().is_err() {
            return self.leaf_broke(connection);
        }
        if leaf.socket.has_begun() && !leaf.sent {
            leaf.sent = true;
            if let Some(attempt) = leaf.attempt {
                self.mark_sent(attempt);
            }
        }
    }

    pub(super) fn read_leaf(&mut self, connection: usize, closed: bool) {
        let Some(leaf) = self.leaves.get_mut(connection) else {
            return;
        };
        if leaf.connected.is_none() && !closed {
            return;
        }
        let flow = leaf.socket.read(&mut self.scratch, closed);
        loop {
            let Some(leaf) = self.leaves.get_mut(connection) else {
                return;
            };
            if !leaf.awaited {
                // Bytes that belong to no request, or the end.
                if flow != Flow::Open || !leaf.socket.input.is_empty() {
                    self.end_leaf(connection);
                }
                return;
            }
            let step = match leaf.step() {
                Ok(Step::Partial) if flow == Flow::Ended => leaf.at_end(),
                Ok(step) => step,
                Err(_) => return self.leaf_broke(connection),
            };
            match step {
                Step::Whole(response) => self.take_response(connection, response, flow),
                Step::Partial if flow == Flow::Open => return,
                Step::Partial => return self.leaf_broke(connection),
            }
        }
    }

    /// Takes a whole answer; the connection is kept where nothing is left on it.
    fn take_response(&mut self, connection: usize, response: h1::Response, flow: Flow) {
        let leaf = &mut self.leaves[connection];
        leaf.answered = true;
        let reply = match headers::read_answer(response, &leaf.request_id) {
            Answer::Own(reply) => reply,
            Answer::Foreign => {
                leaf.spoiled = true;
                return;
            }
        };
        let is_clean = leaf.socket.input.is_empty() && !leaf.socket.is_blocked();
        let is_kept = is_clean && !leaf.spoiled && flow == Flow::Open;
        let attempt = leaf.attempt.take();
        leaf.awaited = false;
        leaf.abandoned_at = None;
        if is_kept {
            self.keep(connection);
        } else {
            self.end_leaf(connection);
        }
        if let Some(attempt) = attempt {
            self.deliver(attempt, reply);
        }
    }

    /// Stops waiting for an attempt.
    pub(super) fn abandon(&mut self, attempt: AttemptId) {
        let Some(open) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(connection) = open.connection else {
            return self.unqueue(open.replica, attempt);
        };
        let leaf = &mut self.leaves[connection];
        leaf.attempt = None;
        leaf.abandoned_at = Some(self.now);
        let timer = Timer::Leaf(connection, leaf.serial);
        self.timers.add(self.now + LINGER, timer);
    }

    pub(super) fn tick_leaf(&mut self, connection: usize, serial: u64) {
        let Some(leaf) = self.leaves.get(connection) else {
            return;
        };
        if leaf.serial != serial {
            return;
        }
        let now = self.now;
        if leaf.connected.is_none() && now.saturating_duration_since(leaf.opened) >= CONNECT_TIMEOUT
        {
            return self.leaf_broke(connection);
        }
        let is_over = |at: Instant| now.saturating_duration_since(at) >= LINGER;
        if leaf.abandoned_at.is_some_and(is_over) {
            self.note_silent(leaf.replica);
            return self.end_leaf(connection);
        }
        let until = self.kept_until(leaf.replica, connection);
        if until.is_some_and(|until| now >= until) {
            self.end_leaf(connection);
        }
    }

    /// A connection broke, or what came over it makes no sense.
    fn leaf_broke(&mut self, connection: usize) {
        let leaf = &mut self.leaves[connection];
        let attempt = leaf.attempt.take();
        let reply = if leaf.sent || leaf.socket.has_begun() {
            Reply::Lost
        } else {
            Reply::Unreachable
        };
        let (replica, since) = (leaf.replica, leaf.connected.filter(|_| !leaf.answered));
        if let Some(since) = since {
            let open_for = self.now.saturating_duration_since(since);
            self.broke_unanswered(replica, open_for);
        }
        self.end_leaf(connection);
        if let Some(attempt) = attempt {
            self.deliver(attempt, reply);
        }
    }

    fn end_leaf(&mut self, connection: usize) {
        let leaf = self.leaves.remove(connection);
        let (replica, attempt) = (leaf.replica, leaf.attempt);
        drop(leaf);
        if let Some(open) = attempt.and_then(|attempt| self.attempts.get_mut(&attempt)) {
            open.connection = None;
        }
        self.connection_ended(replica, connection);
    }
}
