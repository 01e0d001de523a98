//! Merges received records of VMs and notices about leaves.
//!
//! The members are the other VMs of the own failure domain. A notice states whether a leaf is
//! leaving (accepting no new work), according to one source: the leaf, its health endpoint or the
//! platform's membership list. The relays are the known VMs of other failure domains. A VM raises
//! its incarnation with each start and each refuted suspicion; among records of the same
//! incarnation, the later state (live, suspect, leaving, dead) takes precedence. Updates are sent
//! with probes. Urgent ones, marked by `is_push_due`, are pushed to a few VMs at once.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Action, MAX_DIGEST_MISMATCHES, MAX_LEAF_NOTICES, MAX_MEMBERS, Member, Membership};
use crate::core::gossip::{Body, Notice};
use crate::core::updates::Subject;
use crate::core::vm::State;
use crate::prelude::*;

impl Membership {
    /// Merges the record that a datagram's sender sent about itself. Returns whether this VM holds
    /// a conflicting record of the sender, which the sender has to refute. This is never the case
    /// for a VM of another failure domain, whose state here reflects the link to it.
    pub(super) fn note_sender(&mut self, vm: &Vm, now: Instant) -> bool {
        // The sender is known now, so its address is no longer just a hint of the membership list.
        self.hinted_addresses
            .retain(|address| *address != vm.peer_address);
        if vm.failure_domain != self.me.failure_domain {
            self.has_changed |= self.relays.on_datagram(vm, now);
            return false;
        }
        self.merge_vm(vm, now);
        self.conflicting_record(vm).is_some()
    }

    /// Merges the record of a VM.
    pub(super) fn merge_vm(&mut self, vm: &Vm, now: Instant) {
        if vm.name == self.me.name {
            self.refute(vm);
            return;
        }
        if vm.failure_domain != self.me.failure_domain {
            self.has_changed |= self.relays.merge(vm);
            return;
        }
        match self.member_index(&vm.name) {
            Ok(index) => self.update_member(index, vm, now),
            Err(index) => self.insert_member(index, vm, now),
        }
    }

    /// Merges a notice about a leaf.
    pub(super) fn merge_notice(&mut self, notice: Notice) {
        match self.notice_index(&notice.leaf, notice.source) {
            Ok(index) if notice.overrides(&self.notices[index]) => {
                self.notices[index] = notice.clone();
            }
            Err(index) if self.notices.len() < MAX_LEAF_NOTICES => {
                self.notices.insert(index, notice.clone());
            }
            _ => return,
        }
        self.has_changed = true;
        self.is_push_due = true;
        self.updates.push(Subject::Leaf(notice.leaf, notice.source));
    }

    /// Sets the state of a member. A state that does not follow the known one in the order of
    /// states is ignored.
    pub(super) fn set_member_state(&mut self, name: &str, state: State, now: Instant) {
        let Ok(index) = self.member_index(name) else {
            return;
        };
        let vm = Vm {
            state,
            ..self.members[index].vm.clone()
        };
        self.update_member(index, &vm, now);
    }

    /// Requests the records of all members from the sender once [`MAX_DIGEST_MISMATCHES`] digests
    /// in a row, from any members, differed from this VM's. This is necessary because the updates
    /// sent with probes do not reach every member after many changes at once.
    pub(super) fn compare_digest(
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
            self.digest_mismatches = 0;
            return;
        }
        self.digest_mismatches += 1;
        if self.digest_mismatches >= MAX_DIGEST_MISMATCHES {
            self.digest_mismatches = 0;
            // `Join` is answered with all records and notices.
            actions.push(self.send_to(from, Body::Join));
        }
    }

    /// Returns a digest of this VM and the members that are not dead. It does not distinguish live
    /// from suspect members.
    pub(super) fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let members = self.members.iter().map(|member| &member.vm);
        let kept = members.filter(|vm| vm.state != State::Dead);
        let digest = kept.fold(record_digest(&self.me), |sum, vm| sum ^ record_digest(vm));
        self.digest = Some(digest);
        digest
    }

    /// Raises this VM's incarnation above that of a received record of this VM, if the record has a
    /// higher incarnation or contradicts this VM's state.
    fn refute(&mut self, received: &Vm) {
        let is_own_outdated = received.incarnation > self.me.incarnation;
        let is_contradicted =
            received.incarnation == self.me.incarnation && received.state != self.me.state;
        // While this VM is leaving, a live or suspect record (an earlier state) of the same
        // incarnation is only out of date.
        let is_expected = self.me.state == State::Leaving && received.state < State::Leaving;
        if is_own_outdated || (is_contradicted && !is_expected) {
            self.me.incarnation = received.incarnation + 1;
            self.digest = None;
            self.is_push_due = true;
        }
    }

    fn update_member(&mut self, index: usize, vm: &Vm, now: Instant) {
        let member = &mut self.members[index];
        let known = &mut member.vm;
        if (vm.incarnation, vm.state) <= (known.incarnation, known.state) {
            // The configuration revision of a VM (its position in the log of all accepted changes)
            // rises without a new incarnation or state.
            if vm.incarnation == known.incarnation && vm.revision > known.revision {
                known.revision = vm.revision;
                self.has_changed = true;
            }
            return;
        }
        let revision = known.revision.max(vm.revision);
        let is_state_or_address_new =
            (known.state, known.peer_address) != (vm.state, vm.peer_address);
        *known = vm.clone();
        known.revision = revision;
        member.replaced_at = now;
        self.digest = None;
        self.has_changed |= is_state_or_address_new;
        self.is_push_due |= is_state_or_address_new && vm.state == State::Leaving;
        self.updates.push(Subject::Vm(vm.name.clone()));
    }

    fn insert_member(&mut self, index: usize, vm: &Vm, now: Instant) {
        if vm.state == State::Dead || self.members.len() >= MAX_MEMBERS {
            return;
        }
        let member = Member {
            vm: vm.clone(),
            replaced_at: now,
        };
        self.members.insert(index, member);
        self.digest = None;
        self.has_changed = true;
        self.updates.push(Subject::Vm(vm.name.clone()));
    }
}

fn record_digest(vm: &Vm) -> u64 {
    let is_leaving = u64::from(vm.state == State::Leaving);
    xxh3_64_with_seed(vm.name.as_bytes(), vm.incarnation << 1 | is_leaving)
}
