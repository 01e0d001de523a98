//! Which shards of a query are best collected in another failure domain.

use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Group, Placement};
use crate::prelude::*;

/// Beginning of the names of groups of VMs; no service's name has a slash.
const VM_GROUPS: &str = "vms/";

/// Fewest shards that are worth a VM's work.
const FEWEST_SHARDS: usize = 2;

/// Returns the name of the group of a failure domain's VMs.
pub fn vm_group(domain: &str) -> ServiceName {
    format!("{VM_GROUPS}{domain}")
}

/// Returns whether a name is that of a group of VMs.
pub fn is_vm_group(service: &str) -> bool {
    service.starts_with(VM_GROUPS)
}

/// Shards, by their places, that VMs of one group collect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delegation {
    /// Group of the VMs.
    pub group: ServiceName,
    /// Places of the shards, ascending.
    pub shards: Vec<usize>,
}

impl Placement {
    /// Returns which shards are best collected elsewhere: those without a
    /// usable replica here, by the domains that hold most of them.
    pub fn delegations(&mut self, shards: &[ServiceName], now: Instant) -> Vec<Delegation> {
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let is_here = |shard: &ServiceName| self.is_served_in(&self.domain, shard, now);
        let places = 0..shards.len();
        let mut left: Vec<usize> = places.filter(|place| !is_here(&shards[*place])).collect();
        let mut delegations = Vec::new();
        while let Some(delegation) = self.best_delegation(shards, &left, &mut rng, now) {
            left.retain(|place| !delegation.shards.contains(place));
            delegations.push(delegation);
        }
        delegations
    }

    fn best_delegation(
        &self,
        shards: &[ServiceName],
        left: &[usize],
        rng: &mut SmallRng,
        now: Instant,
    ) -> Option<Delegation> {
        let groups = self.groups.iter();
        let groups = groups.filter(|group| is_vm_group(&group.service) && group.has_usable(now));
        let mut best: Option<(f64, Delegation)> = None;
        for group in groups {
            let domain = &group.service[VM_GROUPS.len()..];
            let served = |place: &&usize| self.is_served_in(domain, &shards[**place], now);
            let places: Vec<usize> = left.iter().filter(served).copied().collect();
            if places.len() < FEWEST_SHARDS || domain == self.domain {
                continue;
            }
            let value = places.len() as f64 * super::spread(rng);
            if best.as_ref().is_none_or(|(most, _)| value > *most) {
                let delegation = Delegation {
                    group: group.service.clone(),
                    shards: places,
                };
                best = Some((value, delegation));
            }
        }
        best.map(|(_, delegation)| delegation)
    }

    fn is_served_in(&self, domain: &str, shard: &str, now: Instant) -> bool {
        let group = self.group(shard);
        group.is_some_and(|group| group.has_usable_in(domain, now))
    }
}

impl Group {
    fn has_usable(&self, now: Instant) -> bool {
        self.replicas().iter().any(|replica| replica.is_usable(now))
    }

    fn has_usable_in(&self, domain: &str, now: Instant) -> bool {
        let mut replicas = self.replicas().iter();
        replicas.any(|replica| {
            replica.instance.domain == domain && !replica.has_lapsed() && replica.is_usable(now)
        })
    }
}
