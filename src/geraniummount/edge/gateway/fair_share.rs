//! Sheds requests by priority and tenant while leaves are short of capacity, in deployments with
//! tenants.
//!
//! `core::load_shedder` measures the overload of a set of shards, and `core::fair_share` that of a
//! single service. Both are shared out by `core::fair_share`.

use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use super::calls::CallState;
use crate::core::call::{End, Plan, Refusal};
use crate::core::fair_share::{Claimant, Decision, FairShare, Outcome, Shed, Shortage};
use crate::core::route::{Route, Table};
use crate::core::tenant::Access;
use crate::prelude::*;

/// Competition for the leaves of one service or one set of shards.
#[derive(Debug)]
pub(super) struct Contention {
    /// Whether it is a set of shards.
    is_gather: bool,
    /// The service, or the first shard of the set, which identifies the set.
    service: ServiceName,
    /// Recent requests, by tenant and priority.
    demand: FairShare,
    /// Shortage of the service; not used for a set of shards, which has a load shedder.
    shortage: Shortage,
}

/// A request that is shed.
#[derive(Debug)]
pub(super) struct ShedRequest {
    claimant: Claimant,
    /// Share of all requests to shed.
    shed_share: f64,
    shed: Shed,
}

impl ShedRequest {
    /// Returns the delay after which the caller may retry.
    pub(super) fn retry_after(&self) -> Duration {
        self.shed.retry_after
    }

    /// Returns the log fields that give the inputs of the decision. Rates are those of this VM.
    pub(super) fn log_fields(&self) -> String {
        let (shed, claimant) = (&self.shed, &self.claimant);
        let tenant = claimant.tenant.as_deref().unwrap_or("-");
        let rate = |rate: Option<f64>| rate.map_or("-".to_string(), |rate| format!("{rate:.2}"));
        format!(
            " why={} priority={} tenant={tenant} shed_share={:.2} admitted={:.2} demand_per_s={} \
             fair_per_s={} window={} seen={:.0} retry_after_ms={}",
            shed.cause.as_str(),
            claimant.priority,
            self.shed_share,
            shed.admitted,
            rate(shed.demand),
            rate(shed.fair_share),
            shed.window.as_str(),
            shed.seen,
            shed.retry_after.as_millis(),
        )
    }
}

impl Gateway {
    /// Decides whether a request is admitted in a deployment with tenants.
    pub(super) fn check_fair_share(
        &mut self,
        route: &Route,
        access: &Access,
        plan: &Plan,
    ) -> Result<(), ShedRequest> {
        let Some(service) = plan.services.first() else {
            return Ok(());
        };
        let (now, claimant) = (self.now, Claimant::new(route, access));
        let shed_share = match plan.is_gather() {
            true => Some(self.shedder_mut(service).share_to_shed(now)),
            false => None,
        };
        let contention = self.contention_mut(plan.is_gather(), service);
        contention.demand.record(&claimant, now);
        let shed_share = shed_share.unwrap_or_else(|| contention.shortage.shed_share(now));
        let target_latency = route.target_latency;
        let decision = contention
            .demand
            .decide(&claimant, shed_share, target_latency, now);
        match decision {
            Decision::Admit => Ok(()),
            Decision::Shed(shed) => {
                self.metrics.count_shed(claimant.priority, shed.cause);
                Err(ShedRequest {
                    claimant,
                    shed_share,
                    shed,
                })
            }
        }
    }

    /// Records how a request to one service ended, if its leaves' capacity had a part in it.
    pub(super) fn record_service_end(&mut self, state: &CallState, end: &End) {
        let outcome = match end {
            End::Refuse {
                refusal: Refusal::AllRejected,
                ..
            } if state.call.is_rejected() => Outcome::Rejected,
            End::Refuse { .. } | End::Fail | End::Gathered { .. } => return,
            End::Forward(_) | End::TimeOut => ended(state, self.now),
        };
        self.record_outcome(state, outcome);
    }

    /// Records that a caller has left, if its answer was late.
    pub(super) fn record_caller_left(&mut self, state: &CallState) {
        if self.now > state.call.plan().answer_by {
            self.record_outcome(state, ended(state, self.now));
        }
    }

    fn record_outcome(&mut self, state: &CallState, outcome: Outcome) {
        let plan = state.call.plan();
        let Some(service) = plan.services.first().filter(|_| !plan.is_gather()) else {
            return;
        };
        // A caller's deadline before the answer is due shows nothing about the leaves.
        let is_cut_short = outcome != Outcome::Rejected && plan.end_by <= plan.answer_by;
        if is_cut_short || self.routes.tenants().is_empty() {
            return;
        }
        let now = self.now;
        let shortage = &mut self.contention_mut(false, service).shortage;
        let was_short = shortage.shed_share(now) > 0.0;
        shortage.record(outcome, now);
        let share = shortage.shed_share(now);
        if was_short != (share > 0.0) {
            info!(
                "load service={service} overloaded={} shed_share={share:.2}",
                !was_short
            );
        }
    }

    /// Returns the competition for a service or for the set of shards that begins with it, created
    /// on first use.
    fn contention_mut(&mut self, is_gather: bool, service: &ServiceName) -> &mut Contention {
        let now = self.now;
        let found = self
            .contentions
            .binary_search_by(|entry| (entry.is_gather, &entry.service).cmp(&(is_gather, service)));
        let index = found.unwrap_or_else(|index| {
            let entry = Contention {
                is_gather,
                service: service.clone(),
                demand: FairShare::new(now, rand::random()),
                shortage: Shortage::new(now),
            };
            self.contentions.insert(index, entry);
            index
        });
        &mut self.contentions[index]
    }
}

fn ended(state: &CallState, at: Instant) -> Outcome {
    let plan = state.call.plan();
    Outcome::Ended {
        at,
        due: plan.answer_by,
        deadline: plan.end_by,
    }
}

/// Returns whether requests are shed by priority and tenant. Without tenants, requests to one
/// service are not shed at all, and queries are shed as before tenants existed.
pub(super) fn is_enabled(table: &Table) -> bool {
    !table.tenants().is_empty()
}
