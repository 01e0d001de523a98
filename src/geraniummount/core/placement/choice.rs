//! Choice of a leaf for an attempt.
//!
//! The tier of a leaf takes precedence over its expected latency. A leaf that is cold, or that limits
//! the requests of all VMs together, is passed over if this VM's part of the limit does not permit
//! the attempt.

use std::time::Instant;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::by_cost::RequestCost;
use super::limit::{Need, Portion};
use super::{Group, Placement, ReplicaKey, Tier};
use crate::core::request_rate::RequestRate;
use crate::core::scope::Scope;

/// Number of refused first attempts per second from which on this VM lacks room. Below it, knowing its
/// part of the limits exactly is not worth the calls on the store.
const MIN_REFUSED_PER_SECOND: f64 = 0.5;

/// Maximum relative increase that is randomly added to an expected latency. Two replicas whose
/// expected latencies differ by less share the load.
const SELECTION_JITTER: f64 = 0.1;

/// Factor on the expected latency of a leaf in another failure domain.
///
/// Such a leaf is chosen only if it is expected to be faster by more than this factor. An answer
/// waits for the slowest shard, so a few milliseconds saved on another shard gain nothing, while
/// every byte between failure domains costs money.
const OTHER_DOMAIN_FACTOR: f64 = 1.5;

impl Placement {
    /// Returns whether limits of leaves often refuse attempts that no other leaf can take, so that it
    /// matters which part of the limits this VM may use.
    pub fn lacks_room(&self, now: Instant) -> bool {
        let refused = self.refused_by_limits.as_ref();
        refused.is_some_and(|refused| refused.per_second(now) >= MIN_REFUSED_PER_SECOND)
    }

    /// Returns whether the requests of all VMs together to any leaf are limited.
    pub fn has_limits(&self, now: Instant) -> bool {
        let mut replicas = self.groups.iter().flat_map(|group| group.replicas());
        replicas.any(|replica| replica.is_limited(now) || replica.is_cold(now))
    }

    /// Returns whether any leaf of the service that is not in `tried` can be tried now.
    pub fn can_try(&self, service: &str, tried: &[ReplicaKey], now: Instant) -> bool {
        self.can_try_within(service, &Scope::ANY, tried, now)
    }

    /// As [`Placement::can_try`], among the leaves of the failure domains in `scope`.
    pub fn can_try_within(
        &self,
        service: &str,
        scope: &Scope,
        tried: &[ReplicaKey],
        now: Instant,
    ) -> bool {
        let group = self.group(service);
        group.is_some_and(|group| group.untried(scope, tried, now).next().is_some())
    }

    /// Returns when the first leaf of the service can be tried again; `None` if no leaf of the
    /// service that accepts work is known.
    pub fn usable_at(&self, service: &str, now: Instant) -> Option<Instant> {
        self.usable_within_at(service, &Scope::ANY, now)
    }

    /// As [`Placement::usable_at`], among the leaves of the failure domains in `scope`.
    pub fn usable_within_at(&self, service: &str, scope: &Scope, now: Instant) -> Option<Instant> {
        let group = self.group(service)?;
        let portion = self.portion(group, now);
        let replicas = group.replicas().iter();
        let replicas = replicas.filter(|replica| scope.contains(&replica.instance.domain));
        let accepting = replicas.filter(|replica| replica.accepts_work());
        let times = accepting.map(|replica| {
            let limit = replica.limit.filter(|limit| limit.is_in_force(now));
            let limits = limit.iter().chain(replica.coldness.known_limit(now));
            let wait = limits.map(|limit| limit.wait(portion, now)).max();
            replica.usable_at(now).max(now + wait.unwrap_or_default())
        });
        times.min()
    }

    /// Chooses among the usable leaves that are not in `tried`: one of the best tier that any of
    /// them has, and among these the one with the shortest expected latency, after the random
    /// increase and the factor for other failure domains. A leaf that limits the requests of all VMs
    /// is passed over if this VM's part of the limit does not permit the attempt, which is a first
    /// attempt if none was tried.
    pub fn choose(
        &mut self,
        service: &str,
        tried: &[ReplicaKey],
        now: Instant,
    ) -> Option<ReplicaKey> {
        self.choose_within(service, &Scope::ANY, tried, now)
    }

    /// As [`Placement::choose`], among the leaves of the failure domains in `scope`.
    pub fn choose_within(
        &mut self,
        service: &str,
        scope: &Scope,
        tried: &[ReplicaKey],
        now: Instant,
    ) -> Option<ReplicaKey> {
        self.choose_priced(service, scope, tried, None, now)
    }

    /// As [`Placement::choose_within`], by the cost of the request if it is given.
    pub(super) fn choose_priced(
        &mut self,
        service: &str,
        scope: &Scope,
        tried: &[ReplicaKey],
        priced: Option<RequestCost>,
        now: Instant,
    ) -> Option<ReplicaKey> {
        let index = self.search(service).ok()?;
        let mut excluded = tried.to_vec();
        loop {
            let key = self.best(index, scope, &excluded, priced, now)?;
            if self.limit_permits(index, key, scope, tried, now) {
                return Some(key);
            }
            excluded.push(key);
        }
    }

    /// Returns the best usable leaf in `scope` that is not in `excluded`.
    fn best(
        &mut self,
        index: usize,
        scope: &Scope,
        excluded: &[ReplicaKey],
        priced: Option<RequestCost>,
        now: Instant,
    ) -> Option<ReplicaKey> {
        let group = &self.groups[index];
        let mut best: Option<(Tier, f64, ReplicaKey)> = None;
        for replica in group.untried(scope, excluded, now) {
            let key = replica.key;
            let jitter = jitter(&mut self.rng);
            let domain_factor = if replica.is_local() {
                1.0
            } else {
                OTHER_DOMAIN_FACTOR
            };
            let expected = group.expected_latency_for(replica, priced, now);
            let expected = expected.as_secs_f64() * jitter * domain_factor;
            let found = (replica.tier(now), expected, key);
            if best.is_none_or(|best| (found.0, found.1) < (best.0, best.1)) {
                best = Some(found);
            }
        }
        best.map(|(_, _, key)| key)
    }

    /// Returns whether the limit of a leaf, if it has one, permits an attempt of this VM.
    fn limit_permits(
        &mut self,
        index: usize,
        key: ReplicaKey,
        scope: &Scope,
        tried: &[ReplicaKey],
        now: Instant,
    ) -> bool {
        let group = &self.groups[index];
        let replica = group.replica(key);
        if !replica.is_some_and(|r| r.is_limited(now) || r.is_cold(now)) {
            return true;
        }
        let portion = self.portion(group, now);
        let need = match group.has_unlimited(scope, tried, now) {
            false => Need::Only,
            true if tried.is_empty() => Need::First,
            true => Need::Extra,
        };
        let Some(replica) = self.groups[index].replica_mut(key) else {
            return true;
        };
        let rng = &mut self.rng;
        let cold_limit = replica.coldness.limit(rng, now);
        let is_permitted = cold_limit.is_none_or(|limit| limit.permits(portion, need, rng, now));
        let named = replica
            .limit
            .as_mut()
            .filter(|limit| limit.is_in_force(now));
        let is_permitted =
            is_permitted && named.is_none_or(|limit| limit.permits(portion, need, rng, now));
        if !is_permitted && need == Need::Only && tried.is_empty() {
            let refused = &mut self.refused_by_limits;
            refused
                .get_or_insert_with(|| RequestRate::new(now))
                .record(now);
        }
        is_permitted
    }

    /// Returns what decides this VM's part of the limits of a service's leaves.
    fn portion(&self, group: &Group, now: Instant) -> Portion {
        let (equal_share, is_fleet_settled) = self.equal_share(now);
        Portion {
            share: self.fleet_share,
            usual_per_second: group.usual_per_second(now),
            equal_share,
            is_fleet_settled,
            tolerance: self.warm_ups.tolerance,
        }
    }
}

/// Returns a random factor that distributes the load between leaves with similar latencies.
fn jitter(rng: &mut SmallRng) -> f64 {
    rng.random_range(1.0..1.0 + SELECTION_JITTER)
}
