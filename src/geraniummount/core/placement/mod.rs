//! Chooses the leaf of a service for a request, based on what this VM has observed.
//!
//! Load pattern: a leaf answers in a few milliseconds, pauses for a hundred milliseconds now and
//! then, and is sometimes slow, unresponsive or gone. A VM observes only its own requests. The
//! expected latency of a leaf is therefore computed from three facts that the VM knows for sure:
//! how long its last requests to the leaf took, how many of its requests are in flight there, and
//! how long the oldest of these has been waiting. The last fact shows a pause before it is over.
//!
//! The [`Tier`] of a leaf takes precedence over its expected latency. A leaf is suspended, that is,
//! not tried for a while, after repeated failures or rejections. An attempt is one request that is
//! sent to one leaf; retries and hedges (second attempts at late requests) are extra attempts,
//! which the [`RetryAllowance`] of the service limits. A [`Replica`] is what this VM has observed
//! of one leaf, and a [`Group`] contains the replicas of one service. A leaf is unregistered once
//! the platform's store no longer lists it.

mod by_cost;
mod choice;
mod coldness;
mod departures;
mod evacuation;
mod group;
mod limit;
mod notice;
mod policy;
mod replica;
mod retry_allowance;
mod sample;
mod tier;
mod warm_up;
mod work;

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;

use self::departures::Departures;
use self::limit::Limit;
use self::warm_up::WarmUps;
use crate::core::cost::Costs;
use crate::core::duration_window::DurationWindow;
use crate::core::fleet::Share;
use crate::core::instance::Instance;
use crate::core::request_rate::RequestRate;
use crate::prelude::*;

pub use self::group::Group;
pub use self::limit::{LimitChange, LimitedAttempts};
pub use self::notice::{MAX_HOLD, NamedLimit, Notice};
pub use self::policy::Policy;
pub use self::replica::{Ending, Replica, ReplicaKey};
pub use self::retry_allowance::{RetryAllowance, Start};
pub use self::tier::Tier;
pub use self::work::Forecast;

/// Time for which an unregistered leaf is kept as the last choice. Leaves whose registrations were
/// lost while the platform's store was unavailable are registered again within this time.
pub const UNREGISTERED_GRACE: Duration = Duration::from_millis(2_000);

/// State of all services and their leaves, as this VM observes them.
#[derive(Debug)]
pub struct Placement {
    /// Failure domain of this VM, whose leaves are preferred.
    domain: DomainName,
    /// How this VM started, which determines the initial retry allowance of each service.
    allowance_start: Start,
    /// Share of this VM in the requests of all VMs.
    fleet_share: Share,
    /// Leaves of each service, sorted by the name of the service.
    groups: Vec<Group>,
    /// Runs of leaves that left.
    departures: Departures,
    /// Evacuated failure domains, sorted.
    evacuated: Vec<DomainName>,
    /// What decides which leaves are cold, and how their limits are divided.
    warm_ups: WarmUps,
    /// First attempts that the limits of leaves did not permit although no other leaf could take
    /// them; `None` before the first one.
    refused_by_limits: Option<RequestRate>,
    /// Era of the platform's store whose list of leaves was last received.
    era: Era,
    /// Latencies of the answers by route (the operator's rule for a host and a path prefix), sorted
    /// by the name of the route.
    route_latencies: Vec<(String, DurationWindow)>,
    /// Learned cost of requests; `None` unless leaves are chosen by it.
    costs: Option<Costs>,
    /// Key of the next leaf that is added.
    next_key: ReplicaKey,
    /// Id of the last attempt; ids are assigned in ascending order.
    last_attempt: AttemptId,
    rng: SmallRng,
}

impl Placement {
    /// Creates a placement without leaves.
    pub fn new(domain: impl Into<DomainName>, start: Start, rng: SmallRng) -> Placement {
        Placement {
            domain: domain.into(),
            allowance_start: start,
            fleet_share: Share::Unknown,
            groups: Vec::new(),
            departures: Departures::default(),
            evacuated: Vec::new(),
            warm_ups: WarmUps::default(),
            refused_by_limits: None,
            era: 0,
            route_latencies: Vec::new(),
            costs: None,
            next_key: 0,
            last_attempt: 0,
            rng,
        }
    }

    /// Records the era of the store whose list of leaves the next [`Placement::update`] contains.
    pub fn set_era(&mut self, era: Era) {
        self.era = era;
    }

    /// Sets the share of this VM in the requests of all VMs.
    pub fn set_fleet_share(&mut self, share: Share) {
        self.fleet_share = share;
    }

    /// Updates the registered leaves and marks all others as unregistered. A registered leaf that
    /// is known to have left is treated as leaving until it shows that it lives.
    ///
    /// Returns whether any known leaf is unregistered; the calling code then has to call
    /// [`Placement::remove_unregistered`] after [`UNREGISTERED_GRACE`].
    pub fn update(&mut self, instances: &[Instance], now: Instant) -> bool {
        for group in &mut self.groups {
            group.mark_all_unregistered(now);
        }
        for instance in instances {
            let index = self.find_or_insert_group(&instance.service, now);
            let is_local = instance.domain == self.domain;
            let instance = self.without_work_if_departed(instance);
            if self.groups[index].upsert(instance, is_local, self.next_key, now) {
                self.next_key += 1;
            }
        }
        self.mark_evacuated();
        self.update_coldness(now);
        for group in &self.groups {
            let replicas = group.replicas().iter();
            for replica in replicas.filter(|replica| replica.is_unregistered()) {
                self.departures.record(&replica.instance, self.era);
            }
        }
        self.groups.iter().any(Group::has_unregistered)
    }

    /// Returns a registered leaf, marked as leaving if it is known to have left.
    fn without_work_if_departed(&mut self, instance: &Instance) -> Instance {
        let mut instance = instance.clone();
        if instance.is_leaving {
            self.departures.record(&instance, self.era);
        } else if self.departures.blocks(&instance, self.era) {
            instance.is_leaving = true;
        } else {
            self.departures.forget(&instance);
        }
        instance
    }

    /// Records what a leaf said about further requests to it. Returns whether it accepts fewer
    /// requests than before.
    pub fn on_notice(
        &mut self,
        service: &str,
        key: ReplicaKey,
        notice: Notice,
        now: Instant,
    ) -> bool {
        let Ok(index) = self.search(service) else {
            return false;
        };
        let Some(replica) = self.groups[index].replica_mut(key) else {
            return false;
        };
        if notice.is_leaving {
            self.departures
                .record_announced(&replica.instance, self.era);
        }
        replica.on_notice(notice, now)
    }

    /// Updates the limit of a leaf by what the leaf's response to a request that was sent at
    /// `sent_at` says.
    pub fn on_limit(
        &mut self,
        service: &str,
        key: ReplicaKey,
        named: NamedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange {
        let Ok(index) = self.search(service) else {
            return LimitChange::Unchanged;
        };
        let replica = self.groups[index].replica_mut(key);
        replica.map_or(LimitChange::Unchanged, |replica| {
            Limit::update(&mut replica.limit, named, sent_at, &mut self.rng, now)
        })
    }

    /// Counts an attempt at a leaf if the leaf names a limit; returns whether it does.
    pub fn count_limited(&mut self, service: &str, key: ReplicaKey, is_extra: bool) -> bool {
        let replica = self.replica_mut(service, key);
        let limit = replica.and_then(|replica| replica.limit.as_mut());
        let is_limited = limit.is_some();
        if let Some(limit) = limit {
            limit.count(is_extra);
        }
        is_limited
    }

    /// Returns whether a leaf is known that accepts requests now.
    pub fn accepts_requests(&self, service: &str, key: ReplicaKey, now: Instant) -> bool {
        let replica = self.replica(service, key);
        replica.is_some_and(|replica| replica.accepts_requests(now))
    }

    /// Removes the leaves that have been unregistered for [`UNREGISTERED_GRACE`], or that are
    /// unregistered and leaving (accepting no new work), and returns their keys.
    pub fn remove_unregistered(&mut self, now: Instant) -> Vec<ReplicaKey> {
        let groups = self.groups.iter_mut();
        groups.flat_map(|group| group.remove_gone(now)).collect()
    }

    /// Records that a leaf sent no reply to an abandoned request, not even after it was abandoned.
    pub fn record_unresponsive(&mut self, service: &str, key: ReplicaKey, now: Instant) {
        if let Ok(index) = self.search(service) {
            self.groups[index].record_unresponsive(key, now);
        }
    }

    /// Records that a leaf closed the connection of an attempt before it answered. Returns whether
    /// the leaf may have crashed because of the attempt's request.
    pub fn record_crash(
        &mut self,
        service: &str,
        key: ReplicaKey,
        attempt: AttemptId,
        now: Instant,
    ) -> bool {
        let replica = self.replica_mut(service, key);
        replica.is_some_and(|replica| {
            let sent_at = replica.sent_at(attempt);
            sent_at.is_some_and(|sent_at| replica.record_crash(sent_at, now))
        })
    }

    /// As [`Placement::record_crash`], for an attempt that was sent at `sent_at` and abandoned.
    pub fn record_late_crash(
        &mut self,
        service: &str,
        key: ReplicaKey,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let replica = self.replica_mut(service, key);
        replica.is_some_and(|replica| replica.record_crash(sent_at, now))
    }

    /// Returns the leaves of a service.
    pub fn group(&self, service: &str) -> Option<&Group> {
        let index = self.search(service).ok()?;
        Some(&self.groups[index])
    }

    /// Returns a leaf.
    pub fn replica(&self, service: &str, key: ReplicaKey) -> Option<&Replica> {
        self.group(service)?.replica(key)
    }

    /// Records a request that is sent to a leaf; returns the id of the attempt.
    pub fn begin_attempt(&mut self, service: &str, key: ReplicaKey, now: Instant) -> AttemptId {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        if let Some(replica) = self.replica_mut(service, key) {
            replica.begin_attempt(attempt, now);
        }
        attempt
    }

    /// Records the end of an attempt; returns how long it took, or `None` if the attempt is
    /// unknown.
    pub fn end_attempt(
        &mut self,
        service: &str,
        key: ReplicaKey,
        attempt: AttemptId,
        ending: Ending,
        now: Instant,
    ) -> Option<Duration> {
        let index = self.search(service).ok()?;
        let group = &mut self.groups[index];
        let replica = group.replica_mut(key);
        let observed = replica.and_then(|replica| replica.work.end(attempt, ending, now));
        if let Some((costs, seen)) = self.costs.as_mut().zip(observed) {
            costs.record(service, &seen.profile, seen.work, now);
        }
        group.end_attempt(key, attempt, ending, now)
    }

    /// Records the latency of an answer to a request of a route.
    pub fn record_latency(&mut self, route: &str, took: Duration) {
        let index = self.search_route(route).unwrap_or_else(|index| {
            let latencies = (route.to_string(), DurationWindow::default());
            self.route_latencies.insert(index, latencies);
            index
        });
        self.route_latencies[index].1.record(took);
    }

    /// Returns the median latency of the recent answers of a route, or the typical latency of the
    /// service if no answer of the route was measured.
    pub fn route_latency(&self, route: &str, service: &str) -> Duration {
        let index = self.search_route(route).ok();
        let median = index.and_then(|index| self.route_latencies[index].1.median());
        median.unwrap_or_else(|| self.typical_latency(service))
    }

    fn search_route(&self, route: &str) -> Result<usize, usize> {
        self.route_latencies
            .binary_search_by(|times| times.0.as_str().cmp(route))
    }

    /// Returns whether a leaf is in another failure domain than this VM.
    pub fn is_in_other_domain(&self, service: &str, key: ReplicaKey) -> bool {
        let replica = self.replica(service, key);
        replica.is_some_and(|replica| replica.instance.domain != self.domain)
    }

    /// Returns a mutable reference to a leaf.
    pub fn replica_mut(&mut self, service: &str, key: ReplicaKey) -> Option<&mut Replica> {
        let index = self.search(service).ok()?;
        self.groups[index].replica_mut(key)
    }

    /// Returns the expected latency of a request that is sent to a leaf at `now`.
    pub fn expected_latency(&self, service: &str, key: ReplicaKey, now: Instant) -> Duration {
        let group = self.group(service);
        let expected =
            group.and_then(|group| Some(group.expected_latency(group.replica(key)?, now)));
        expected.unwrap_or_else(|| self.typical_latency(service))
    }

    /// Returns the median latency of the recent answers of a service.
    pub fn typical_latency(&self, service: &str) -> Duration {
        self.group(service)
            .map_or(group::DEFAULT_LATENCY, Group::typical_latency)
    }

    /// Records a new request to the service, which increases the service's retry allowance.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        if let Ok(index) = self.search(service) {
            self.groups[index].retry_allowance.record_request(now);
        }
    }

    /// Returns whether the service's retry allowance contains an extra attempt.
    pub fn has_extra_attempt(&self, service: &str) -> bool {
        let group = self.group(service);
        group.is_some_and(|group| group.retry_allowance.has_attempt())
    }

    /// Takes one extra attempt (a retry or a hedge) from the service's retry allowance; returns
    /// whether there was one.
    pub fn take_extra_attempt(&mut self, service: &str) -> bool {
        let index = self.search(service);
        index.is_ok_and(|index| self.groups[index].retry_allowance.take_attempt())
    }

    /// Takes one extra attempt from the retry allowance of each service, or none if one of them has
    /// none; returns whether they were taken.
    pub fn take_extra_attempts<'a>(
        &mut self,
        services: impl Iterator<Item = &'a str> + Clone,
    ) -> bool {
        let has_all = services.clone().all(|name| self.has_extra_attempt(name));
        if has_all {
            services.for_each(|name| {
                self.take_extra_attempt(name);
            });
        }
        has_all
    }

    fn search(&self, service: &str) -> Result<usize, usize> {
        let order = |group: &Group| group.service.as_str().cmp(service);
        self.groups.binary_search_by(order)
    }

    fn find_or_insert_group(&mut self, service: &ServiceName, now: Instant) -> usize {
        self.search(service).unwrap_or_else(|index| {
            let retry_allowance = RetryAllowance::new(self.allowance_start, now);
            self.groups
                .insert(index, Group::new(service.clone(), retry_allowance));
            index
        })
    }
}
