//! The few VMs of other failure domains that this VM talks to.
//!
//! A VM knows all members of its own failure domain, but of each other one
//! only [`PER_DOMAIN`], so that its work does not grow with the fleet. Their
//! state is what this VM sees over its own links: a cut makes them suspect
//! here and nowhere else, and they are kept, so that the link heals.

use std::time::Instant;

use crate::core::vm::State;
use crate::prelude::*;

/// VMs known of each other failure domain.
pub const PER_DOMAIN: usize = 3;
/// Failure domains that are kept track of.
const MAX_DOMAINS: usize = 64;

/// Known VMs of other failure domains, by name.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    known: Vec<Relay>,
}

/// A VM of another failure domain.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The VM, with its state as seen over the link to it.
    pub vm: Vm,
    /// When it was last heard or probed.
    pub tried: Option<Instant>,
    /// When it was last heard.
    pub heard: Option<Instant>,
}

impl Relays {
    /// Returns the known VMs by name.
    pub fn iter(&self) -> impl Iterator<Item = &Relay> {
        self.known.iter()
    }

    /// Finds a VM by name.
    pub fn get(&self, name: &str) -> Option<&Relay> {
        let place = self.place(name).ok()?;
        Some(&self.known[place])
    }

    /// Notes a datagram from the VM itself. Returns whether anything that
    /// traffic goes by has changed.
    pub fn hear(&mut self, vm: &Vm, now: Instant) -> bool {
        let changed = match self.place(&vm.name) {
            Ok(place) => self.renew(place, vm),
            Err(_) => self.add(vm),
        };
        if let Ok(place) = self.place(&vm.name) {
            self.known[place].tried = Some(now);
            self.known[place].heard = Some(now);
        }
        changed
    }

    /// Notes what another VM told of one. Returns whether anything changed.
    pub fn consider(&mut self, vm: &Vm) -> bool {
        let Ok(place) = self.place(&vm.name) else {
            return vm.state == State::Live && self.add(vm);
        };
        let known = &self.known[place].vm;
        let restarted = vm.incarnation > known.incarnation;
        let given_up = vm.incarnation == known.incarnation && vm.state > known.state;
        match vm.state {
            State::Dead if restarted || given_up => {
                self.known.remove(place);
                true
            }
            State::Leaving if restarted || given_up => self.renew(place, vm),
            State::Live if restarted => self.renew(place, vm),
            _ => false,
        }
    }

    /// Picks the VM that was tried longest ago and notes that it is tried.
    pub fn next_to_probe(&mut self, now: Instant) -> Option<Vm> {
        let next = self.known.iter_mut().min_by_key(|relay| relay.tried)?;
        next.tried = Some(now);
        Some(next.vm.clone())
    }

    /// Notes that the VM did not answer. Returns whether that is news.
    pub fn miss(&mut self, name: &str) -> bool {
        let Ok(place) = self.place(name) else {
            return false;
        };
        let vm = &mut self.known[place].vm;
        match vm.state {
            State::Live => vm.state = State::Suspect,
            State::Leaving | State::Dead => drop(self.known.remove(place)),
            State::Suspect => return false,
        }
        true
    }

    fn renew(&mut self, place: usize, vm: &Vm) -> bool {
        let known = &mut self.known[place].vm;
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
        let same_domain = |relay: &&Relay| relay.vm.failure_domain == vm.failure_domain;
        let known = self.known.iter().filter(same_domain).count();
        if known >= PER_DOMAIN && !self.make_room(&vm.failure_domain) {
            return false;
        }
        if self.known.len() >= MAX_DOMAINS * PER_DOMAIN {
            return false;
        }
        let relay = Relay {
            vm: vm.clone(),
            tried: None,
            heard: None,
        };
        if let Err(place) = self.place(&vm.name) {
            self.known.insert(place, relay);
        }
        true
    }

    /// Forgets a VM of the failure domain that does not answer or leaves.
    fn make_room(&mut self, domain: &str) -> bool {
        let worst = self
            .known
            .iter()
            .position(|relay| relay.vm.failure_domain == domain && relay.vm.state != State::Live);
        worst.map(|place| self.known.remove(place)).is_some()
    }

    fn place(&self, name: &str) -> Result<usize, usize> {
        self.known
            .binary_search_by(|relay| relay.vm.name.as_str().cmp(name))
    }
}
