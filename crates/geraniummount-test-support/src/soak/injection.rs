//! Injects the faults of a schedule into a cluster and ends them.
//!
//! A slot is a place for one of the two leaves of a service. A new leaf takes the slot of a leaf
//! that leaves or crashes.

use std::time::{Duration, Instant};

use super::cluster::{Cluster, STOP_GRACE};
use super::disturbance::Scope;
use super::fault::{Fault, LeafFault, LinkFault, StoreFault, VmFault};
use super::follow_up::FollowUp;
use super::link;
use super::proxied_leaf::HEALTHY_ANSWER;
use super::schedule::Step;
use crate::platform::users::Answer;

/// Time for which a leaf still serves after it registered as leaving.
///
/// It is longer than the time for which gateways may still send it requests, otherwise requests
/// that come too late would not be detected.
const LEAVING_SERVE_DURATION: Duration = Duration::from_secs(6);

/// Time after which the operator and the leaves write again what the store has lost.
const REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Time for which a full leaf wants no requests, in seconds as in its answers.
pub(super) const PAUSE_SECONDS: &str = "1.5";

/// Limit that a leaf names, in requests per second, as in its answers and as a number.
pub(super) const LIMIT: (&str, f64) = ("10", 10.0);

/// Time within which a gateway closes connections that have become unresponsive.
const BLACKHOLE_TIMEOUT: Duration = Duration::from_secs(4);

impl Cluster {
    /// Injects a fault and schedules the action that ends it.
    pub(super) fn inject(&mut self, step: &Step, now: Instant) {
        let follow_up = match step.fault {
            Fault::Vm(vm, fault) => self.inject_vm_fault(vm, fault, step, now),
            Fault::AllVms(fault) => {
                for vm in 0..self.vms.len() {
                    self.inject_vm_fault(vm, fault, step, now);
                }
                None
            }
            Fault::StoreLink(vm, fault) => {
                self.add_link_disturbance(Scope::StoreLink(vm), fault, step, now);
                link::inject(&self.vms[vm].store_proxy, fault)
                    .then_some(FollowUp::HealStoreLink(vm))
            }
            Fault::AllLinks(vm, fault) => {
                let scope = Scope::AllLinks(vm, fault);
                self.disturbances.add(scope, now, step.duration);
                self.lost_links[vm] = Some(fault);
                let source = self.vms[vm].source;
                let proxies = self.leaves.iter().map(|leaf| &leaf.proxy);
                proxies.for_each(|proxy| link::lose(proxy, source, fault));
                Some(FollowUp::HealAllLinks(vm))
            }
            Fault::Store(fault) => self.inject_store_fault(fault, step, now),
            Fault::Leaf(slot, fault) => self.inject_leaf_fault(slot, fault, step, now),
            Fault::LeafLink(slot, fault) => {
                let index = self.slots[slot];
                self.add_link_disturbance(Scope::Leaf(index), fault, step, now);
                let is_lasting = link::inject(&self.leaves[index].proxy, fault);
                is_lasting.then_some(FollowUp::HealLeafLink(index))
            }
            Fault::WriteVersions(count) => {
                (0..count).for_each(|_| self.write_version());
                None
            }
            Fault::Operator(action) => self.operate(action),
        };
        if let Some(follow_up) = follow_up {
            self.follow_ups.push((now + step.duration, follow_up));
        }
    }

    /// Records the disturbance of a link's fault. A blackhole has no end of its own: it lasts until
    /// the gateway closes the unresponsive connections.
    fn add_link_disturbance(&mut self, scope: Scope, fault: LinkFault, step: &Step, now: Instant) {
        let duration = match fault {
            LinkFault::Blackhole => BLACKHOLE_TIMEOUT,
            _ => step.duration,
        };
        self.disturbances.add(scope, now, duration);
    }

    fn inject_vm_fault(
        &mut self,
        vm: usize,
        fault: VmFault,
        step: &Step,
        now: Instant,
    ) -> Option<FollowUp> {
        match fault {
            VmFault::Stop => self.stop_vm(vm, now),
            VmFault::Kill => self.kill_vm(vm, now),
            VmFault::Pause => {
                self.vms[vm].pause();
                self.disturbances.add(Scope::Vm(vm), now, step.duration);
                return Some(FollowUp::ResumeVm(vm));
            }
            VmFault::Reload => self.vms[vm].reload(),
        }
        None
    }

    fn inject_store_fault(
        &mut self,
        fault: StoreFault,
        step: &Step,
        now: Instant,
    ) -> Option<FollowUp> {
        let scope = match fault {
            StoreFault::GoBack => Scope::StoreCopy,
            StoreFault::Unavailable | StoreFault::Compact => Scope::Store,
        };
        self.disturbances.add(scope, now, step.duration);
        match fault {
            StoreFault::GoBack => {
                self.disturbances
                    .add(scope, now + step.duration, REWRITE_DELAY);
                self.store.set_error_status(Some(503));
                self.store.disconnect_all();
                Some(FollowUp::GoBack)
            }
            StoreFault::Unavailable => {
                self.store.set_error_status(Some(503));
                self.store.disconnect_all();
                Some(FollowUp::RestoreStore)
            }
            StoreFault::Compact => {
                self.store.compact();
                None
            }
        }
    }

    fn inject_leaf_fault(
        &mut self,
        slot: usize,
        fault: LeafFault,
        step: &Step,
        now: Instant,
    ) -> Option<FollowUp> {
        let index = self.slots[slot];
        let proxied_leaf = &mut self.leaves[index];
        if matches!(fault, LeafFault::Leave) {
            self.start_leaving(slot, now);
            return None;
        }
        if matches!(fault, LeafFault::SayLeaving) {
            self.say_leaving(slot, now);
            return None;
        }
        if matches!(fault, LeafFault::AskForPause) {
            let leaf = proxied_leaf.leaf.as_ref()?;
            leaf.set_retry_after(Some(PAUSE_SECONDS));
            leaf.set_answer(Answer::Rejected);
            return Some(FollowUp::RestoreLeafAnswer(index));
        }
        if matches!(fault, LeafFault::NameLimit) {
            proxied_leaf.leaf.as_ref()?.set_limit(Some(LIMIT.0));
            proxied_leaf.limited_from = Some(now);
            return Some(FollowUp::EndLimit(index));
        }
        self.disturbances
            .add(Scope::Leaf(index), now, step.duration);
        let leaf = proxied_leaf.leaf.as_ref()?;
        match fault {
            LeafFault::Answer(answer) => {
                leaf.set_answer(answer);
                Some(FollowUp::RestoreLeafAnswer(index))
            }
            LeafFault::Unregister => {
                self.store.remove(&leaf.key());
                Some(FollowUp::RegisterLeaf(index))
            }
            LeafFault::Crash => {
                proxied_leaf.stop();
                proxied_leaf.proxy.close_connections();
                Some(FollowUp::ReplaceLeaf(slot, index))
            }
            LeafFault::Leave
            | LeafFault::SayLeaving
            | LeafFault::AskForPause
            | LeafFault::NameLimit => None,
        }
    }

    fn stop_vm(&mut self, vm: usize, now: Instant) {
        if self.vms[vm].stop_requested_at.is_some() || !self.vms[vm].is_running() {
            return;
        }
        self.vms[vm].stop_requested_at = Some(now);
        self.vms[vm].stop();
        self.disturbances.add(Scope::Stop(vm), now, STOP_GRACE);
    }

    fn kill_vm(&mut self, vm: usize, now: Instant) {
        if !self.vms[vm].is_running() {
            return;
        }
        self.killed[vm] = true;
        self.vms[vm].kill();
        self.disturbances
            .add(Scope::Vm(vm), now, Duration::from_secs(1));
    }

    /// Registers a leaf as leaving and immediately replaces it with a new leaf in its slot.
    fn start_leaving(&mut self, slot: usize, now: Instant) {
        let index = self.slots[slot];
        let Some(leaf) = &self.leaves[index].leaf else {
            return;
        };
        leaf.register(&self.store, "draining");
        self.leaves[index].leaving_since = Some(now);
        self.follow_ups
            .push((now + LEAVING_SERVE_DURATION, FollowUp::RemoveLeaf(index)));
        self.replace_leaf(slot);
    }

    /// Lets a leaf say in its answers that it is leaving, and replaces it in its slot.
    fn say_leaving(&mut self, slot: usize, now: Instant) {
        let index = self.slots[slot];
        let Some(leaf) = &self.leaves[index].leaf else {
            return;
        };
        leaf.set_leaving(true);
        self.leaves[index].said_leaving_since = Some(now);
        self.follow_ups
            .push((now + LEAVING_SERVE_DURATION, FollowUp::RemoveLeaf(index)));
        self.replace_leaf(slot);
    }

    /// Lets the store come back from its oldest copy; what was written since is written again
    /// later.
    fn go_back(&mut self) {
        if let Some(backup) = self.backups.front() {
            self.store.restore(backup);
        }
        self.backups.clear();
        self.store.set_error_status(None);
        let at = Instant::now() + REWRITE_DELAY;
        self.follow_ups.push((at, FollowUp::RewriteStore));
    }

    /// Writes the routes and the registrations of all leaves again, and removes those of leaves
    /// that have stopped.
    fn rewrite_store(&mut self) {
        self.rewrite_routes();
        self.rewrite_evacuations();
        for proxied_leaf in &self.leaves {
            match &proxied_leaf.leaf {
                None => self.store.remove(&proxied_leaf.key()),
                Some(leaf) if proxied_leaf.leaving_since.is_some() => {
                    leaf.register(&self.store, "draining");
                }
                Some(leaf) => leaf.register(&self.store, "ready"),
            }
        }
    }

    /// Runs all follow-up actions that are due.
    pub(super) fn run_due_follow_ups(&mut self, now: Instant) {
        while let Some(index) = self.follow_ups.iter().position(|(at, _)| *at <= now) {
            let (_, follow_up) = self.follow_ups.swap_remove(index);
            self.run_follow_up(follow_up);
        }
    }

    fn run_follow_up(&mut self, follow_up: FollowUp) {
        match follow_up {
            FollowUp::ResumeVm(vm) => self.vms[vm].resume(),
            FollowUp::HealStoreLink(vm) => link::heal(&self.vms[vm].store_proxy),
            FollowUp::HealAllLinks(vm) => {
                self.lost_links[vm] = None;
                let source = self.vms[vm].source;
                let proxies = self.leaves.iter().map(|leaf| &leaf.proxy);
                proxies.for_each(|proxy| link::regain(proxy, source));
            }
            FollowUp::RestoreStore => self.store.set_error_status(None),
            FollowUp::RestoreLeafAnswer(index) => {
                if let Some(leaf) = &self.leaves[index].leaf {
                    leaf.set_answer(HEALTHY_ANSWER);
                    leaf.set_retry_after(None);
                }
            }
            FollowUp::EndLimit(index) => {
                let proxied_leaf = &mut self.leaves[index];
                if let Some(leaf) = &proxied_leaf.leaf {
                    leaf.set_limit(None);
                }
                proxied_leaf.limited_until = Some(Instant::now());
            }
            FollowUp::HealLeafLink(index) => {
                let proxy = &self.leaves[index].proxy;
                link::heal(proxy);
                self.apply_lost_links(proxy);
            }
            FollowUp::ReplaceLeaf(slot, index) => {
                self.store.remove(&self.leaves[index].key());
                if self.slots[slot] == index {
                    self.replace_leaf(slot);
                }
            }
            FollowUp::RemoveLeaf(index) => {
                let now = Instant::now();
                self.disturbances
                    .add(Scope::Leaf(index), now, Duration::ZERO);
                self.store.remove(&self.leaves[index].key());
                self.leaves[index].stop();
            }
            FollowUp::RegisterLeaf(index) => {
                let proxied_leaf = &self.leaves[index];
                if let Some(leaf) = proxied_leaf
                    .leaf
                    .as_ref()
                    .filter(|_| proxied_leaf.leaving_since.is_none())
                {
                    leaf.register(&self.store, "ready");
                }
            }
            FollowUp::EndEvacuation => self.end_evacuation(),
            FollowUp::GoBack => self.go_back(),
            FollowUp::RewriteStore => self.rewrite_store(),
            FollowUp::LaunchVm(vm) => match self.vms[vm].launch() {
                Ok(()) => self.starts.push((vm, Instant::now())),
                Err(error) => panic!("cannot restart gateway {vm}: {error}"),
            },
        }
    }
}
