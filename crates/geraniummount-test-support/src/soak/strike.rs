//! Faults of a schedule, brought about in the world and ended again.

use std::time::{Duration, Instant};

use super::disturbance::Scope;
use super::fault::{Fault, LeafFault, LinkFault, StoreFault, VmFault};
use super::link;
use super::member::WELL;
use super::schedule::Step;
use super::world::{GRACE, World};

/// Time for which a leaf serves after it registered as leaving; longer than a
/// gateway may send it requests, so that one that does is seen.
const LEAVING: Duration = Duration::from_secs(6);

/// Time in which silent connections are given up.
const SILENCE: Duration = Duration::from_secs(4);

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Undo {
    Resume(usize),
    HealStore(usize),
    StoreUp,
    LeafWell(usize),
    HealLeaf(usize),
    /// The place, and the leaf that stood there.
    Replace(usize, usize),
    Remove(usize),
    Register(usize),
    Launch(usize),
}

impl World {
    pub(super) fn strike(&mut self, step: &Step, now: Instant) {
        let undo = match step.fault {
            Fault::Vm(vm, fault) => self.strike_vm(vm, fault, step, now),
            Fault::AllVms(fault) => {
                for vm in 0..self.vms.len() {
                    self.strike_vm(vm, fault, step, now);
                }
                None
            }
            Fault::StoreLink(vm, fault) => {
                self.disturb(Scope::StoreLink(vm), fault, step, now);
                link::strike(&self.vms[vm].store, fault).then_some(Undo::HealStore(vm))
            }
            Fault::Store(fault) => self.strike_store(fault, step, now),
            Fault::Leaf(place, fault) => self.strike_leaf(place, fault, step, now),
            Fault::LeafLink(place, fault) => {
                let member = self.places[place];
                self.disturb(Scope::Leaf(member), fault, step, now);
                let lasts = link::strike(&self.members[member].proxy, fault);
                lasts.then_some(Undo::HealLeaf(member))
            }
            Fault::Versions(count) => {
                (0..count).for_each(|_| self.write_version());
                None
            }
        };
        if let Some(undo) = undo {
            self.undos.push((now + step.lasts, undo));
        }
    }

    /// Notes the span of a link's fault. Silence ends where the gateway gives
    /// its connections up, which may take a while.
    fn disturb(&mut self, scope: Scope, fault: LinkFault, step: &Step, now: Instant) {
        let lasts = match fault {
            LinkFault::Silent => SILENCE,
            _ => step.lasts,
        };
        self.disturbances.add(scope, now, lasts);
    }

    fn strike_vm(&mut self, vm: usize, fault: VmFault, step: &Step, now: Instant) -> Option<Undo> {
        match fault {
            VmFault::Stop => self.stop_vm(vm, now),
            VmFault::Kill => self.kill_vm(vm, now),
            VmFault::Pause => {
                self.vms[vm].pause();
                self.disturbances.add(Scope::Vm(vm), now, step.lasts);
                return Some(Undo::Resume(vm));
            }
            VmFault::Reload => self.vms[vm].reload(),
        }
        None
    }

    fn strike_store(&mut self, fault: StoreFault, step: &Step, now: Instant) -> Option<Undo> {
        self.disturbances.add(Scope::Store, now, step.lasts);
        match fault {
            StoreFault::Down => {
                self.store.set_error_status(Some(503));
                self.store.disconnect_all();
                Some(Undo::StoreUp)
            }
            StoreFault::Compacted => {
                self.store.compact();
                None
            }
        }
    }

    fn strike_leaf(
        &mut self,
        place: usize,
        fault: LeafFault,
        step: &Step,
        now: Instant,
    ) -> Option<Undo> {
        let number = self.places[place];
        let member = &mut self.members[number];
        if matches!(fault, LeafFault::Leaves) {
            self.leave(place, now);
            return None;
        }
        self.disturbances.add(Scope::Leaf(number), now, step.lasts);
        let leaf = member.leaf.as_ref()?;
        match fault {
            LeafFault::Answers(answer) => {
                leaf.set_answer(answer);
                Some(Undo::LeafWell(number))
            }
            LeafFault::Lapses => {
                self.store.remove(&leaf.key());
                Some(Undo::Register(number))
            }
            LeafFault::Crashes => {
                member.end();
                member.proxy.break_open();
                Some(Undo::Replace(place, number))
            }
            LeafFault::Leaves => None,
        }
    }

    fn stop_vm(&mut self, vm: usize, now: Instant) {
        if self.vms[vm].stopping.is_some() || !self.vms[vm].is_running() {
            return;
        }
        self.vms[vm].stopping = Some(now);
        self.vms[vm].stop();
        self.disturbances.add(Scope::Stop(vm), now, GRACE);
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

    /// Registers a leaf as leaving; another takes its place at once.
    fn leave(&mut self, place: usize, now: Instant) {
        let member = self.places[place];
        let Some(leaf) = &self.members[member].leaf else {
            return;
        };
        leaf.register(&self.store, "draining");
        self.members[member].leaves_at = Some(now);
        self.undos.push((now + LEAVING, Undo::Remove(member)));
        self.replace(place);
    }

    pub(super) fn undo_due(&mut self, now: Instant) {
        while let Some(place) = self.undos.iter().position(|(at, _)| *at <= now) {
            let (_, undo) = self.undos.swap_remove(place);
            self.undo(undo);
        }
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Resume(vm) => self.vms[vm].resume(),
            Undo::HealStore(vm) => link::heal(&self.vms[vm].store),
            Undo::StoreUp => self.store.set_error_status(None),
            Undo::LeafWell(member) => {
                if let Some(leaf) = &self.members[member].leaf {
                    leaf.set_answer(WELL);
                }
            }
            Undo::HealLeaf(member) => link::heal(&self.members[member].proxy),
            Undo::Replace(place, member) => {
                self.store.remove(&self.members[member].key());
                if self.places[place] == member {
                    self.replace(place);
                }
            }
            Undo::Remove(member) => {
                let now = Instant::now();
                self.disturbances
                    .add(Scope::Leaf(member), now, Duration::ZERO);
                self.store.remove(&self.members[member].key());
                self.members[member].end();
            }
            Undo::Register(member) => {
                let member = &self.members[member];
                if let Some(leaf) = member.leaf.as_ref().filter(|_| member.leaves_at.is_none()) {
                    leaf.register(&self.store, "ready");
                }
            }
            Undo::Launch(vm) => match self.vms[vm].launch() {
                Ok(()) => self.starts.push((vm, Instant::now())),
                Err(error) => panic!("gateway {vm} can't be started again: {error}"),
            },
        }
    }
}
