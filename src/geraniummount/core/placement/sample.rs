//! Draws leaves at random, to which connections are opened to check this VM's links.

use rand::RngExt;

use super::{Placement, Replica, ReplicaKey};
use crate::prelude::*;

impl Placement {
    /// Draws up to `count` different leaves that are registered and not leaving. Leaves for which
    /// `has_failed` returns true are drawn only if there are too few others.
    pub fn sample(
        &mut self,
        count: usize,
        has_failed: impl Fn(ReplicaKey) -> bool,
    ) -> Vec<(ServiceName, ReplicaKey)> {
        let groups = self.groups.iter();
        let leaves = groups.flat_map(|group| {
            let replicas = group.replicas().iter();
            let registered = replicas.filter(|replica| is_registered(replica));
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

fn is_registered(replica: &Replica) -> bool {
    !replica.is_unregistered() && !replica.instance.is_leaving
}
