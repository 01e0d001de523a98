//! Cold leaves of all services: which there are, and what decides how their limits are divided.

use std::time::{Duration, Instant};

use super::{Group, Placement, Replica, ReplicaKey, Start};
use crate::core::route::WarmUp;
use crate::core::tolerance::Tolerance;
use crate::prelude::*;

/// Time from the first list of VMs until it is complete if the whole system has just started. All
/// VMs register within this time, and the first ones would take the parts of the others.
const FLEET_SETTLING_TIME: Duration = Duration::from_secs(3);

/// Time for which a larger number of VMs counts after a smaller one was read. All entries may vanish
/// when the store comes back from an older copy, and each VM would take the whole limit.
const FLEET_MEMORY: Duration = Duration::from_secs(60);

/// What decides which leaves are cold, and how their limits are divided.
#[derive(Debug)]
pub(super) struct WarmUps {
    /// What the operator says about cold leaves, sorted by service.
    services: Vec<(ServiceName, WarmUp)>,
    /// By how much the limits may be exceeded.
    pub(super) tolerance: Tolerance,
    /// Number of VMs, with this one; `None` if it is not known.
    fleet_size: Option<usize>,
    /// Larger number of VMs that was known before, and until when it counts.
    larger_fleet: Option<(usize, Instant)>,
    /// When the number of VMs was first known.
    fleet_known_at: Option<Instant>,
    /// Time of day in milliseconds since the Unix epoch, by which the age of a new leaf is known.
    unix_ms: Option<u64>,
    /// Leaves that have become cold, with their services.
    became_cold: Vec<(ServiceName, ReplicaKey)>,
}

impl Default for WarmUps {
    fn default() -> WarmUps {
        WarmUps {
            services: Vec::new(),
            tolerance: Tolerance {
                share: 0.0,
                requests: 0.0,
            },
            fleet_size: None,
            larger_fleet: None,
            fleet_known_at: None,
            unix_ms: None,
            became_cold: Vec::new(),
        }
    }
}

impl Placement {
    /// Sets by how much the limits of cold leaves may be exceeded.
    pub fn set_cold_tolerance(&mut self, tolerance: Tolerance) {
        self.warm_ups.tolerance = tolerance;
    }

    /// Sets what the operator says about cold leaves, sorted by service.
    pub fn set_warm_ups(&mut self, services: Vec<(ServiceName, WarmUp)>, now: Instant) {
        self.warm_ups.services = services;
        self.update_coldness(now);
    }

    /// Sets the number of VMs, with this one.
    pub fn set_fleet_size(&mut self, vms: usize, now: Instant) {
        let last = self.warm_ups.fleet_size.filter(|last| *last > vms);
        let last = last.map(|last| (last, now + FLEET_MEMORY));
        self.warm_ups.larger_fleet = self.larger_fleet(now).max(last);
        self.warm_ups.fleet_size = (vms > 0).then_some(vms);
        self.warm_ups.fleet_known_at.get_or_insert(now);
    }

    /// Sets the time of day, in milliseconds since the Unix epoch, for the next
    /// [`Placement::update`].
    pub fn set_time_of_day(&mut self, unix_ms: u64) {
        self.warm_ups.unix_ms = Some(unix_ms);
    }

    /// Records how long a leaf is cold according to its answer to a health request.
    pub fn on_health_answer(
        &mut self,
        service: &str,
        key: ReplicaKey,
        left: Duration,
        now: Instant,
    ) {
        if let Some(replica) = self.replica_mut(service, key) {
            replica.coldness.on_health_answer(left, now);
            self.update_coldness(now);
        }
    }

    /// Returns whether a leaf is cold and its requests are limited therefore.
    pub fn is_cold(&self, service: &str, key: ReplicaKey) -> bool {
        let replica = self.replica(service, key);
        replica.is_some_and(|replica| replica.cold_until.is_some())
    }

    /// Returns the number of cold leaves.
    pub fn cold_leaves(&self, now: Instant) -> usize {
        let replicas = self.groups.iter().flat_map(Group::replicas);
        replicas.filter(|replica| replica.is_cold(now)).count()
    }

    /// Returns the leaves that have become cold since the last call, with their services.
    pub fn take_cold(&mut self) -> Vec<(ServiceName, ReplicaKey)> {
        std::mem::take(&mut self.warm_ups.became_cold)
    }

    /// Returns the number of VMs that counts, if it is known.
    fn counted_vms(&self, now: Instant) -> Option<usize> {
        let larger = self.larger_fleet(now).map(|(vms, _)| vms);
        self.warm_ups.fleet_size.max(larger)
    }

    fn larger_fleet(&self, now: Instant) -> Option<(usize, Instant)> {
        self.warm_ups.larger_fleet.filter(|(_, until)| now < *until)
    }

    /// Returns the equal share of each VM, if the number of VMs is known, and whether that number
    /// can be relied on.
    pub(super) fn equal_share(&self, now: Instant) -> (Option<f64>, bool) {
        let share = self.counted_vms(now).map(|vms| 1.0 / vms as f64);
        let known_for = self.warm_ups.fleet_known_at;
        let known_for = known_for.map(|at| now.saturating_duration_since(at));
        let is_complete = known_for.is_some_and(|time| time >= FLEET_SETTLING_TIME);
        (share, is_complete || self.allowance_start == Start::Restart)
    }

    /// Brings up to date which leaves are cold.
    pub(super) fn update_coldness(&mut self, now: Instant) {
        let WarmUps {
            services,
            unix_ms,
            became_cold,
            ..
        } = &mut self.warm_ups;
        for group in &mut self.groups {
            let index = services.binary_search_by(|(service, _)| service.cmp(&group.service));
            let warm_up = index.ok().map(|index| services[index].1);
            let service = group.service.clone();
            for replica in group.replicas_mut() {
                if replica.is_new(now) {
                    let started_at = started_at(replica, *unix_ms, now);
                    replica.coldness.set_start(started_at);
                }
                replica.coldness.set_warm_up(warm_up);
                if replica.update_coldness(now) {
                    became_cold.push((service.clone(), replica.key));
                }
            }
        }
    }
}

/// Returns when a leaf was started, if that is known and not too long ago for the clock. A start in
/// the future, by another clock, counts as one that is just happening.
fn started_at(replica: &Replica, unix_ms: Option<u64>, now: Instant) -> Option<Instant> {
    let age_ms = unix_ms?.saturating_sub(replica.instance.started_at_ms?);
    now.checked_sub(Duration::from_millis(age_ms))
}
