//! Pool of connections to one leaf, bounded by this VM's share of the connections that the leaf
//! accepts from all VMs. A probe is a request to the leaf's health endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use super::connection::Connection;
use super::exchange;
use crate::core::leaf_queue::{Completion, ConnectionKind, Health};
use crate::prelude::*;

/// Time since the last reply for which a connection counts as [`ConnectionKind::Verified`] and is
/// not probed before use.
const VERIFIED_TTL: Duration = Duration::from_millis(50);

/// Time limit of the probe before a connection is used.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(100);

/// Idle time after which a connection is probed before it carries any request.
const MAX_UNVERIFIED_IDLE: Duration = Duration::from_secs(2);

/// Idle time after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// A connection that counts towards this VM's share of the leaf's connections.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection. Fields drop in declaration order, which closes it before the permit is
    /// released.
    pub connection: Connection,
    /// Time since the last reply for which the connection is not probed before use.
    verified_ttl: Duration,
    _permit: Permit,
}

impl PooledConnection {
    /// Sends a part, after probing the connection if its last reply is too old. A failed probe
    /// closes the connection, and the part then opens a new one. Returns the connection if it can
    /// be reused.
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

    /// Queries the leaf's health endpoint. Returns the connection if the endpoint answered.
    pub fn probe(mut self, timeout: Duration) -> (Health, Option<PooledConnection>) {
        let health = exchange::probe(&self.connection, timeout);
        let is_alive = matches!(health, Health::Answered { .. });
        self.record_reply(is_alive);
        (health, is_alive.then_some(self))
    }

    /// Records the time of a reply here rather than in the leaf's task, which may process the reply
    /// late.
    fn record_reply(&mut self, is_verified: bool) {
        if is_verified {
            self.connection.verified_at = Instant::now();
        }
    }
}

/// Counts one open connection, until it is dropped.
#[derive(Debug)]
struct Permit(Arc<AtomicU16>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Idle connections to a leaf and the number of all open ones.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    connect_timeout: Duration,
    /// Maximum number of open connections.
    share: u16,
    /// Number of open connections, idle or in use.
    open: Arc<AtomicU16>,
    /// Idle connections, ordered by the time of their last reply, oldest first.
    idle: Vec<PooledConnection>,
}

impl Connections {
    /// Creates an empty pool that holds up to `share` connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration, share: u16) -> Connections {
        Connections {
            address,
            connect_timeout,
            share,
            open: Arc::default(),
            idle: Vec::new(),
        }
    }

    /// Applies a changed address, connect timeout or share. Closes idle connections to an old
    /// address and those above the share.
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

    /// Takes the most recently returned idle connection, or a new one. Returns `None` if the share
    /// is used up.
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

    /// Takes the connection whose last reply is the oldest, or a new one. Returns `None` if the
    /// share is used up.
    pub fn take_for_probe(&mut self, now: Instant) -> Option<PooledConnection> {
        if self.idle.is_empty() {
            return self.open_new(now);
        }
        Some(self.idle.remove(0))
    }

    /// Creates a connection. Returns `None` if the share is used up.
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

    /// Puts a connection that has just carried a complete reply back into the pool. Closes the
    /// connection if the address has changed or the share is exceeded.
    pub fn put(&mut self, pooled: PooledConnection) {
        if pooled.connection.address != self.address || self.open_count() > self.share {
            return;
        }
        self.idle.push(pooled);
    }

    /// Returns whether [`Connections::take`] would return a connection.
    pub fn has_available(&self) -> bool {
        !self.idle.is_empty() || self.open_count() < self.share
    }

    /// Closes the connections that carry no request.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Closes the connections that have been idle for [`MAX_IDLE`].
    pub fn close_expired(&mut self, now: Instant) {
        let idle_time = |pooled: &PooledConnection| {
            now.saturating_duration_since(pooled.connection.verified_at)
        };
        self.idle.retain(|pooled| idle_time(pooled) < MAX_IDLE);
    }

    /// Returns the number of open connections, including those that are being closed.
    pub fn open_count(&self) -> u16 {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }
}
