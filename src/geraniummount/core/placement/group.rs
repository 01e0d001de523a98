//! Leaves of one service.
//!
//! An attempt is one request that is sent to one leaf; retries and hedges (second attempts at late
//! requests) are extra attempts. A leaf is unregistered once the platform's store no longer lists
//! it.

use std::time::{Duration, Instant};

use super::replica::{Ending, Replica, ReplicaKey};
use super::retry_allowance::RetryAllowance;
use crate::core::duration_window::DurationWindow;
use crate::core::instance::Instance;
use crate::core::scope::Scope;
use crate::prelude::*;

/// Assumed latency of a service before any was measured.
pub(super) const DEFAULT_LATENCY: Duration = Duration::from_millis(20);

/// Leaves of one service and the state that they share.
#[derive(Debug)]
pub struct Group {
    /// The service.
    pub service: ServiceName,
    /// Allowance for extra attempts (retries and hedges) at the service.
    pub retry_allowance: RetryAllowance,
    /// Observations of each leaf.
    replicas: Vec<Replica>,
    /// Latencies of the recent answers of all leaves.
    latencies: DurationWindow,
}

impl Group {
    pub(super) fn new(service: ServiceName, retry_allowance: RetryAllowance) -> Group {
        Group {
            service,
            retry_allowance,
            replicas: Vec::new(),
            latencies: DurationWindow::default(),
        }
    }

    /// Returns the leaves.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    pub(super) fn replicas_mut(&mut self) -> &mut [Replica] {
        &mut self.replicas
    }

    /// Returns a leaf.
    pub fn replica(&self, key: ReplicaKey) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.key == key)
    }

    pub(super) fn replica_mut(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.key == key)
    }

    /// Records the end of an attempt; returns how long it took, or `None` if the attempt is
    /// unknown.
    pub(super) fn end_attempt(
        &mut self,
        key: ReplicaKey,
        attempt: AttemptId,
        ending: Ending,
        now: Instant,
    ) -> Option<Duration> {
        let interval = self.retry_allowance.interval();
        let replica = self.replica_mut(key)?;
        let elapsed = replica.end_attempt(attempt, ending, interval, now)?;
        if ending == Ending::Answered {
            self.latencies.record(elapsed);
        }
        Some(elapsed)
    }

    /// Records that a leaf sent no reply to an abandoned request, not even after it was abandoned.
    pub(super) fn record_unresponsive(&mut self, key: ReplicaKey, now: Instant) {
        let interval = self.retry_allowance.interval();
        if let Some(replica) = self.replica_mut(key) {
            replica.record_unresponsive(interval, now);
        }
    }

    /// Returns the expected latency of a request that is sent to a leaf at `now`.
    pub fn expected_latency(&self, replica: &Replica, now: Instant) -> Duration {
        replica.expected_latency(self.typical_latency(), self.retry_allowance.interval(), now)
    }

    /// Returns the median latency of the recent answers.
    pub fn typical_latency(&self) -> Duration {
        self.latencies.median().unwrap_or(DEFAULT_LATENCY)
    }

    /// Returns the requests per second that this VM would send to each leaf if all shared the load
    /// equally.
    pub(super) fn usual_per_second(&self, now: Instant) -> f64 {
        let leaves = self.replicas.iter().filter(|r| r.is_usable(now)).count();
        self.retry_allowance.requests_per_second(now) / leaves.max(1) as f64
    }

    /// Returns the usable leaves of the failure domains in `scope` that are not in `tried`.
    pub(super) fn untried<'a>(
        &'a self,
        scope: &'a Scope,
        tried: &'a [ReplicaKey],
        now: Instant,
    ) -> impl Iterator<Item = &'a Replica> {
        let others = self.replicas.iter().filter(|r| !tried.contains(&r.key));
        let allowed = others.filter(|replica| scope.contains(&replica.instance.domain));
        allowed.filter(move |replica| replica.is_usable(now))
    }

    /// Returns whether a usable leaf in `scope` that is not in `tried` has no limit.
    pub(super) fn has_unlimited(&self, scope: &Scope, tried: &[ReplicaKey], now: Instant) -> bool {
        let mut usable = self.untried(scope, tried, now);
        usable.any(|replica| !replica.is_limited(now) && !replica.is_cold(now))
    }

    /// Marks all leaves as unregistered; [`Group::upsert`] reverts this for a registered leaf.
    pub(super) fn mark_all_unregistered(&mut self, now: Instant) {
        for replica in &mut self.replicas {
            replica.unregistered_since.get_or_insert(now);
        }
    }

    /// Returns whether any leaf is unregistered.
    pub(super) fn has_unregistered(&self) -> bool {
        self.replicas.iter().any(Replica::is_unregistered)
    }

    /// Adds or updates a registered leaf; returns whether it is new.
    pub(super) fn upsert(
        &mut self,
        instance: Instance,
        is_local: bool,
        key: ReplicaKey,
        now: Instant,
    ) -> bool {
        let is_same_run = |replica: &&mut Replica| replica.is_run_of(&instance);
        if let Some(known) = self.replicas.iter_mut().find(is_same_run) {
            known.unregistered_since = None;
            known.work.set_slots(instance.slots);
            known.register(instance, now);
            return false;
        }
        let replica = Replica::new(key, instance, is_local, now);
        self.replicas.push(replica);
        true
    }

    /// Removes the leaves that have been unregistered for long enough, or that are unregistered and
    /// leaving, and returns their keys.
    pub(super) fn remove_gone(&mut self, now: Instant) -> Vec<ReplicaKey> {
        let gone = self.replicas.iter().filter(|replica| replica.is_gone(now));
        let gone = gone.map(|replica| replica.key).collect();
        self.replicas.retain(|replica| !replica.is_gone(now));
        gone
    }
}
