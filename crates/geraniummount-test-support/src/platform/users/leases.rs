//! Leases of the stand-in store. A lease holds keys, which are removed when it ends.

use std::time::{Duration, Instant};

/// Leases that have not ended, and the last id that was given out.
#[derive(Debug, Default)]
pub(super) struct Leases {
    last_id: u64,
    entries: Vec<Lease>,
}

#[derive(Debug)]
struct Lease {
    id: u64,
    ttl: Duration,
    ends_at: Instant,
}

impl Leases {
    /// Grants a lease; returns its id.
    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_id += 1;
        self.entries.push(Lease {
            id: self.last_id,
            ttl,
            ends_at: Instant::now() + ttl,
        });
        self.last_id
    }

    /// Renews a lease; returns its time to live, or `None` if it has ended.
    pub(super) fn renew(&mut self, id: u64) -> Option<Duration> {
        let lease = self.entries.iter_mut().find(|lease| lease.id == id)?;
        lease.ends_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Returns whether a lease has not ended.
    pub(super) fn contains(&self, id: u64) -> bool {
        self.entries.iter().any(|lease| lease.id == id)
    }

    /// Ends a lease; returns whether it had not ended before.
    pub(super) fn end(&mut self, id: u64) -> bool {
        let was_held = self.contains(id);
        self.entries.retain(|lease| lease.id != id);
        was_held
    }

    /// Ends all leases, without giving out their ids again.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }

    /// Removes the leases whose time is over; returns their ids.
    pub(super) fn take_expired(&mut self) -> Vec<u64> {
        let now = Instant::now();
        let expired = self.entries.iter().filter(|lease| lease.ends_at <= now);
        let expired = expired.map(|lease| lease.id).collect();
        self.entries.retain(|lease| lease.ends_at > now);
        expired
    }
}
