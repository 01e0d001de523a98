//! The leaves of one service.

use std::time::{Duration, Instant};

use super::allowance::Allowance;
use super::replica::{Key, Replica};
use crate::core::instance::Instance;
use crate::core::quantile::Quantile;
use crate::prelude::*;

/// Time of an answer before any was measured.
pub(super) const DEFAULT_TYPICAL: Duration = Duration::from_millis(20);

/// The leaves of one service, with what they share.
#[derive(Debug)]
pub struct Group {
    /// The service.
    pub service: ServiceName,
    /// Requests that may be sent once more.
    pub allowance: Allowance,
    replicas: Vec<Replica>,
    times: Quantile,
}

impl Group {
    pub(super) fn new(service: ServiceName, allowance: Allowance) -> Group {
        Group {
            service,
            allowance,
            replicas: Vec::new(),
            times: Quantile::default(),
        }
    }

    /// Returns the leaves.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Returns a leaf.
    pub fn replica(&self, key: Key) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.key == key)
    }

    pub(super) fn replica_mut(&mut self, key: Key) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.key == key)
    }

    /// Notes how long an answer took.
    pub fn record(&mut self, elapsed: Duration) {
        self.times.record(elapsed);
    }

    /// Returns how long an answer usually takes.
    pub fn typical(&self) -> Duration {
        self.times.median().unwrap_or(DEFAULT_TYPICAL)
    }

    /// Takes all leaves as no longer registered until the registry names them.
    pub(super) fn mark_all(&mut self, now: Instant) {
        for replica in &mut self.replicas {
            replica.lapsed_at.get_or_insert(now);
        }
    }

    /// Returns whether some leaf is no longer registered.
    pub(super) fn has_lapsed(&self) -> bool {
        self.replicas.iter().any(Replica::has_lapsed)
    }

    /// Takes over a registered leaf; returns whether it is new.
    pub(super) fn take(&mut self, instance: &Instance, near: bool, key: Key, now: Instant) -> bool {
        let same = |replica: &&mut Replica| replica.is_run_of(instance);
        if let Some(known) = self.replicas.iter_mut().find(same) {
            known.lapsed_at = None;
            known.instance = instance.clone();
            return false;
        }
        let replica = Replica::new(key, instance.clone(), near, now);
        self.replicas.push(replica);
        true
    }

    /// Drops the leaves that are gone, and returns their keys.
    pub(super) fn sweep(&mut self, now: Instant) -> Vec<Key> {
        let gone = self.replicas.iter().filter(|replica| replica.is_gone(now));
        let gone = gone.map(|replica| replica.key).collect();
        self.replicas.retain(|replica| !replica.is_gone(now));
        gone
    }
}
