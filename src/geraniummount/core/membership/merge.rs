//! How news about VMs and leaves is taken in.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Action, MAX_DIFFERENT, MAX_LEAF_NOTICES, MAX_MEMBERS, Member, Membership};
use crate::core::gossip::{Body, Notice};
use crate::core::rumors::Subject;
use crate::core::vm::State;
use crate::prelude::*;

impl Membership {
    /// Notes a datagram from `vm` itself. Returns whether the VM has to refute
    /// what is held against it.
    pub(super) fn hear(&mut self, vm: &Vm, now: Instant) -> bool {
        self.hints.retain(|address| *address != vm.peer_address);
        if vm.failure_domain != self.me.failure_domain {
            self.changed |= self.relays.hear(vm, now);
            return false;
        }
        self.merge_vm(vm, now);
        self.held_against(vm).is_some()
    }

    /// Takes in what is told of a VM.
    pub(super) fn merge_vm(&mut self, vm: &Vm, now: Instant) {
        if vm.name == self.me.name {
            self.refute(vm);
            return;
        }
        if vm.failure_domain != self.me.failure_domain {
            self.changed |= self.relays.consider(vm);
            return;
        }
        match self.member_place(&vm.name) {
            Ok(place) => self.update(place, vm, now),
            Err(place) => self.insert(place, vm, now),
        }
    }

    /// Takes in what is told of a leaf.
    pub(super) fn merge_notice(&mut self, notice: Notice) {
        match self.notice_place(&notice.leaf, notice.source) {
            Ok(place) if notice.overrides(&self.notices[place]) => {
                self.notices[place] = notice.clone();
            }
            Err(place) if self.notices.len() < MAX_LEAF_NOTICES => {
                self.notices.insert(place, notice.clone());
            }
            _ => return,
        }
        self.changed = true;
        self.push_due = true;
        self.rumors
            .spread(Subject::Leaf(notice.leaf, notice.source));
    }

    /// Holds a member to be in `state`, unless newer news says otherwise.
    pub(super) fn judge(&mut self, name: &str, state: State, now: Instant) {
        let Ok(place) = self.member_place(name) else {
            return;
        };
        let vm = Vm {
            state,
            ..self.members[place].vm.clone()
        };
        self.update(place, &vm, now);
    }

    /// Asks a member for all that it knows when both have differed for long:
    /// news that rides on probes does not reach everyone after many changes
    /// at once.
    pub(super) fn compare(
        &mut self,
        from: &Vm,
        body: Body,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_probe = matches!(body, Body::Ping { .. } | Body::Ack { .. });
        if !is_probe || from.failure_domain != self.me.failure_domain {
            return;
        }
        if digest == self.digest() {
            self.different = 0;
            return;
        }
        self.different += 1;
        if self.different >= MAX_DIFFERENT {
            self.different = 0;
            actions.push(self.send_to(from, Body::Join));
        }
    }

    /// Returns a digest of the members that are not given up, suspects alike
    /// with the live ones.
    pub(super) fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let members = self.members.iter().map(|member| &member.vm);
        let kept = members.filter(|vm| vm.state != State::Dead);
        let digest = kept.fold(digest_of(&self.me), |sum, vm| sum ^ digest_of(vm));
        self.digest = Some(digest);
        digest
    }

    /// Raises the own incarnation above any that others hold against it.
    fn refute(&mut self, told: &Vm) {
        let outdated = told.incarnation > self.me.incarnation;
        let doubted = told.incarnation == self.me.incarnation && told.state != self.me.state;
        // A live record of this incarnation is only older than the own leaving.
        let harmless = self.me.state == State::Leaving && told.state < State::Leaving;
        if outdated || (doubted && !harmless) {
            self.me.incarnation = told.incarnation + 1;
            self.digest = None;
            self.push_due = true;
        }
    }

    fn update(&mut self, place: usize, vm: &Vm, now: Instant) {
        let member = &mut self.members[place];
        let known = &mut member.vm;
        if (vm.incarnation, vm.state) <= (known.incarnation, known.state) {
            if vm.incarnation == known.incarnation && vm.revision > known.revision {
                known.revision = vm.revision;
                self.changed = true;
            }
            return;
        }
        let revision = known.revision.max(vm.revision);
        let moved = (known.state, known.peer_address) != (vm.state, vm.peer_address);
        *known = vm.clone();
        known.revision = revision;
        member.since = now;
        self.digest = None;
        self.changed |= moved;
        self.push_due |= moved && vm.state == State::Leaving;
        self.rumors.spread(Subject::Vm(vm.name.clone()));
    }

    fn insert(&mut self, place: usize, vm: &Vm, now: Instant) {
        if vm.state == State::Dead || self.members.len() >= MAX_MEMBERS {
            return;
        }
        let member = Member {
            vm: vm.clone(),
            since: now,
        };
        self.members.insert(place, member);
        self.digest = None;
        self.changed = true;
        self.rumors.spread(Subject::Vm(vm.name.clone()));
    }
}

fn digest_of(vm: &Vm) -> u64 {
    let is_leaving = u64::from(vm.state == State::Leaving);
    xxh3_64_with_seed(vm.name.as_bytes(), vm.incarnation << 1 | is_leaving)
}
