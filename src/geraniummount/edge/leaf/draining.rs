//! What a leaf's task knows of the leaf's leaving, and whom it tells.

use std::time::Instant;

use super::task::Task;
use crate::core::gossip::Source;
use crate::core::leaf::State;
use crate::prelude::*;

impl Task {
    /// Whether the leaf is known to be leaving by another source than its
    /// declaration.
    pub(super) fn is_noted(&self, view: &View) -> bool {
        let record = view.catalog.leaf(&self.leaf.name);
        let declared = record.is_some_and(|record| record.spec.state == State::Draining);
        !declared && view.draining.contains(&self.leaf.name)
    }

    /// Takes what another owner noted as said by the leaf to this VM, so that
    /// this VM takes it back when the leaf does.
    pub(super) fn inherit_draining(&mut self) {
        let confirmed = self.seen.health_draining.contains(&self.leaf.name);
        self.says_draining = true;
        self.health_says_draining = confirmed;
        self.queue.inherit_draining(confirmed, Instant::now());
    }

    /// Whether operator, membership list or another VM say that it leaves.
    pub(super) fn told_draining(&self) -> bool {
        let Some(record) = self.seen.catalog.leaf(&self.leaf.name) else {
            return true;
        };
        let declared = record.spec.state == State::Draining;
        declared || (!self.says_draining && self.seen.draining.contains(&self.leaf.name))
    }

    pub(super) fn notice_draining(&mut self) {
        let draining = self.queue.is_leaf_draining();
        let by_health = self.queue.is_draining_confirmed();
        // The endpoint goes first, so that whoever hears of the leaving later
        // knows of its confirmation.
        if by_health != self.health_says_draining {
            self.health_says_draining = by_health;
            self.tell(Source::Health, by_health);
        }
        if draining != self.says_draining {
            self.says_draining = draining;
            self.tell(Source::Leaf, draining);
        }
    }

    fn tell(&self, source: Source, draining: bool) {
        if let Some(pool) = self.pool.upgrade() {
            (pool.draining)(&self.leaf.name, source, draining);
        }
    }
}
