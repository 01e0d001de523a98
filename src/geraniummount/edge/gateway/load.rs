//! Turning queries away while the leaves can't keep up.

use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use crate::core::call::Plan;
use crate::core::load_shedder::LoadShedder;
use crate::core::route::{Route, Table, Target};
use crate::prelude::*;

/// Time to come back for a query that is turned away; the queues are shorter
/// by then, or another VM takes it.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(60);

/// How full the leaves of one set of shards are.
#[derive(Debug)]
pub(super) struct Load {
    /// The first shard of the set.
    shard: ServiceName,
    overload: LoadShedder,
}

impl Gateway {
    /// Returns whether a query over many shards is admitted.
    pub(super) fn admits(&mut self, table: &Table, route: &Route, plan: &Plan) -> bool {
        let is_urgent = is_urgent(table, route);
        let now = self.now;
        let Some(shard) = plan.services.first().filter(|_| plan.is_gather()) else {
            return true;
        };
        let overload = self.overload(&shard.clone());
        overload.admits(is_urgent, now)
    }

    /// Notes how many parts of an admitted query were overdue.
    pub(super) fn note_load(&mut self, index: usize, overdue: usize) {
        let plan = self.calls[index].call.plan();
        let may_lack = plan.services.len().saturating_sub(plan.min_shards());
        let shard = plan.services[0].clone();
        let now = self.now;
        let overload = self.overload(&shard);
        let was_active = overload.is_shedding();
        overload.on_answer(overdue, may_lack, now);
        let share = overload.shed_share();
        if was_active != overload.is_shedding() {
            info!(
                "load first_shard={shard} overloaded={} turned_away={share:.2}",
                !was_active
            );
        }
    }

    fn overload(&mut self, shard: &ServiceName) -> &mut LoadShedder {
        let now = self.now;
        let place = self.loads.binary_search_by(|load| load.shard.cmp(shard));
        let place = place.unwrap_or_else(|place| {
            let load = Load::new(shard.clone(), now);
            self.loads.insert(place, load);
            place
        });
        &mut self.loads[place].overload
    }
}

impl Load {
    fn new(shard: ServiceName, now: Instant) -> Load {
        Load {
            shard,
            overload: LoadShedder::new(now),
        }
    }
}

/// Returns whether no route over the same shards has a higher rank.
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
