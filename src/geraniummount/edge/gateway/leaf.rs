//! Connections to leaves: each carries one attempt at a time. An attempt is one try to run a part
//! of a caller's request at one leaf.

mod reading;
mod sending;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use mio::Interest;
use socket2::SockRef;

use super::Gateway;
use super::leaf_links::CHECK_TIMEOUT;
use super::response_reader::ResponseReader;
use super::socket::{self, Socket};
use super::timers::Timer;
use super::token::EventSource;
use crate::core::call::Reply;
use crate::core::fingerprint::Fingerprint;
use crate::core::memory_account::{Account, Holder};
use crate::core::placement::ReplicaKey;
use crate::core::reply_size::ReplySize;
use crate::prelude::*;
use crate::util::h1;

/// Maximum time to establish a connection to a leaf.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that the response to an abandoned attempt may still take before the connection is closed.
/// Waiting saves the leaf a new connection; waiting longer would leave it working on a result that
/// nobody needs.
const ABANDONED_GRACE: Duration = Duration::from_millis(300);

/// Time after which a request that is abandoned counts as left unanswered, for the detection of
/// lost links.
const MIN_SILENCE: Duration = Duration::from_millis(100);

/// Maximum time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to a leaf.
#[derive(Debug)]
pub(super) struct LeafConnection {
    /// Number that tells the connection from others that had the same key.
    pub(super) serial: u64,
    /// Key of the leaf.
    pub(super) replica: ReplicaKey,
    address: SocketAddr,
    socket: Socket,
    /// The attempt that uses the connection; `None` if it is idle or its attempt was abandoned.
    attempt: Option<AttemptId>,
    /// Whether a request was assigned, was not taken back, and its response is incomplete.
    is_awaiting_response: bool,
    /// Id of the last request, which the `Request-Id` of a response must match if it has one.
    request_id: RequestId,
    /// When the last request was written, or assigned if the connection is not established yet.
    requested_at: Instant,
    /// When the TCP connection was established; `None` until then.
    connected_at: Option<Instant>,
    /// When the connection attempt began.
    opened_at: Instant,
    /// Whether any response has been received.
    has_responded: bool,
    /// Whether any byte of the current request has been written.
    has_sent_bytes: bool,
    /// Reader of the responses.
    pub(super) reader: ResponseReader,
    /// Number of bytes received since the last request was sent.
    received: usize,
    /// Number of responses to other requests that were received since then.
    mismatched: u32,
    /// When the attempt was abandoned.
    abandoned_at: Option<Instant>,
    /// Fingerprint of the abandoned attempt's request, if no leaf had answered the request.
    abandoned_request: Option<Fingerprint>,
    /// Whether the connection was opened to check this VM's links, and its leaf has not responded
    /// yet.
    pub(super) is_check: bool,
}

impl LeafConnection {
    /// Begins to connect to a leaf, without blocking.
    pub(super) fn connect(
        address: SocketAddr,
        source: Option<IpAddr>,
        replica: ReplicaKey,
        serial: u64,
        account: &Account,
        now: Instant,
    ) -> io::Result<LeafConnection> {
        let stream = socket::connect(address, source)?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let share = || account.share(Holder::Leaves);
        Ok(LeafConnection {
            serial,
            replica,
            address,
            socket: Socket::new(stream, share(), share()),
            attempt: None,
            is_awaiting_response: false,
            request_id: RequestId::new(),
            requested_at: now,
            connected_at: None,
            opened_at: now,
            has_responded: false,
            has_sent_bytes: false,
            reader: ResponseReader::new(share()),
            received: 0,
            mismatched: 0,
            abandoned_at: None,
            abandoned_request: None,
            is_check: false,
        })
    }

    /// Returns the size of the response as far as it was received.
    fn reply_size(&self) -> ReplySize {
        ReplySize {
            received: self.received,
            held: self.socket.input.len() + self.reader.held_bytes(),
        }
    }
}

impl Gateway {
    /// Registers a connection for events and sets its connect timeout; returns whether the
    /// registration succeeded.
    pub(super) fn register_leaf(&mut self, connection: usize) -> bool {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Leaf(connection).token();
        let leaf = &mut self.leaf_connections[connection];
        let stream = &mut leaf.socket.stream;
        let timer = Timer::Leaf(connection, leaf.serial);
        self.timers.add(self.now + CONNECT_TIMEOUT, timer);
        self.poll
            .registry()
            .register(stream, token, interest)
            .is_ok()
    }

    /// Writes pending output, first checking whether a new connection is established.
    pub(super) fn flush_leaf(&mut self, connection: usize) {
        let Some(leaf) = self.leaf_connections.get_mut(connection) else {
            return;
        };
        if leaf.connected_at.is_none() {
            let stream = &leaf.socket.stream;
            let error = stream.take_error().unwrap_or_else(Some);
            if let Some(error) = error {
                if error.kind() != io::ErrorKind::TimedOut {
                    self.leaf_links.on_closed();
                }
                return self.fail_unresponsive_leaf(connection);
            }
            if stream.peer_addr().is_err() {
                return;
            }
            leaf.connected_at = Some(self.now);
            return self.on_leaf_connected(connection);
        }
        if !leaf.socket.has_pending_output() {
            return;
        }
        let result = leaf.socket.flush();
        if leaf.socket.has_written() && !leaf.has_sent_bytes {
            leaf.has_sent_bytes = true;
            if let Some(attempt) = leaf.attempt {
                self.mark_sent(attempt);
            }
        }
        match result {
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                self.fail_unresponsive_leaf(connection);
            }
            Err(_) => self.fail_closed_leaf(connection),
            Ok(()) => {}
        }
    }

    /// Records what a connection holds.
    pub(super) fn settle_leaf(&mut self, connection: usize) {
        if let Some(leaf) = self.leaf_connections.get_mut(connection) {
            leaf.socket.settle();
        }
    }

    /// Closes a connection whose time to connect, to respond to an abandoned attempt or to be idle
    /// is over, unless the timer was set for an earlier connection with the same key.
    pub(super) fn on_leaf_timer(&mut self, connection: usize, serial: u64) {
        let Some(leaf) = self.leaf_connections.get(connection) else {
            return;
        };
        if leaf.serial != serial {
            return;
        }
        let now = self.now;
        if leaf.connected_at.is_none()
            && now.saturating_duration_since(leaf.opened_at) >= CONNECT_TIMEOUT
        {
            return self.fail_unresponsive_leaf(connection);
        }
        let is_over = |at: Instant| now.saturating_duration_since(at) >= ABANDONED_GRACE;
        if leaf.abandoned_at.is_some_and(is_over) {
            let (replica, sent_at) = (leaf.replica, leaf.requested_at);
            self.leaf_links.on_silent(replica, sent_at);
            self.record_unresponsive(replica);
            return self.close_leaf(connection);
        }
        if leaf.is_check && now.saturating_duration_since(leaf.opened_at) >= CHECK_TIMEOUT {
            return self.fail_unresponsive_leaf(connection);
        }
        let until = self.idle_until(leaf.replica, connection);
        if until.is_some_and(|until| now >= until) {
            self.close_leaf(connection);
        }
    }

    /// Sends a health request over a new connection, to check this VM's links.
    pub(super) fn send_health_request(&mut self, connection: usize, path: &str) {
        let leaf = &mut self.leaf_connections[connection];
        let host = leaf.address.to_string();
        let mut request = Vec::with_capacity(128);
        h1::write_request_line(&mut request, "GET", path);
        h1::write_field(&mut request, "Host", host.as_bytes());
        h1::write_head_end(&mut request);
        leaf.is_check = true;
        leaf.requested_at = self.now;
        leaf.reader.begin(false);
        leaf.is_awaiting_response = true;
        leaf.socket.queue(&request);
        let timer = Timer::Leaf(connection, leaf.serial);
        self.timers.add(self.now + CHECK_TIMEOUT, timer);
    }

    /// Fails the attempt of a connection that the leaf or the network closed. The leaf may have
    /// crashed.
    fn fail_closed_leaf(&mut self, connection: usize) {
        self.leaf_links.on_closed();
        self.record_failed_link(connection);
        let leaf = &mut self.leaf_connections[connection];
        let (replica, sent_at) = (leaf.replica, leaf.requested_at);
        if let Some(fingerprint) = leaf.abandoned_request.take() {
            self.record_late_crash(replica, fingerprint, sent_at);
        }
        self.fail_leaf(connection, Reply::Disconnected);
    }

    /// Fails the attempt of a connection that could not be established, or whose leaf did not
    /// respond in time.
    fn fail_unresponsive_leaf(&mut self, connection: usize) {
        self.record_failed_link(connection);
        self.fail_leaf(connection, Reply::Lost);
    }

    /// Records that a connection has failed, for the detection of lost links.
    fn record_failed_link(&mut self, connection: usize) {
        let leaf = &self.leaf_connections[connection];
        let (replica, sent_at) = (leaf.replica, leaf.requested_at);
        if leaf.is_awaiting_response || leaf.connected_at.is_none() {
            self.leaf_links.on_silent(replica, sent_at);
        }
        if !leaf.has_responded {
            let change = self.leaf_links.on_unreachable(&replica, self.now);
            self.apply_links_change(change);
            self.leaf_links.on_doubt(self.now);
            self.schedule_links_timer();
            self.prove_unreachable(replica);
        }
        self.check_leaf_links();
    }

    /// Fails the attempt of a connection; `reply` is its outcome if any byte of it was sent.
    fn fail_leaf(&mut self, connection: usize, reply: Reply) {
        let leaf = &mut self.leaf_connections[connection];
        let attempt = leaf.attempt.take();
        let reply = if leaf.has_sent_bytes {
            reply
        } else {
            Reply::Unreachable
        };
        let (replica, since) = (
            leaf.replica,
            leaf.connected_at.filter(|_| !leaf.has_responded),
        );
        if let Some(since) = since {
            let open_for = self.now.saturating_duration_since(since);
            self.record_broken_unanswered(replica, open_for);
        }
        self.close_leaf(connection);
        if let Some(attempt) = attempt {
            self.queue_reply(attempt, reply);
        }
    }

    /// Closes a connection and tells its pool.
    fn close_leaf(&mut self, connection: usize) {
        let leaf = self.leaf_connections.remove(connection);
        let (replica, attempt) = (leaf.replica, leaf.attempt);
        drop(leaf);
        if let Some(in_flight) = attempt.and_then(|attempt| self.attempts.get_mut(&attempt)) {
            in_flight.connection = None;
        }
        self.on_connection_closed(replica, connection);
    }
}
