//! Connections to other VMs: each carries one delegated request at a time. [`reading`] reads the
//! responses.

mod reading;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::debug;
use mio::Interest;
use socket2::SockRef;

use super::assignment::Assignment;
use super::wire;
use crate::core::delegation::{Outcome, Terms};
use crate::core::memory_account::{Account, Holder};
use crate::edge::gateway::Gateway;
use crate::edge::gateway::response_reader::ResponseReader;
use crate::edge::gateway::socket::{self, Socket};
use crate::edge::gateway::timers::Timer;
use crate::edge::gateway::token::EventSource;
use crate::platform::headers;
use crate::prelude::*;

/// Maximum time to establish a connection to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which an idle connection is kept. It is shorter than the time after which the other VM
/// closes it, so that no request is sent while it does.
const KEEP_TIME: Duration = Duration::from_secs(2);

/// Maximum time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to another VM.
#[derive(Debug)]
pub(in crate::edge::gateway) struct PeerConnection {
    /// Number that tells the connection from others that had the same key.
    serial: u64,
    peer: VmName,
    socket: Socket,
    /// What the connection is used for; `None` if it is idle.
    assignment: Option<Assignment>,
    reader: ResponseReader,
    opened_at: Instant,
    /// When the TCP connection was established; `None` until then.
    connected_at: Option<Instant>,
    /// Whether any byte of the current request has been written.
    has_sent_bytes: bool,
    /// Number of bytes received since the last request was sent.
    received: usize,
    /// When the connection became idle.
    idle_since: Option<Instant>,
}

impl PeerConnection {
    fn connect(
        peer: VmName,
        address: SocketAddr,
        source: Option<IpAddr>,
        serial: u64,
        account: &Account,
        now: Instant,
    ) -> io::Result<PeerConnection> {
        let stream = socket::connect(address, source)?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let share = || account.share(Holder::Peers);
        Ok(PeerConnection {
            serial,
            peer,
            socket: Socket::new(stream, share(), share()),
            assignment: None,
            reader: ResponseReader::new(share()),
            opened_at: now,
            connected_at: None,
            has_sent_bytes: false,
            received: 0,
            idle_since: None,
        })
    }

    /// Closes the connection with a reset. A request that is still on its way must not reach the VM
    /// later, when another VM has served it.
    pub(super) fn reset(self) {
        if let Err(error) = SockRef::from(&self.socket.stream).set_linger(Some(Duration::ZERO)) {
            debug!("delegation event=not-reset error=\"{error}\"");
        }
    }

    /// Returns the round trip time to the VM, measured when the connection was established.
    fn round_trip(&self) -> Duration {
        let connected_at = self.connected_at.unwrap_or(self.opened_at);
        connected_at.saturating_duration_since(self.opened_at)
    }
}

impl Gateway {
    /// Passes a delegated request to a VM, over an idle or a new connection.
    pub(super) fn send_to_peer(&mut self, assignment: Assignment, peer: &VmName) {
        let connections = self.delegation.connections.iter();
        let mut idle = connections.filter(|(_, open)| open.assignment.is_none());
        let idle = idle
            .find(|(_, open)| open.peer == *peer)
            .map(|(key, _)| key);
        let connection = match idle {
            Some(connection) => connection,
            None => match self.open_peer_connection(peer) {
                Ok(connection) => connection,
                Err(error) => {
                    debug!("delegation peer={peer} event=connect-failed error=\"{error}\"");
                    return self.complete(assignment, Outcome::Unreachable);
                }
            },
        };
        let open = &mut self.delegation.connections[connection];
        open.assignment = Some(assignment);
        open.idle_since = None;
        open.has_sent_bytes = false;
        open.received = 0;
        let is_connected = open.connected_at.is_some();
        if let Some(state) = self.delegation.awaiting(assignment) {
            state.connection = Some(connection);
        }
        if is_connected {
            self.write_delegated(connection);
        }
    }

    fn open_peer_connection(&mut self, peer: &VmName) -> io::Result<usize> {
        let address = self.delegation.peers.get(peer).map(|peer| peer.address);
        let address = address.ok_or(io::ErrorKind::NotFound)?;
        let serial = self.allocate_serial();
        let source = self.options.source;
        let account = &self.account;
        let mut open =
            PeerConnection::connect(peer.clone(), address, source, serial, account, self.now)?;
        let entry = self.delegation.connections.vacant_entry();
        let key = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Peer(key).token();
        self.poll
            .registry()
            .register(&mut open.socket.stream, token, interest)?;
        entry.insert(open);
        self.timers
            .add(self.now + CONNECT_TIMEOUT, Timer::Peer(key, serial));
        Ok(key)
    }

    /// Writes the request that a connection was assigned, unless its time is over.
    fn write_delegated(&mut self, connection: usize) {
        self.read_clock();
        let Some(open) = self.delegation.connections.get_mut(connection) else {
            return;
        };
        let Some(assignment) = open.assignment else {
            return;
        };
        let delegated = self.delegation.requests.get(assignment.request);
        let delegated = delegated.filter(|delegated| delegated.awaits(assignment.handoff));
        let Some(delegated) = delegated.filter(|delegated| delegated.request.may_send(self.now))
        else {
            return self.fail_peer(connection);
        };
        let request = &delegated.caller_request;
        let Some(peer) = self.delegation.peers.get(&open.peer) else {
            return self.fail_peer(connection);
        };
        let round_trip = open.round_trip();
        let terms = Terms {
            from: self.options.name.clone(),
            min_version: request.min_version,
            elapsed: self.now.saturating_duration_since(request.started) + round_trip,
            sends: request.sends,
            purpose: request.purpose,
            credential: request.credential,
        };
        let Some(left) = request.plan.time_to_write(round_trip, self.now) else {
            self.keep_idle(connection);
            return self.complete(assignment, Outcome::OutOfTime);
        };
        let forwarded = &request.forwarded;
        let mut bytes = Vec::with_capacity(512);
        forwarded.write_head(&mut bytes);
        headers::write_timeout(&mut bytes, left);
        wire::write_terms(&mut bytes, &terms, &peer.key);
        wire::write_handoff(&mut bytes, assignment.handoff);
        forwarded.write_head_end(&mut bytes);
        let content = Arc::clone(&forwarded.content);
        open.reader.begin(forwarded.method == "HEAD");
        open.socket.queue_with_body(bytes, content);
        self.flush_peer(connection);
    }

    /// Writes pending output, first checking whether a new connection is established.
    pub(in crate::edge::gateway) fn flush_peer(&mut self, connection: usize) {
        let Some(open) = self.delegation.connections.get_mut(connection) else {
            return;
        };
        if open.connected_at.is_none() {
            let stream = &open.socket.stream;
            let failed = stream.take_error().map_or(true, |error| error.is_some());
            if failed {
                return self.fail_peer(connection);
            }
            if stream.peer_addr().is_err() {
                return;
            }
            open.connected_at = Some(self.now);
            return self.write_delegated(connection);
        }
        if !open.socket.has_pending_output() {
            return;
        }
        if open.socket.flush().is_err() {
            return self.fail_peer(connection);
        }
        if open.socket.has_written() && !open.has_sent_bytes {
            open.has_sent_bytes = true;
            if let Some(assignment) = open.assignment
                && let Some(state) = self.delegation.awaiting(assignment)
            {
                state.request.on_sent(assignment.handoff, self.now);
                self.schedule_delegated(assignment.request);
            }
        }
    }

    /// Keeps a connection for another request.
    fn keep_idle(&mut self, connection: usize) {
        let open = &mut self.delegation.connections[connection];
        open.assignment = None;
        open.idle_since = Some(self.now);
        let timer = Timer::Peer(connection, open.serial);
        self.timers.add(self.now + KEEP_TIME, timer);
    }

    /// Closes a connection whose time to connect or to be idle is over, unless the timer was set
    /// for an earlier connection with the same key.
    pub(in crate::edge::gateway) fn on_peer_timer(&mut self, connection: usize, serial: u64) {
        let Some(open) = self.delegation.connections.get(connection) else {
            return;
        };
        if open.serial != serial {
            return;
        }
        let is_over = |at: Instant, time| self.now.saturating_duration_since(at) >= time;
        if open.connected_at.is_none() && is_over(open.opened_at, CONNECT_TIMEOUT) {
            return self.fail_peer(connection);
        }
        if open.idle_since.is_some_and(|at| is_over(at, KEEP_TIME)) {
            self.delegation.connections.remove(connection);
        }
    }

    /// Closes a connection, and ends the use of it by a delegated request.
    fn fail_peer(&mut self, connection: usize) {
        let open = self.delegation.connections.remove(connection);
        let Some(assignment) = open.assignment else {
            return;
        };
        let was_sent = open.has_sent_bytes || open.socket.has_written_part();
        let outcome = if was_sent {
            Outcome::Lost
        } else {
            Outcome::Unreachable
        };
        self.complete(assignment, outcome);
    }
}
