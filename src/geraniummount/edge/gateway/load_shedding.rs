//! Load shedding: rejects a share of the queries while the leaves are overloaded.
//!
//! A query is divided into parts, one for each shard. A part is overdue if it has no reply when the
//! answer is due, or if the leaves had no capacity for it. Overdue parts show the overload.

use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use super::fair_share::{self, ShedRequest};
use crate::core::call::Plan;
use crate::core::delegation::Decline;
use crate::core::load_shedder::LoadShedder;
use crate::core::route::{Route, Table, Target};
use crate::core::tenant::Access;
use crate::prelude::*;

/// `Retry-After` of a query that is shed: by then the leaves' queues are shorter, or another VM
/// admits it.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// Why a request is shed.
#[derive(Debug)]
pub(super) enum Overload {
    /// A share of the queries is shed, whoever sends them.
    Uniform,
    /// The capacity is shared out by priority and tenant.
    Shared(Box<ShedRequest>),
}

impl Overload {
    /// Returns the delay after which the caller may retry.
    pub(super) fn retry_after(&self) -> Duration {
        match self {
            Overload::Uniform => RETRY_AFTER,
            Overload::Shared(shed) => shed.retry_after(),
        }
    }

    /// Returns why a request of another VM is declined.
    pub(super) fn decline(&self) -> Decline {
        match self {
            Overload::Uniform => Decline::Overloaded,
            Overload::Shared(_) => Decline::Shed,
        }
    }

    /// Returns the log fields that give the inputs of the decision.
    pub(super) fn log_fields(&self) -> String {
        match self {
            Overload::Uniform => String::new(),
            Overload::Shared(shed) => shed.log_fields(),
        }
    }
}

/// Load shedder of the queries over one set of shards.
#[derive(Debug)]
pub(super) struct ShardSetShedder {
    /// The first shard of the set, which identifies the set.
    first_shard: ServiceName,
    shedder: LoadShedder,
}

impl Gateway {
    /// Decides whether a request is admitted. Without tenants, only a gather, which is a query over
    /// many shards, is ever shed.
    ///
    /// # Errors
    ///
    /// Returns why the request is shed.
    pub(super) fn check_load(
        &mut self,
        table: &Table,
        route: &Route,
        access: &Access,
        plan: &Plan,
    ) -> Result<(), Overload> {
        if fair_share::is_enabled(table) {
            let checked = self.check_fair_share(route, access, plan);
            return checked.map_err(|shed| Overload::Shared(Box::new(shed)));
        }
        match self.admits(table, route, plan) {
            true => Ok(()),
            false => Err(Overload::Uniform),
        }
    }

    fn admits(&mut self, table: &Table, route: &Route, plan: &Plan) -> bool {
        let is_urgent = is_urgent(table, route);
        let now = self.now;
        let Some(shard) = plan.services.first().filter(|_| plan.is_gather()) else {
            return true;
        };
        let shedder = self.shedder_mut(&shard.clone());
        shedder.admits(is_urgent, now)
    }

    /// Records how many parts of an admitted query were overdue when its answer was due.
    pub(super) fn record_overdue_parts(&mut self, index: usize, overdue: usize) {
        let plan = self.calls[index].call.plan();
        let max_missing = plan.services.len().saturating_sub(plan.min_shards());
        let shard = plan.services[0].clone();
        let now = self.now;
        let shedder = self.shedder_mut(&shard);
        let was_active = shedder.is_shedding();
        shedder.on_answer(overdue, max_missing, now);
        let share = shedder.shed_share();
        if was_active != shedder.is_shedding() {
            info!(
                "load first_shard={shard} overloaded={} shed_share={share:.2}",
                !was_active
            );
        }
    }

    /// Returns the load shedder of the set that begins with a shard, created on first use.
    pub(super) fn shedder_mut(&mut self, shard: &ServiceName) -> &mut LoadShedder {
        let now = self.now;
        let index = self
            .shedders
            .binary_search_by(|set| set.first_shard.cmp(shard));
        let index = index.unwrap_or_else(|index| {
            let set = ShardSetShedder::new(shard.clone(), now);
            self.shedders.insert(index, set);
            index
        });
        &mut self.shedders[index].shedder
    }
}

impl ShardSetShedder {
    fn new(shard: ServiceName, now: Instant) -> ShardSetShedder {
        ShardSetShedder {
            first_shard: shard,
            shedder: LoadShedder::new(now),
        }
    }
}

/// Returns whether no route over the same shards takes precedence over this one. Routes with a
/// lower `priority` are served first.
fn is_urgent(table: &Table, route: &Route) -> bool {
    let Target::Gather(own) = &route.target else {
        return true;
    };
    let mut others = table
        .routes()
        .iter()
        .filter(|other| other.priority < route.priority);
    !others
        .any(|other| matches!(&other.target, Target::Gather(gather) if gather.shards == own.shards))
}
