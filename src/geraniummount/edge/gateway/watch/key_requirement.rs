//! Remembers, for VMs that start later, that a configuration has had a list of tenants.
//!
//! A version without the list takes all keys away. A VM that starts on such a version can't tell it from
//! one of a deployment that never had tenants, so a key of the store says which it is. The VMs write it
//! when it is missing, each after a random delay: the first one's write is enough.

use std::time::{Duration, Instant};

use log::info;
use rand::RngExt;

use super::Watcher;
use crate::edge::gateway::update::Update;
use crate::platform::{self, Error};

/// Maximum delay of a write. Versions that follow each other at once are known to the VMs that run.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(1);

/// Whether a configuration has had a list of tenants.
#[derive(Debug, Default)]
pub(super) struct KeyRequirement {
    /// When the key of the store is written if it is missing; `None` if no list is known.
    write_at: Option<Instant>,
}

impl KeyRequirement {
    /// Records that a configuration has a list.
    pub(super) fn note(&mut self, now: Instant) {
        let delay = MAX_WRITE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
        self.write_at.get_or_insert(now + delay);
    }

    fn is_noted(&self) -> bool {
        self.write_at.is_some()
    }

    fn is_write_due(&self, now: Instant) -> bool {
        self.write_at.is_some_and(|at| at <= now)
    }
}

impl Watcher {
    /// Returns how long a watch may wait, so that the key of the store is written in time.
    pub(super) fn max_watch_wait(&self, wait: Duration) -> Duration {
        let key = platform::KEYS_REQUIRED_KEY;
        let due = self.key_requirement.write_at;
        match due.filter(|_| self.store_cache.get(key).is_none()) {
            Some(at) => wait.min(at.saturating_duration_since(Instant::now())),
            None => wait,
        }
    }

    /// Tells the event loop, before it gets the routes, that an earlier version had a list of tenants.
    /// Returns whether it is still running.
    pub(super) fn publish_key_requirement(&mut self) -> bool {
        let is_stored = self.store_cache.get(platform::KEYS_REQUIRED_KEY).is_some();
        if !is_stored || self.key_requirement.is_noted() {
            return true;
        }
        self.key_requirement.note(Instant::now());
        self.sender.send(Update::KeysRequired)
    }

    /// Writes the key of the store if it is missing, as before the first list of tenants and after the
    /// store has come back from an older copy.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached or rejects the call.
    pub(super) fn record_key_requirement(&mut self) -> Result<(), Error> {
        let key = platform::KEYS_REQUIRED_KEY;
        let is_due = self.key_requirement.is_write_due(Instant::now());
        if !is_due || self.store_cache.get(key).is_some() {
            return Ok(());
        }
        // The watch reports the key; it is not written again before.
        self.key_requirement.write_at = Some(Instant::now() + MAX_WRITE_DELAY);
        let is_written = self.store.put_if_unchanged(key, b"1", 0)?;
        info!("keys event=required written={is_written}");
        Ok(())
    }
}
