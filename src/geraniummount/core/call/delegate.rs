//! Shards of a query that a VM in another failure domain collects.
//!
//! Load pattern: queries over many shards reach VMs of all failure domains,
//! and some shards have no replica in the VM's own. Sent from here, each of
//! their parts crosses the dear link between domains; a VM beside the replicas
//! sends back one merged answer instead. It hedges and retries as this one
//! would, so nothing is tried again here unless it certainly did not run.

use std::time::Instant;

use super::shard::Settled;
use super::{Action, Call, Reply, Response};
use crate::core::placement::{Delegation, Ending, Key, Placement};
use crate::prelude::*;

/// A VM that has not answered after this share of the time until the answer
/// is due, and nothing else since, is taken as lost.
const LOST_AFTER: f64 = 1.5;

/// Shards that another VM collects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Bundle {
    attempt: AttemptId,
    group: ServiceName,
    vm: Key,
    shards: Vec<usize>,
    sent: Instant,
}

impl Call {
    /// Hands shards to VMs elsewhere; returns what is to be done.
    pub(super) fn delegate(&mut self, placement: &mut Placement, now: Instant) -> Vec<Action> {
        if !self.plan.may_delegate {
            return Vec::new();
        }
        let delegations = placement.delegations(&self.plan.services, now);
        let actions = delegations.into_iter();
        let actions = actions.filter_map(|delegation| self.hand_over(delegation, placement, now));
        actions.collect()
    }

    fn hand_over(
        &mut self,
        delegation: Delegation,
        placement: &mut Placement,
        now: Instant,
    ) -> Option<Action> {
        let Delegation { group, shards } = delegation;
        let vm = placement.choose(&group, &[], now)?;
        let attempt = placement.begin(&group, vm, now);
        for &index in &shards {
            self.shards[index].bundled = true;
        }
        self.bundles.push(Bundle {
            attempt,
            group: group.clone(),
            vm,
            shards: shards.clone(),
            sent: now,
        });
        Some(Action::Delegate {
            attempt,
            group,
            vm,
            shards,
        })
    }

    /// Takes the end of an attempt at another VM; `None` where it is none.
    pub(super) fn take_bundle(
        &mut self,
        attempt: AttemptId,
        ending: Ending,
        placement: &mut Placement,
        now: Instant,
    ) -> Option<Vec<usize>> {
        let mut bundles = self.bundles.iter();
        let place = bundles.position(|bundle| bundle.attempt == attempt)?;
        let bundle = self.bundles.swap_remove(place);
        placement.end(&bundle.group, bundle.vm, attempt, ending, now);
        for &index in &bundle.shards {
            self.shards[index].bundled = false;
        }
        Some(bundle.shards)
    }

    /// Settles the shards that another VM has collected, or sends them from
    /// here where it did not run them.
    pub(super) fn on_bundle(
        &mut self,
        shards: &[usize],
        reply: Reply,
        placement: &mut Placement,
        now: Instant,
    ) -> Vec<Action> {
        match reply {
            Reply::Parts(parts) => {
                let mut records = parts.records;
                for (index, signature) in parts.signatures {
                    if shards.contains(&index) {
                        // The merged records stand with the first of the parts.
                        let body = std::mem::take(&mut records);
                        self.shards[index].settle(Settled::Included(Response {
                            status: 200,
                            signature,
                            fields: Vec::new(),
                            body,
                        }));
                    }
                }
                self.miss(shards);
                Vec::new()
            }
            Reply::Rejected | Reply::Misdirected | Reply::Unreachable => {
                let actions = shards.iter();
                let actions = actions.map(|&index| self.send_first(index, placement, now));
                actions.flatten().collect()
            }
            Reply::Success(_) | Reply::Failure(_) | Reply::Lost => {
                self.miss(shards);
                Vec::new()
            }
        }
    }

    /// Settles as missing what is not included.
    fn miss(&mut self, shards: &[usize]) {
        for &index in shards {
            let shard = &mut self.shards[index];
            shard.may_have_run = true;
            if shard.settled.is_none() {
                shard.settle(Settled::Missing);
            }
        }
    }

    /// Gives up VMs that are late and show no other sign of life.
    pub(super) fn drop_lost_bundles(
        &mut self,
        placement: &mut Placement,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for bundle in self.bundles.clone() {
            let is_late = now >= self.lost_at(&bundle);
            if is_late && !placement.has_answered_since(&bundle.group, bundle.vm, bundle.sent) {
                self.take_bundle(bundle.attempt, Ending::Lost, placement, now);
                self.miss(&bundle.shards);
                actions.push(Action::Abandon {
                    attempt: bundle.attempt,
                });
            }
        }
        actions
    }

    /// Returns when a VM that has not answered is looked at.
    pub(super) fn next_lost_bundle(&self, after: Instant) -> Option<Instant> {
        let times = self.bundles.iter().map(|bundle| self.lost_at(bundle));
        times.filter(|at| *at > after).min()
    }

    fn lost_at(&self, bundle: &Bundle) -> Instant {
        let due = self.plan.answer_by.saturating_duration_since(bundle.sent);
        bundle.sent + due.mul_f64(LOST_AFTER)
    }

    /// Stops waiting for other VMs.
    pub(super) fn abandon_bundles(
        &mut self,
        placement: &mut Placement,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for bundle in self.bundles.clone() {
            self.take_bundle(bundle.attempt, Ending::Abandoned, placement, now);
            for &index in &bundle.shards {
                self.shards[index].may_have_run = true;
            }
            actions.push(Action::Abandon {
                attempt: bundle.attempt,
            });
        }
        actions
    }
}
