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
const VERIFIED_TTL: Duration = Duration::from_millis(50);

const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection idle for so long is proven before it carries any request.
const MAX_UNVERIFIED_IDLE: Duration = Duration::from_secs(2);

/// A connection idle for so long is closed.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// A connection together with its place in the share.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection; closed before its place is given back.
    pub connection: Connection,
    /// Time after its last reply in which it needs no proof.
    verified_ttl: Duration,
    _permit: Permit,
}

impl PooledConnection {
    /// Sends a part on a connection, proven before where needed. A failed proof
    /// closes the connection, and the part opens a new one. Returns the connection
    /// if it can be used again.
    pub fn send(
        mut self,
        part: &Part,
        max_reply_bytes: u64,
    ) -> (Completion, Option<PooledConnection>) {
        if self.connection.verified_at.elapsed() > self.verified_ttl {
            exchange::probe(&self.connection, VERIFICATION_TIMEOUT);
        }
        let completion = exchange::send(&self.connection, part, max_reply_bytes);
        let is_reusable = match &completion {
            Completion::Replied { echo, .. } => *echo == Some(part.attempt),
            Completion::Shed { .. } | Completion::SnapshotNotHeld { .. } => true,
            _ => false,
        };
        self.record_reply(is_reusable);
        (completion, is_reusable.then_some(self))
    }

    /// Asks the leaf's health endpoint. Returns the connection if it answered.
    pub fn probe(mut self, timeout: Duration) -> (Health, Option<PooledConnection>) {
        let health = exchange::probe(&self.connection, timeout);
        let is_alive = matches!(health, Health::Answered { .. });
        self.record_reply(is_alive);
        (health, is_alive.then_some(self))
    }

    /// Counts the trust from the reply itself, as the task may hear of it late.
    fn record_reply(&mut self, is_verified: bool) {
        if is_verified {
            self.connection.verified_at = Instant::now();
        }
    }
}

#[derive(Debug)]
struct Permit(Arc<AtomicU16>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Idle connections, and the count of all.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    connect_timeout: Duration,
    share: u16,
    open: Arc<AtomicU16>,
    /// Longest unproven first.
    idle: Vec<PooledConnection>,
}

impl Connections {
    /// Creates an empty set with a share of the leaf's connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration, share: u16) -> Connections {
        Connections {
            address,
            connect_timeout,
            share,
            open: Arc::default(),
            idle: Vec::new(),
        }
    }

    /// Takes over a changed address or share.
    pub fn configure(&mut self, address: SocketAddr, connect_timeout: Duration, share: u16) {
        if address != self.address {
            self.close_idle();
        }
        self.address = address;
        self.connect_timeout = connect_timeout;
        self.share = share;
        while self.open_count() > self.share && !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Takes a connection for a request, idle or new; `None` when the share is
    /// used up.
    pub fn take(&mut self, kind: ConnectionKind, now: Instant) -> Option<PooledConnection> {
        let Some(mut pooled) = self.idle.pop() else {
            return self.open_new(now);
        };
        pooled.verified_ttl = match kind {
            ConnectionKind::Any => MAX_UNVERIFIED_IDLE,
            ConnectionKind::Verified => VERIFIED_TTL,
        };
        Some(pooled)
    }

    /// Takes the connection that needs a proof most, or a new one.
    pub fn take_for_probe(&mut self, now: Instant) -> Option<PooledConnection> {
        if self.idle.is_empty() {
            return self.open_new(now);
        }
        Some(self.idle.remove(0))
    }

    /// Makes a connection; `None` when the share is used up.
    pub fn open_new(&mut self, now: Instant) -> Option<PooledConnection> {
        if self.open_count() >= self.share {
            return None;
        }
        self.open.fetch_add(1, Ordering::AcqRel);
        Some(PooledConnection {
            connection: Connection::new(self.address, self.connect_timeout, now),
            verified_ttl: Duration::MAX,
            _permit: Permit(Arc::clone(&self.open)),
        })
    }

    /// Takes back a connection that just carried a whole reply.
    pub fn put(&mut self, pooled: PooledConnection) {
        if pooled.connection.address != self.address || self.open_count() > self.share {
            return;
        }
        self.idle.push(pooled);
    }

    /// Returns whether [`Connections::take`] would give one.
    pub fn has_available(&self) -> bool {
        !self.idle.is_empty() || self.open_count() < self.share
    }

    /// Closes the connections that carry no request.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Closes the connections that were idle for long.
    pub fn close_expired(&mut self, now: Instant) {
        let idle_time = |pooled: &PooledConnection| {
            now.saturating_duration_since(pooled.connection.verified_at)
        };
        self.idle.retain(|pooled| idle_time(pooled) < MAX_IDLE);
    }

    /// Returns the count of connections, with those that are still closing.
    pub fn open_count(&self) -> u16 {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the count of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }
}
