//! Key-value store of the stand-in platform: versioned values, and leases that delete their keys
//! when they expire.

use std::time::{Duration, Instant};

/// Keys, values and leases.
#[derive(Debug, Default)]
pub(super) struct Store {
    entries: Vec<Entry>,
    leases: Vec<Lease>,
    last_lease_id: u64,
}

/// A key with its value; the entry stays after a deletion to remember the last version.
#[derive(Debug)]
struct Entry {
    key: String,
    version: u64,
    /// `None` if the key was deleted.
    value: Option<Vec<u8>>,
    /// Id of the lease whose end deletes the key.
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    id: u64,
    ttl: Duration,
    expires_at: Instant,
}

/// The current version and value, returned for a write that expected another version.
pub(super) type Conflict = (u64, Vec<u8>);

impl Store {
    /// Returns the version and value of a key; version 0 if the key is absent.
    pub(super) fn get(&self, key: &str) -> (u64, Option<&[u8]>) {
        match self.find(key) {
            Ok(index) => match &self.entries[index] {
                Entry {
                    value: Some(value),
                    version,
                    ..
                } => (*version, Some(value)),
                _ => (0, None),
            },
            Err(_) => (0, None),
        }
    }

    /// Writes a value if the current version is `expected`; returns the new version.
    pub(super) fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> Result<u64, Conflict> {
        self.check_version(key, expected)?;
        let index = match self.find(key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Entry::new(key));
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.version += 1;
        entry.value = Some(value);
        entry.lease = lease;
        Ok(entry.version)
    }

    /// Deletes a value if the current version is `expected`.
    pub(super) fn delete(&mut self, key: &str, expected: u64) -> Result<(), Conflict> {
        self.check_version(key, expected)?;
        if let Ok(index) = self.find(key) {
            self.entries[index].value = None;
        }
        Ok(())
    }

    /// Returns the existing keys in ascending order.
    pub(super) fn keys(&self) -> Vec<String> {
        let present = self.entries.iter().filter(|entry| entry.value.is_some());
        present.map(|entry| entry.key.clone()).collect()
    }

    /// Grants a lease and returns its id.
    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_lease_id += 1;
        self.leases.push(Lease {
            id: self.last_lease_id,
            ttl,
            expires_at: Instant::now() + ttl,
        });
        self.last_lease_id
    }

    /// Renews a lease and returns its TTL; `None` if there is no such lease or it has expired.
    pub(super) fn renew(&mut self, id: u64) -> Option<Duration> {
        let lease = self.leases.iter_mut().find(|lease| lease.id == id)?;
        lease.expires_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Returns whether a lease exists.
    pub(super) fn has_lease(&self, id: u64) -> bool {
        self.leases.iter().any(|lease| lease.id == id)
    }

    /// Revokes a lease and deletes its keys.
    pub(super) fn revoke(&mut self, id: u64) {
        self.leases.retain(|lease| lease.id != id);
        let held = self
            .entries
            .iter_mut()
            .filter(|entry| entry.lease == Some(id));
        for entry in held {
            entry.value = None;
            entry.lease = None;
        }
    }

    /// Revokes the leases that have expired.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|lease| lease.expires_at <= now);
        let ids: Vec<u64> = expired.map(|lease| lease.id).collect();
        for id in ids {
            self.revoke(id);
        }
    }

    fn check_version(&self, key: &str, expected: u64) -> Result<(), Conflict> {
        match self.get(key) {
            (version, _) if version == expected => Ok(()),
            (version, value) => Err((version, value.unwrap_or_default().to_vec())),
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.key.as_str().cmp(key))
    }
}

impl Entry {
    fn new(key: &str) -> Entry {
        Entry {
            key: key.to_string(),
            version: 0,
            value: None,
            lease: None,
        }
    }
}
