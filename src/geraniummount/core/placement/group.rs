//! The leaves of one service.

use std::time::{Duration, Instant};

use super::allowance::Allowance;
use super::replica::{Ending, Key, Replica};
use crate::core::duration_window::DurationWindow;
use crate::core::instance::Instance;
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
    times: DurationWindow,
}

impl Group {
    pub(super) fn new(service: ServiceName, allowance: Allowance) -> Group {
        Group {
            service,
            allowance,
            replicas: Vec::new(),
            times: DurationWindow::default(),
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

    /// Notes the end of an attempt; returns the time that it took.
    pub(super) fn end(
        &mut self,
        key: Key,
        attempt: AttemptId,
        ending: Ending,
        now: Instant,
    ) -> Option<Duration> {
        let interval = self.allowance.interval();
        let replica = self.replica_mut(key)?;
        let elapsed = replica.end(attempt, ending, interval, now)?;
        if ending == Ending::Answered {
            self.times.record(elapsed);
        }
        Some(elapsed)
    }

    /// Notes that a leaf did not even answer late.
    pub(super) fn stay_silent(&mut self, key: Key, now: Instant) {
        let interval = self.allowance.interval();
        if let Some(replica) = self.replica_mut(key) {
            replica.stay_silent(interval, now);
        }
    }

    /// Returns how long a request that is sent now is expected to take at a
    /// leaf.
    pub fn expected(&self, replica: &Replica, now: Instant) -> Duration {
        replica.expected(self.typical(), self.allowance.interval(), now)
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
