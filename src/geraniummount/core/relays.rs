//! Tracks the relays of this VM, the few VMs of other failure domains with which it communicates.
//!
//! A VM knows all members of its own failure domain, but only [`MAX_RELAYS_PER_DOMAIN`] VMs of each
//! other one, so the work of a VM does not grow with the fleet. The state of a relay reflects the
//! link from this VM: a network partition makes the relay suspect (not answering, but not yet
//! declared dead) here and nowhere else. A suspect relay is kept and probed, so that the link
//! recovers after the partition. An incarnation is a number that a VM raises with each start and
//! each refuted suspicion.

use std::time::Instant;

use crate::core::vm::State;
use crate::prelude::*;

/// Maximum number of known VMs in each other failure domain.
pub const MAX_RELAYS_PER_DOMAIN: usize = 3;
/// Maximum number of failure domains that are tracked.
const MAX_DOMAINS: usize = 64;

/// Known VMs of other failure domains.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// Sorted by name.
    known: Vec<Relay>,
}

/// A VM of another failure domain.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Record of the VM, with the state as seen over the link to it.
    pub vm: Vm,
    /// When the VM was last probed or a datagram from it was last received.
    pub last_tried: Option<Instant>,
    /// When a datagram from the VM was last received.
    pub last_received: Option<Instant>,
}

impl Relays {
    /// Returns the known VMs sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Relay> {
        self.known.iter()
    }

    /// Returns a VM by name.
    pub fn get(&self, name: &str) -> Option<&Relay> {
        let index = self.find(name).ok()?;
        Some(&self.known[index])
    }

    /// Records a datagram from the VM itself. Returns whether anything changed
    /// that routing depends on.
    pub fn on_datagram(&mut self, vm: &Vm, now: Instant) -> bool {
        let changed = match self.find(&vm.name) {
            Ok(index) => self.update(index, vm),
            Err(_) => self.add(vm),
        };
        if let Ok(index) = self.find(&vm.name) {
            self.known[index].last_tried = Some(now);
            self.known[index].last_received = Some(now);
        }
        changed
    }

    /// Merges the record of a VM that was received from another VM. A record with the state suspect
    /// is ignored, because it reflects another link. Returns whether anything changed.
    pub fn merge(&mut self, vm: &Vm) -> bool {
        let Ok(index) = self.find(&vm.name) else {
            return vm.state == State::Live && self.add(vm);
        };
        let known = &self.known[index].vm;
        let is_restarted = vm.incarnation > known.incarnation;
        let is_worse = vm.incarnation == known.incarnation && vm.state > known.state;
        match vm.state {
            State::Dead if is_restarted || is_worse => {
                self.known.remove(index);
                true
            }
            State::Leaving if is_restarted || is_worse => self.update(index, vm),
            State::Live if is_restarted => self.update(index, vm),
            _ => false,
        }
    }

    /// Returns the VM with the earliest [`Relay::last_tried`] and records that it is probed now.
    pub fn next_to_probe(&mut self, now: Instant) -> Option<Vm> {
        let next = self.known.iter_mut().min_by_key(|relay| relay.last_tried)?;
        next.last_tried = Some(now);
        Some(next.vm.clone())
    }

    /// Records that the VM did not answer a probe. Returns whether its state
    /// changed.
    pub fn on_no_answer(&mut self, name: &str) -> bool {
        let Ok(index) = self.find(name) else {
            return false;
        };
        let vm = &mut self.known[index].vm;
        match vm.state {
            State::Live => vm.state = State::Suspect,
            State::Leaving | State::Dead => drop(self.known.remove(index)),
            State::Suspect => return false,
        }
        true
    }

    fn update(&mut self, index: usize, vm: &Vm) -> bool {
        let known = &mut self.known[index].vm;
        if vm.incarnation < known.incarnation {
            return false;
        }
        let fields = |vm: &Vm| (vm.state, vm.peer_address, vm.revision);
        let changed = fields(known) != fields(vm);
        let revision = known.revision.max(vm.revision);
        *known = vm.clone();
        known.revision = revision;
        changed
    }

    fn add(&mut self, vm: &Vm) -> bool {
        let is_same_domain = |relay: &&Relay| relay.vm.failure_domain == vm.failure_domain;
        let known = self.known.iter().filter(is_same_domain).count();
        if known >= MAX_RELAYS_PER_DOMAIN && !self.evict_unavailable(&vm.failure_domain) {
            return false;
        }
        if self.known.len() >= MAX_DOMAINS * MAX_RELAYS_PER_DOMAIN {
            return false;
        }
        let relay = Relay {
            vm: vm.clone(),
            last_tried: None,
            last_received: None,
        };
        if let Err(index) = self.find(&vm.name) {
            self.known.insert(index, relay);
        }
        true
    }

    /// Removes a VM of the failure domain that is not live. Returns whether
    /// there was one.
    fn evict_unavailable(&mut self, domain: &str) -> bool {
        let unavailable = self
            .known
            .iter()
            .position(|relay| relay.vm.failure_domain == domain && relay.vm.state != State::Live);
        unavailable.map(|index| self.known.remove(index)).is_some()
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.known
            .binary_search_by(|relay| relay.vm.name.as_str().cmp(name))
    }
}
