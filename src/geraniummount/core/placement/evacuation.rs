//! Evacuated failure domains, whose leaves get no requests.
//!
//! Load pattern: operators take a failure domain out of service while its leaves still run and are
//! registered as ready. All VMs send these leaves requests, keep connections to them, and have
//! attempts that wait for a connection. The state is kept at each leaf, so that every check whether
//! a leaf may get requests includes it.

use super::Placement;
use crate::core::placement::ReplicaKey;
use crate::prelude::*;

impl Placement {
    /// Replaces the evacuated failure domains, sorted by name.
    pub fn set_evacuated(&mut self, domains: Vec<DomainName>) {
        self.evacuated = domains;
        self.mark_evacuated();
    }

    /// Returns the evacuated failure domains, sorted by name.
    pub fn evacuated(&self) -> &[DomainName] {
        &self.evacuated
    }

    /// Returns the number of known leaves in a failure domain.
    pub fn leaves_in(&self, domain: &str) -> usize {
        let replicas = self.groups.iter().flat_map(|group| group.replicas());
        let in_domain = replicas.filter(|replica| replica.instance.domain == domain);
        in_domain.count()
    }

    /// Returns whether a leaf is in an evacuated failure domain.
    pub fn is_evacuated(&self, service: &str, key: ReplicaKey) -> bool {
        let replica = self.replica(service, key);
        replica.is_some_and(|replica| replica.is_evacuated())
    }

    /// Records at each leaf whether its failure domain is evacuated.
    pub(super) fn mark_evacuated(&mut self) {
        let evacuated = &self.evacuated;
        for replica in self
            .groups
            .iter_mut()
            .flat_map(|group| group.replicas_mut())
        {
            let domain = &replica.instance.domain;
            replica.is_evacuated = evacuated.binary_search(domain).is_ok();
        }
    }
}
