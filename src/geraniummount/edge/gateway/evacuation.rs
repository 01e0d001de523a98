//! Evacuation of failure domains: passes attempts back that wait for a connection to a leaf there.
//!
//! `core::placement` keeps evacuated leaves from being chosen, and each attempt is checked again
//! when its request is written, as it may have waited for a connection.

use log::info;

use super::Gateway;
use crate::core::call::Reply;
use crate::core::placement::ReplicaKey;
use crate::prelude::*;

impl Gateway {
    /// Replaces the evacuated failure domains, sorted by name.
    pub(super) fn apply_evacuations(&mut self, domains: Vec<DomainName>) {
        let count = i64::try_from(domains.len()).unwrap_or(i64::MAX);
        self.metrics.gauges.evacuated_domains.set(count);
        let before = self.placement.evacuated().to_vec();
        self.placement.set_evacuated(domains);
        let after = self.placement.evacuated().to_vec();
        for domain in before.iter().filter(|domain| !after.contains(domain)) {
            let leaves = self.placement.leaves_in(domain);
            info!("evacuation domain={domain} event=ended leaves={leaves}");
        }
        for domain in after.iter().filter(|domain| !before.contains(domain)) {
            let leaves = self.placement.leaves_in(domain);
            info!("evacuation domain={domain} event=began leaves={leaves}");
        }
        self.pass_back_evacuated();
    }

    /// Passes the attempts that wait for a connection to an evacuated leaf back to their calls.
    fn pass_back_evacuated(&mut self) {
        let pools = self.pools.iter();
        let is_evacuated = |service: &str, key| self.placement.is_evacuated(service, key);
        let evacuated = pools.filter(|pool| is_evacuated(&pool.service, pool.key));
        let keys: Vec<ReplicaKey> = evacuated.map(|pool| pool.key).collect();
        for key in keys {
            self.pass_back_waiting(key);
        }
    }

    /// Passes the attempts that wait for a connection to a leaf back to their calls, which choose
    /// again.
    pub(super) fn pass_back_waiting(&mut self, key: ReplicaKey) {
        let Ok(index) = self.search_pool(key) else {
            return;
        };
        for attempt in std::mem::take(&mut self.pools[index].waiting) {
            self.queue_reply(attempt, Reply::Withheld);
        }
    }

    /// Counts an attempt that was not sent although its leaf had been chosen.
    pub(super) fn count_held_back(&self, service: &ServiceName, key: ReplicaKey) {
        if self.placement.is_evacuated(service, key) {
            self.metrics.count_held_back("evacuated");
        } else if self.placement.is_cold(service, key) {
            self.metrics.count_held_back("cold");
        }
    }
}
