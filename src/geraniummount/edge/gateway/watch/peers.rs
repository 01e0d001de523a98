//! Registers this VM for requests that other VMs delegate to it, and publishes the registered VMs.
//!
//! An entry has no lease: renewing one would cost calls on the store all day for something that is
//! needed for seconds. It is written when a VM is started for the first time, again after
//! [`REFRESH_INTERVAL`], and when it is missing, as after the store has come back from an older
//! copy of itself. A VM that starts again keeps the secret of its entry, and writes nothing. With
//! its own entry, a VM removes those that were not refreshed for [`MAX_AGE`].

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{info, warn};

use super::{Options, Watcher};
use crate::core::delegation::Peer;
use crate::edge::gateway::update::Update;
use crate::platform::{self, Error, peer_entry};

/// Age from which on a VM writes its entry again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(6 * 3600);

/// Age from which on the entry of a VM that is gone is removed.
const MAX_AGE: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of entries that are removed with one write.
const MAX_REMOVED: usize = 16;

/// Minimum interval between two writes, in which the store reports the first one.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Registration of this VM.
#[derive(Debug)]
pub(super) struct Registration {
    /// This VM, with a secret that is used if it has no entry yet.
    own: Peer,
    /// When the entry was last written; `None` before the first time.
    written_at: Option<Instant>,
}

impl Registration {
    /// Returns the registration of a VM; `None` if it takes no part.
    pub(super) fn new(options: &Options) -> Option<Registration> {
        let secret: u128 = rand::random();
        let own = Peer {
            name: options.name.clone(),
            domain: options.failure_domain.clone(),
            address: options.peer_listen?,
            key: format!("{secret:032x}"),
            millicores: options.millicores,
        };
        Some(Registration {
            own,
            written_at: None,
        })
    }
}

impl Watcher {
    /// Publishes all registered VMs; returns whether the event loop is still running.
    pub(super) fn publish_peers(&mut self) -> bool {
        if self.registration.is_none() {
            return true;
        }
        let entries = self.store_cache.iter_under(platform::PEER_PREFIX);
        let peers = entries.filter_map(|(key, _, value)| match peer_entry::read(key, value) {
            Ok(entry) => Some(entry.peer),
            Err(error) => {
                warn!(
                    "peer key={key:?} outcome=ignored error={:?}",
                    error.to_string()
                );
                None
            }
        });
        let peers = peers.collect();
        self.sender.send(Update::Peers(peers))
    }

    /// Writes the entry of this VM if it is missing, old or not that of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached or rejects the call.
    pub(super) fn register(&mut self) -> Result<(), Error> {
        let Some(registration) = &mut self.registration else {
            return Ok(());
        };
        let is_recent = |at: Instant| at.elapsed() < MIN_WRITE_INTERVAL;
        if registration.written_at.is_some_and(is_recent) {
            return Ok(());
        }
        let now_ms = now_ms();
        let own = &mut registration.own;
        let key = peer_entry::key(&own.name);
        let stored = self.store_cache.get(&key);
        let stored = stored.and_then(|(_, value)| peer_entry::read(&key, value).ok());
        if let Some(stored) = stored {
            own.key.clone_from(&stored.peer.key);
            if stored.peer == *own && !is_older(stored.written_at_ms, REFRESH_INTERVAL, now_ms) {
                return Ok(());
            }
        }
        let entry = peer_entry::PeerEntry {
            peer: own.clone(),
            written_at_ms: now_ms,
        };
        registration.written_at = Some(Instant::now());
        let old = self.old_entries(&key, now_ms);
        self.store
            .put_and_remove(&key, &peer_entry::write(&entry), &old)?;
        info!("peer event=registered removed={}", old.len());
        Ok(())
    }

    /// Returns the keys of the entries, other than `own_key`, of VMs that are gone.
    fn old_entries(&self, own_key: &str, now_ms: u64) -> Vec<String> {
        let entries = self.store_cache.iter_under(platform::PEER_PREFIX);
        let old = entries.filter(|(key, _, value)| {
            let written_at_ms = peer_entry::read(key, value).map_or(0, |entry| entry.written_at_ms);
            *key != own_key && is_older(written_at_ms, MAX_AGE, now_ms)
        });
        let old = old.map(|(key, _, _)| key.to_string());
        old.take(MAX_REMOVED).collect()
    }
}

fn is_older(written_at_ms: u64, age: Duration, now_ms: u64) -> bool {
    u128::from(now_ms.saturating_sub(written_at_ms)) >= age.as_millis()
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
