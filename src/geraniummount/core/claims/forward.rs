//! Which VM claims a key for which others, and when.
//!
//! For each value a failure domain ranks first by rendezvous hash, and in it a
//! member. A VM knows all members of its own domain and some of each other
//! one, so that a claim goes to that member directly or through one that knows
//! it. While few keys are claimed, each VM claims for itself: a hop more would
//! gain nothing.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::core::ownership;
use crate::core::vm::State;
use crate::prelude::*;

/// Longest wait for the answer to a forwarded claim.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which claims are forwarded after a value was seen contended.
const FORWARDING: Duration = Duration::from_secs(60);
/// Time for which a VM gets no claims after one without a useful answer.
const AVOIDANCE: Duration = Duration::from_secs(5);
/// Time after a call that the platform did not answer in which no claim that
/// another VM did not answer is tried here: it would most likely fail too.
const RELIEF: Duration = Duration::from_secs(5);

/// What one VM knows of forwarding.
#[derive(Clone, Debug, Default)]
pub struct Forward {
    until: Option<Instant>,
    relief: Option<Instant>,
    /// VMs that get no claims, by name, and until when.
    avoided: Vec<(VmName, Instant)>,
}

impl Forward {
    /// Notes whether a value was seen contended.
    pub fn note(&mut self, contended: bool, now: Instant) {
        if contended {
            self.until = Some(now + FORWARDING);
        }
    }

    /// Notes that the platform did not answer this VM.
    pub fn note_failure(&mut self, now: Instant) {
        self.relief = Some(now + RELIEF);
    }

    /// Whether this VM tries a claim that another one did not answer.
    pub fn may_fall_back(&self, now: Instant) -> bool {
        self.relief.is_none_or(|relief| relief <= now)
    }

    /// Notes that a VM gave no useful answer to a claim that this one could
    /// make by itself.
    pub fn avoid(&mut self, vm: &VmName, now: Instant) {
        self.avoided.retain(|(_, until)| *until > now);
        let until = now + AVOIDANCE;
        match self.avoided.binary_search_by(|(name, _)| name.cmp(vm)) {
            Ok(place) => self.avoided[place].1 = until,
            Err(place) => self.avoided.insert(place, (vm.clone(), until)),
        }
    }

    /// Returns the VM to which a claim in a value goes; `None` when this VM
    /// claims it.
    pub fn to(
        &self,
        view: &View,
        value: u64,
        now: Instant,
        is_lost: impl Fn(&Vm) -> bool,
    ) -> Option<Vm> {
        self.until.filter(|until| *until > now)?;
        let is_out = |vm: &Vm| is_lost(vm) || self.is_avoided(&vm.name, now);
        let takes = |vm: &&Vm| vm.state <= State::Suspect && !is_out(vm);
        let domains = view.vms.iter().filter(takes).map(|vm| &vm.failure_domain);
        let first = domains.min_by_key(|domain| Reverse(score(domain, value)))?;
        first_of(view, first, value, is_out)
    }

    /// Returns the VM of the own failure domain to which a claim that came
    /// from another one goes; `None` when this VM claims it.
    pub fn onward(
        &self,
        view: &View,
        value: u64,
        now: Instant,
        is_lost: impl Fn(&Vm) -> bool,
    ) -> Option<Vm> {
        let is_out = |vm: &Vm| is_lost(vm) || self.is_avoided(&vm.name, now);
        first_of(view, &view.failure_domain, value, is_out)
    }

    fn is_avoided(&self, vm: &VmName, now: Instant) -> bool {
        let place = self.avoided.binary_search_by(|(name, _)| name.cmp(vm));
        place.is_ok_and(|place| self.avoided[place].1 > now)
    }
}

fn first_of(
    view: &View,
    domain: &DomainName,
    value: u64,
    is_out: impl Fn(&Vm) -> bool,
) -> Option<Vm> {
    let first = ownership::first_of(view, domain, xxh3_64(&value.to_le_bytes()), is_out)?;
    (first.name != view.me).then(|| first.clone())
}

fn score(domain: &DomainName, value: u64) -> u64 {
    xxh3_64_with_seed(domain.as_bytes(), value)
}
