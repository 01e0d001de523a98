//! Leaves that are cold: reports them, and passes attempts back that were chosen while they were
//! warm and wait for a connection.
//!
//! `core::placement` decides which leaves are cold, and divides their limits between the VMs.

use std::time::{Duration, SystemTime};

use log::info;

use super::Gateway;
use crate::core::placement::ReplicaKey;

impl Gateway {
    /// Reports the leaves that have become cold, and passes the attempts that wait for a connection
    /// to them back to their calls, as they were chosen without a limit.
    pub(super) fn on_cold_leaves(&mut self) {
        for (service, key) in self.placement.take_cold() {
            if let Some(replica) = self.placement.replica(&service, key) {
                let (left, report_age) = replica.cold_left(self.now);
                let leaf = &replica.instance.id;
                let (left, age) = (left.as_millis(), report_age.unwrap_or_default().as_millis());
                info!(
                    "leaf leaf={leaf} service={service} event=cold left_ms={left} report_age_ms={age}"
                );
            }
            self.pass_back_waiting(key);
            self.watch_limits();
        }
        self.count_cold_leaves();
    }

    /// Applies what a leaf says in its answer to a health request.
    pub(super) fn apply_warm_up(&mut self, key: ReplicaKey, left: Option<Duration>) {
        let (Some(left), Some(service)) = (left, self.leaf_service(key)) else {
            return;
        };
        self.placement
            .on_health_answer(&service, key, left, self.now);
        self.on_cold_leaves();
    }

    /// Brings the metric of cold leaves up to date.
    pub(super) fn count_cold_leaves(&self) {
        let count = self.placement.cold_leaves(self.now);
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.gauges.cold_leaves.set(count);
    }
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
