//! Checks this VM's links to the leaves while they are suspected or lost.
//!
//! A check sends a health request to a few leaves, each over a new connection. Any response shows
//! that the link works. The connection is closed then, unless the response has an id: a second copy
//! of one without could be taken for the response to a later request.

use std::time::Duration;

use log::{info, warn};

use super::Gateway;
use super::timers::Timer;
use crate::core::leaf_links::{CHECKED_LEAVES, Change};
use crate::core::placement::ReplicaKey;

/// Time after which a connection of a check is closed if its leaf has not responded.
pub(super) const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Gateway {
    /// Records that the leaves of a call's attempts have not answered since the call began, except
    /// the one that was just sent an attempt. If no leaf has responded since, this casts doubt on
    /// the links.
    pub(super) fn record_silent_leaves(&mut self, index: usize, just_sent: Option<ReplicaKey>) {
        let state = &self.calls[index];
        let mut is_silent = false;
        for (_, key) in state.call.unanswered_attempts() {
            if Some(key) != just_sent {
                is_silent |= self.leaf_links.on_silent(key, state.started);
            }
        }
        if is_silent {
            self.leaf_links.on_doubt(self.now);
            self.schedule_links_timer();
        }
        self.check_leaf_links();
    }

    /// Returns whether new connections to all leaves fail, while open ones still work.
    pub(super) fn only_open_connections_work(&self) -> bool {
        self.leaf_links.is_lost() && self.leaf_links.has_recent_response(self.now)
    }

    /// Begins a check of the links if one is due.
    pub(super) fn check_leaf_links(&mut self) {
        if !self.leaf_links.is_check_due(self.now) {
            return;
        }
        let links = &self.leaf_links;
        let leaves = self
            .placement
            .sample(CHECKED_LEAVES, |key| links.has_failed(&key), self.now);
        if !links.is_lost() {
            let (silent, unreachable) = links.failed_counts();
            info!("leaf-links event=checked silent={silent} unreachable={unreachable}");
        }
        let keys = leaves.iter().map(|(_, key)| *key).collect();
        self.leaf_links.begin_check(keys, self.now);
        for (service, key) in leaves {
            self.open_check_connection(key, &service);
        }
        self.schedule_links_timer();
    }

    /// Ends a check whose time is over, or begins the next one while the links are lost.
    pub(super) fn on_links_timer(&mut self) {
        self.links_wake_at = None;
        let change = self.leaf_links.tick(self.now);
        self.apply_links_change(change);
        self.check_leaf_links();
        self.schedule_links_timer();
    }

    pub(super) fn schedule_links_timer(&mut self) {
        let Some(at) = self.leaf_links.next_wake() else {
            return;
        };
        if self.links_wake_at.is_none_or(|set| at < set) {
            self.links_wake_at = Some(at);
            self.timers.add(at, Timer::LeafLinks);
        }
    }

    /// Logs a change of the state of the links. If they are lost, the calls in flight are handed
    /// over to other VMs once the current event is handled, as that may be about one of these
    /// calls.
    pub(super) fn apply_links_change(&mut self, change: Option<Change>) {
        let Some(change) = change else {
            return;
        };
        match change {
            Change::Lost => {
                let (silent, unreachable) = self.leaf_links.failed_counts();
                warn!("leaf-links event=lost silent={silent} unreachable={unreachable}");
                self.metrics.gauges.leaf_links_lost.set(1);
                self.doubt_crashes();
                self.delegation.is_handover_due = true;
            }
            Change::Regained => {
                info!("leaf-links event=regained");
                self.metrics.gauges.leaf_links_lost.set(0);
                self.probe_doubted_leaves();
            }
        }
    }
}
