//! Tracks whether a leaf is draining, and publishes what the leaf reports about it.
//!
//! A draining leaf finishes the requests that it has and takes no new ones. The sources that report
//! it are the configuration, the leaf itself, the leaf's health endpoint, and the membership list
//! that the users run. The view is what this VM knows of the other VMs and of the reports that they
//! published.

use std::time::Instant;

use super::task::Task;
use crate::core::gossip::Source;
use crate::core::leaf::State;
use crate::prelude::*;

impl Task {
    /// Returns whether a source other than the leaf's configuration reports that the leaf is
    /// draining.
    pub(super) fn is_listed_draining(&self, view: &View) -> bool {
        let record = view.catalog.leaf(&self.leaf.name);
        let declared = record.is_some_and(|record| record.spec.state == State::Draining);
        !declared && view.draining.contains(&self.leaf.name)
    }

    /// Adopts the draining report that another owner, a VM that held the leaf's queue, published,
    /// as if the leaf had sent the report to this VM. This lets this VM withdraw the report when
    /// the leaf serves again.
    pub(super) fn inherit_draining(&mut self) {
        let confirmed = self.known_view.health_draining.contains(&self.leaf.name);
        self.leaf_reports_draining = true;
        self.health_reports_draining = confirmed;
        self.queue.inherit_draining(confirmed, Instant::now());
    }

    /// Returns whether the operator, the membership list or another VM reports that the leaf is
    /// draining. A leaf that is no longer configured also counts as draining.
    pub(super) fn is_externally_draining(&self) -> bool {
        let Some(record) = self.known_view.catalog.leaf(&self.leaf.name) else {
            return true;
        };
        let declared = record.spec.state == State::Draining;
        declared
            || (!self.leaf_reports_draining && self.known_view.draining.contains(&self.leaf.name))
    }

    /// Publishes what the leaf and its health endpoint report, if it has changed since the last
    /// time.
    pub(super) fn publish_draining(&mut self) {
        let is_draining = self.queue.is_leaf_draining();
        let is_confirmed = self.queue.is_draining_confirmed();
        // The health endpoint's report is published first: a VM that learns that the leaf is
        // draining then already knows whether the health endpoint confirms it.
        if is_confirmed != self.health_reports_draining {
            self.health_reports_draining = is_confirmed;
            self.notify(Source::Health, is_confirmed);
        }
        if is_draining != self.leaf_reports_draining {
            self.leaf_reports_draining = is_draining;
            self.notify(Source::Leaf, is_draining);
        }
    }

    fn notify(&self, source: Source, is_draining: bool) {
        if let Some(pool) = self.pool.upgrade() {
            (pool.on_draining)(&self.leaf.name, source, is_draining);
        }
    }
}
