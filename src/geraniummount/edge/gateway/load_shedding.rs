//! Load shedding: rejects a share of the queries while the leaves are overloaded.

use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use crate::core::call::Plan;
use crate::core::load_shedder::LoadShedder;
use crate::core::route::{Route, Table, Target};
use crate::prelude::*;

/// `Retry-After` of a query that is shed: by then the leaves' queues are shorter, or another VM
/// admits it.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(60);

/// Overload state of the leaves that hold one set of shards.
#[derive(Debug)]
pub(super) struct ShardSetLoad {
    /// The first shard of the set, which identifies the set.
    first_shard: ServiceName,
    overload: LoadShedder,
}

impl Gateway {
    /// Returns whether a request is admitted; only queries over many shards are ever shed.
    pub(super) fn admits(&mut self, table: &Table, route: &Route, plan: &Plan) -> bool {
        let is_urgent = is_urgent(table, route);
        let now = self.now;
        let Some(shard) = plan.services.first().filter(|_| plan.is_gather()) else {
            return true;
        };
        let overload = self.overload_mut(&shard.clone());
        overload.admits(is_urgent, now)
    }

    /// Records how many parts of an admitted query were overdue when its answer was due.
    pub(super) fn record_overdue_parts(&mut self, index: usize, overdue: usize) {
        let plan = self.calls[index].call.plan();
        let max_missing = plan.services.len().saturating_sub(plan.min_shards());
        let shard = plan.services[0].clone();
        let now = self.now;
        let overload = self.overload_mut(&shard);
        let was_active = overload.is_shedding();
        overload.on_answer(overdue, max_missing, now);
        let share = overload.shed_share();
        if was_active != overload.is_shedding() {
            info!(
                "load first_shard={shard} overloaded={} turned_away={share:.2}",
                !was_active
            );
        }
    }

    /// Returns the overload state of the set that begins with a shard, created on first use.
    fn overload_mut(&mut self, shard: &ServiceName) -> &mut LoadShedder {
        let now = self.now;
        let index = self
            .shard_set_loads
            .binary_search_by(|load| load.first_shard.cmp(shard));
        let index = index.unwrap_or_else(|index| {
            let load = ShardSetLoad::new(shard.clone(), now);
            self.shard_set_loads.insert(index, load);
            index
        });
        &mut self.shard_set_loads[index].overload
    }
}

impl ShardSetLoad {
    fn new(shard: ServiceName, now: Instant) -> ShardSetLoad {
        ShardSetLoad {
            first_shard: shard,
            overload: LoadShedder::new(now),
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
