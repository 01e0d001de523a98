//! Placement by the expected cost of requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::work::Forecast;
use super::{Group, Placement, Policy, Replica, ReplicaKey};
use crate::core::cost::{Costs, Load, Profile};
use crate::core::scope::Scope;
use crate::prelude::*;

/// A request that is to be placed, if it is placed by its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestCost {
    /// Expected work of the request.
    work: Duration,
    /// Mean work of the requests to the service.
    typical: Duration,
}

impl Placement {
    /// Sets by what leaves are chosen.
    pub fn set_policy(&mut self, policy: Policy) {
        self.costs = (policy == Policy::Cost).then(Costs::default);
    }

    /// Returns what was learned about the cost of requests; `None` unless leaves are chosen by it.
    pub fn costs(&self) -> Option<&Costs> {
        self.costs.as_ref()
    }

    /// As [`Placement::choose_within`], for a request of which the profile is known.
    pub fn choose_for(
        &mut self,
        profile: &Profile,
        service: &str,
        scope: &Scope,
        tried: &[ReplicaKey],
        now: Instant,
    ) -> Option<ReplicaKey> {
        let priced = self.price(service, profile, now);
        self.choose_priced(service, scope, tried, priced, now)
    }

    /// As [`Placement::begin_attempt`], for a request of which the profile is known.
    pub fn begin_attempt_for(
        &mut self,
        profile: &Arc<Profile>,
        service: &str,
        key: ReplicaKey,
        now: Instant,
    ) -> AttemptId {
        let priced = self.price(service, profile, now);
        let attempt = self.begin_attempt(service, key, now);
        let replica = self.replica_mut(service, key);
        if let Some((replica, priced)) = replica.zip(priced) {
            let forecast = replica.work.forecast(priced.work, priced.typical, now);
            let profile = Arc::clone(profile);
            replica.work.begin(attempt, profile, forecast, now);
        }
        attempt
    }

    /// Records the load that a leaf has reported.
    pub fn on_load(&mut self, service: &str, key: ReplicaKey, load: Load, now: Instant) {
        if self.costs.is_none() {
            return;
        }
        if let Some(replica) = self.replica_mut(service, key) {
            replica.work.on_load(load, now);
        }
    }

    /// Returns the forecast by which an attempt in flight was sent, and when that was; `None` unless
    /// leaves are chosen by cost.
    pub fn forecast_of(
        &self,
        service: &str,
        key: ReplicaKey,
        attempt: AttemptId,
    ) -> Option<(Forecast, Instant)> {
        self.replica(service, key)?.work.forecast_of(attempt)
    }

    /// Returns the factor on the time before a request is hedged.
    pub fn hedge_factor(&self, service: &str, profile: &Profile, now: Instant) -> f64 {
        let costs = self.costs.as_ref();
        costs.map_or(1.0, |costs| costs.route_factor(service, profile, now))
    }

    fn price(&self, service: &str, profile: &Profile, now: Instant) -> Option<RequestCost> {
        self.costs.as_ref().map(|costs| RequestCost {
            work: costs.expected(service, profile, now),
            typical: costs.typical(service),
        })
    }
}

impl Group {
    /// Returns the expected latency of a request, by its cost if that is known.
    pub(super) fn expected_latency_for(
        &self,
        replica: &Replica,
        priced: Option<RequestCost>,
        now: Instant,
    ) -> Duration {
        let Some(priced) = priced else {
            return self.expected_latency(replica, now);
        };
        let forecast = replica.work.forecast(priced.work, priced.typical, now);
        let latency = forecast.expected.mul_f64(replica.warm_up_factor(now));
        latency + replica.failure_cost(self.typical_latency(), self.retry_allowance.interval(), now)
    }
}
