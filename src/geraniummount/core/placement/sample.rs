//! Draws leaves at random, to which connections are opened to check this VM's links.

use std::time::Instant;

use rand::RngExt;

use super::{Placement, Replica, ReplicaKey};
use crate::prelude::*;

impl Placement {
    /// Draws up to `count` different leaves that are registered, accept requests and limit none.
    /// Leaves for which `has_failed` returns true are drawn only if there are too few others.
    pub fn sample(
        &mut self,
        count: usize,
        has_failed: impl Fn(ReplicaKey) -> bool,
        now: Instant,
    ) -> Vec<(ServiceName, ReplicaKey)> {
        let groups = self.groups.iter();
        let leaves = groups.flat_map(|group| {
            let replicas = group.replicas().iter();
            let registered = replicas.filter(|replica| may_be_checked(replica, now));
            registered.map(|replica| (&group.service, replica.key))
        });
        let (mut failed, mut others): (Vec<_>, Vec<_>) =
            leaves.partition(|(_, key)| has_failed(*key));
        let mut drawn = Vec::with_capacity(count);
        for pool in [&mut others, &mut failed] {
            while drawn.len() < count && !pool.is_empty() {
                let index = self.rng.random_range(0..pool.len());
                let (service, key) = pool.swap_remove(index);
                drawn.push((service.clone(), key));
            }
        }
        drawn
    }
}

fn may_be_checked(replica: &Replica, now: Instant) -> bool {
    !replica.is_unregistered() && replica.accepts_requests(now) && !replica.is_limited(now)
}
