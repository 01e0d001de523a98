//! The connections to one leaf, counted against this VM's share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use super::connection::Connection;
use super::exchange;
use crate::core::leaf_queue::{Completion, ConnectionKind, Health};
use crate::prelude::*;

/// A connection that carried a reply so recently needs no proof.
const PROOF_LIFE: Duration = Duration::from_millis(50);

const PROOF_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection idle for so long is proven before it carries any request.
const TRUSTED_IDLE: Duration = Duration::from_secs(2);

/// A connection idle for so long is closed.
const LONGEST_IDLE: Duration = Duration::from_secs(30);

/// A connection together with its place in the share.
#[derive(Debug)]
pub struct Held {
    /// The connection; closed before its place is given back.
    pub connection: Connection,
    /// Time after its last reply in which it needs no proof.
    trusted: Duration,
    _place: Place,
}

impl Held {
    /// Sends a part on a connection, proven before where needed. A failed proof
    /// closes the connection, and the part opens a new one. Returns the connection
    /// if it can be used again.
    pub fn carry(mut self, part: &Part, max_reply_bytes: u64) -> (Completion, Option<Held>) {
        if self.connection.proven.elapsed() > self.trusted {
            exchange::probe(&self.connection, PROOF_TIMEOUT);
        }
        let ending = exchange::run(&self.connection, part, max_reply_bytes);
        let whole = match &ending {
            Completion::Replied { echo, .. } => *echo == Some(part.attempt),
            Completion::Shed { .. } | Completion::SnapshotNotHeld { .. } => true,
            _ => false,
        };
        self.note_reply(whole);
        (ending, whole.then_some(self))
    }

    /// Asks the leaf's health endpoint. Returns the connection if it answered.
    pub fn probe(mut self, timeout: Duration) -> (Health, Option<Held>) {
        let health = exchange::probe(&self.connection, timeout);
        let is_alive = matches!(health, Health::Answered { .. });
        self.note_reply(is_alive);
        (health, is_alive.then_some(self))
    }

    /// Counts the trust from the reply itself, as the task may hear of it late.
    fn note_reply(&mut self, is_whole: bool) {
        if is_whole {
            self.connection.proven = Instant::now();
        }
    }
}

#[derive(Debug)]
struct Place(Arc<AtomicU16>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Idle connections, and the count of all.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    open_timeout: Duration,
    share: u16,
    open: Arc<AtomicU16>,
    /// Longest unproven first.
    idle: Vec<Held>,
}

impl Connections {
    /// Creates an empty set with a share of the leaf's connections.
    pub fn new(address: SocketAddr, open_timeout: Duration, share: u16) -> Connections {
        Connections {
            address,
            open_timeout,
            share,
            open: Arc::default(),
            idle: Vec::new(),
        }
    }

    /// Takes over a changed address or share.
    pub fn configure(&mut self, address: SocketAddr, open_timeout: Duration, share: u16) {
        if address != self.address {
            self.close_idle();
        }
        self.address = address;
        self.open_timeout = open_timeout;
        self.share = share;
        while self.open() > self.share && !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Takes a connection for a request, idle or new; `None` when the share is
    /// used up.
    pub fn take(&mut self, connection: ConnectionKind, now: Instant) -> Option<Held> {
        let Some(mut held) = self.idle.pop() else {
            return self.open_new(now);
        };
        held.trusted = match connection {
            ConnectionKind::Any => TRUSTED_IDLE,
            ConnectionKind::Verified => PROOF_LIFE,
        };
        Some(held)
    }

    /// Takes the connection that needs a proof most, or a new one.
    pub fn take_for_probe(&mut self, now: Instant) -> Option<Held> {
        if self.idle.is_empty() {
            return self.open_new(now);
        }
        Some(self.idle.remove(0))
    }

    /// Makes a connection; `None` when the share is used up.
    pub fn open_new(&mut self, now: Instant) -> Option<Held> {
        if self.open() >= self.share {
            return None;
        }
        self.open.fetch_add(1, Ordering::AcqRel);
        Some(Held {
            connection: Connection::new(self.address, self.open_timeout, now),
            trusted: Duration::MAX,
            _place: Place(Arc::clone(&self.open)),
        })
    }

    /// Takes back a connection that just carried a whole reply.
    pub fn put(&mut self, held: Held) {
        if held.connection.address != self.address || self.open() > self.share {
            return;
        }
        self.idle.push(held);
    }

    /// Returns whether [`Connections::take`] would give one.
    pub fn has_room(&self) -> bool {
        !self.idle.is_empty() || self.open() < self.share
    }

    /// Closes the connections that carry no request.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Closes the connections that were idle for long.
    pub fn close_old(&mut self, now: Instant) {
        let idle = |held: &Held| now.saturating_duration_since(held.connection.proven);
        self.idle.retain(|held| idle(held) < LONGEST_IDLE);
    }

    /// Returns the count of connections, with those that are still closing.
    pub fn open(&self) -> u16 {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the count of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }
}
