//! Probes other VMs and derives their state from missing acknowledgements.
//!
//! The members are the other VMs of the own failure domain, and the relays are the known VMs of
//! other domains. A period lasts [`PROBE_INTERVAL`]. An incarnation is a number that a VM raises
//! with each start and each refuted suspicion. A notice states whether a leaf is leaving (accepting
//! no new work).

use std::net::SocketAddr;
use std::time::Instant;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::{
    Action, DEAD_TTL, INDIRECT_TIMEOUT, MAX_PUSHES_PER_PERIOD, Membership, PROBE_INTERVAL,
    PROBE_TIMEOUT, RECONNECT_PERIODS, STARTUP_PERIODS, SUSPICION_TIMEOUT,
};
use crate::core::gossip::{Body, MAX_MESSAGE_VMS, Message};
use crate::core::vm::State;
use crate::prelude::*;

/// Maximum number of VMs that are asked to probe one that does not answer.
const MAX_HELPERS: usize = 2;
/// Maximum number of probes in flight, both own ones and those on behalf of
/// other VMs.
const MAX_PROBES_IN_FLIGHT: usize = 64;
/// Periods between two probes of VMs of other failure domains.
const RELAY_PROBE_PERIODS: u64 = 2;
/// Maximum number of dead members and unknown addresses that are contacted at
/// once.
const MAX_RECONNECTS: usize = 8;

/// A probe that waits for its acknowledgement.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    id: u64,
    /// Record of the probed VM when the probe was sent.
    target: Vm,
    sent_at: Instant,
    purpose: Purpose,
}

/// On whose behalf a probe was sent, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Purpose {
    /// For this VM. Only a direct acknowledgement is expected so far.
    Direct,
    /// For this VM. Other VMs were asked to probe as well.
    Indirect { asked_at: Instant },
    /// For another VM, to which the acknowledgement is forwarded.
    OnBehalf {
        asker: Vm,
        /// Id of the asker's own probe.
        probe: u64,
    },
}

impl Membership {
    /// Returns when [`Membership::tick`] has to be called next.
    pub fn next_wake(&self) -> Instant {
        let direct = self
            .probes
            .iter()
            .filter(|probe| probe.purpose == Purpose::Direct);
        let timeouts = direct.map(|probe| probe.sent_at + PROBE_TIMEOUT);
        timeouts
            .chain([self.next_period])
            .min()
            .unwrap_or(self.next_period)
    }

    /// Performs the work that is due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.request_indirect_probes(now, &mut actions);
        if now >= self.next_period {
            self.next_period = now + PROBE_INTERVAL;
            self.period_count += 1;
            self.pushes_left = MAX_PUSHES_PER_PERIOD;
            self.finish_probes(now);
            self.expire_suspects(now);
            self.probe_member(now, &mut actions);
            self.probe_relay(now, &mut actions);
            self.reconnect(&mut actions);
        }
        actions.extend(self.push_urgent());
        actions
    }

    /// Processes the body of a received datagram.
    pub(super) fn respond(
        &mut self,
        from: &Vm,
        body: Body,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match body {
            Body::Ping { probe } => actions.push(self.send_to(from, Body::Ack { probe })),
            Body::Ack { probe } => self.on_ack(probe, actions),
            Body::PingRequest { probe, target } => {
                actions.extend(self.probe_on_behalf(from, probe, target, now));
            }
            Body::Join => self.send_full_state(from, actions),
            Body::Push => {}
        }
    }

    fn on_ack(&mut self, id: u64, actions: &mut Vec<Action>) {
        let Some(index) = self.probes.iter().position(|probe| probe.id == id) else {
            return;
        };
        let probe = self.probes.swap_remove(index);
        if let Purpose::OnBehalf { asker, probe } = probe.purpose {
            actions.push(self.send_to(&asker, Body::Ack { probe }));
        }
    }

    fn probe_on_behalf(
        &mut self,
        asker: &Vm,
        probe: u64,
        target: SocketAddr,
        now: Instant,
    ) -> Option<Action> {
        let vm = self
            .vms()
            .into_iter()
            .find(|vm| vm.peer_address == target)?;
        let purpose = Purpose::OnBehalf {
            asker: asker.clone(),
            probe,
        };
        self.send_probe(vm, purpose, now)
    }

    fn send_probe(&mut self, target: Vm, purpose: Purpose, now: Instant) -> Option<Action> {
        if self.probes.len() >= MAX_PROBES_IN_FLIGHT {
            return None;
        }
        let id = self.rng.random();
        let action = self.send_to(&target, Body::Ping { probe: id });
        self.probes.push(Probe {
            id,
            target,
            sent_at: now,
            purpose,
        });
        Some(action)
    }

    /// Repeats the probes that timed out, both directly and through other VMs.
    fn request_indirect_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for probe in &mut self.probes {
            if probe.purpose == Purpose::Direct && now >= probe.sent_at + PROBE_TIMEOUT {
                probe.purpose = Purpose::Indirect { asked_at: now };
                late.push((probe.id, probe.target.clone()));
            }
        }
        for (id, target) in late {
            actions.push(self.send_to(&target, Body::Ping { probe: id }));
            let request = Body::PingRequest {
                probe: id,
                target: target.peer_address,
            };
            for helper in self.helpers(&target) {
                actions.push(self.send_to(&helper, request));
            }
        }
    }

    /// Picks the VMs that are asked to probe `target`.
    fn helpers(&mut self, target: &Vm) -> Vec<Vm> {
        let is_helper = |vm: &Vm| vm.state == State::Live && vm.name != target.name;
        let members = self.members.iter().map(|member| &member.vm);
        let mut helpers: Vec<Vm> = members.filter(|vm| is_helper(vm)).cloned().collect();
        if target.failure_domain != self.me.failure_domain {
            // Only the direct link to a VM of another failure domain matters
            // to this VM.
            return Vec::new();
        }
        if helpers.len() < MAX_HELPERS {
            let relays = self.relays.iter().map(|relay| &relay.vm);
            helpers.extend(relays.filter(|vm| is_helper(vm)).cloned());
        }
        helpers.shuffle(&mut self.rng);
        helpers.truncate(MAX_HELPERS);
        helpers
    }

    /// Processes the probes that were not acknowledged in time.
    fn finish_probes(&mut self, now: Instant) {
        let probes = std::mem::take(&mut self.probes);
        for probe in probes {
            match probe.purpose {
                // The wait starts when the probe was repeated, because this VM may have been paused
                // while it waited for the first reply.
                Purpose::Indirect { asked_at } if now >= asked_at + INDIRECT_TIMEOUT => {
                    self.on_unresponsive(&probe.target, now);
                }
                Purpose::OnBehalf { .. } if now >= probe.sent_at + PROBE_INTERVAL => {}
                _ => self.probes.push(probe),
            }
        }
    }

    /// Records that a VM acknowledged neither the direct nor the indirect probes.
    fn on_unresponsive(&mut self, target: &Vm, now: Instant) {
        if target.failure_domain != self.me.failure_domain {
            self.has_changed |= self.relays.on_no_answer(&target.name);
            return;
        }
        let Some(known) = self.known_member(&target.name) else {
            return;
        };
        if known.incarnation != target.incarnation {
            return;
        }
        let state = match known.state {
            State::Live => State::Suspect,
            State::Leaving => State::Dead,
            State::Suspect | State::Dead => return,
        };
        self.set_member_state(&target.name, state, now);
    }

    /// Declares suspects dead after their timeout and forgets members that
    /// died long ago.
    fn expire_suspects(&mut self, now: Instant) {
        let is_expired = |member: &&super::Member| {
            member.vm.state == State::Suspect && now >= member.replaced_at + SUSPICION_TIMEOUT
        };
        let suspects = self.members.iter().filter(is_expired);
        let names: Vec<VmName> = suspects.map(|member| member.vm.name.clone()).collect();
        for name in names {
            self.set_member_state(&name, State::Dead, now);
        }
        self.members
            .retain(|member| member.vm.state != State::Dead || now < member.replaced_at + DEAD_TTL);
    }

    /// Probes the next member. The order of the members is shuffled for each
    /// round.
    fn probe_member(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.probe_order.is_empty() {
            let names = self.members.iter().map(|member| member.vm.name.clone());
            self.probe_order = names.collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        while let Some(name) = self.probe_order.pop() {
            let vm = self
                .known_member(&name)
                .filter(|vm| vm.state != State::Dead);
            if let Some(vm) = vm {
                actions.extend(self.send_probe(vm, Purpose::Direct, now));
                return;
            }
        }
    }

    /// Probes the next relay, once in [`RELAY_PROBE_PERIODS`] periods.
    fn probe_relay(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.period_count.is_multiple_of(RELAY_PROBE_PERIODS) {
            return;
        }
        if let Some(vm) = self.relays.next_to_probe(now) {
            actions.extend(self.send_probe(vm, Purpose::Direct, now));
        }
    }

    /// Contacts dead members and addresses whose VM is unknown, which lets the fleet merge again
    /// after a partition.
    fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let vms = self.vms();
        let is_alone = vms.iter().filter(|vm| vm.state == State::Live).count() <= 1;
        let is_searching = is_alone || self.is_starting(&vms);
        if !is_searching && !self.period_count.is_multiple_of(RECONNECT_PERIODS) {
            return;
        }
        let lost = vms.iter().filter(|vm| vm.state == State::Dead);
        let mut targets: Vec<SocketAddr> = lost.map(|vm| vm.peer_address).collect();
        let is_known = |address: &SocketAddr| vms.iter().any(|vm| vm.peer_address == *address);
        let addresses = self.first_peers.iter().chain(&self.hinted_addresses);
        targets.extend(addresses.filter(|address| !is_known(address)));
        targets.shuffle(&mut self.rng);
        targets.truncate(if is_searching { MAX_RECONNECTS } else { 1 });
        if is_searching {
            // A member may know more VMs than when it was first asked.
            let members = self.sample_members(1);
            targets.extend(members.iter().map(|vm| vm.peer_address));
        }
        for to in targets {
            let message = self.message(Body::Join, None, false);
            actions.push(Action::Send { to, message });
        }
    }

    /// Returns whether this VM started recently and knows no VM of some
    /// failure domain yet.
    fn is_starting(&self, vms: &[Vm]) -> bool {
        let is_known = |domain: &DomainName| vms.iter().any(|vm| vm.failure_domain == *domain);
        self.period_count <= STARTUP_PERIODS && !self.leaf_domains.iter().all(is_known)
    }

    /// Sends the records and notices that a joining VM needs.
    fn send_full_state(&mut self, to: &Vm, actions: &mut Vec<Action>) {
        let is_same_domain = |vm: &&Vm| vm.failure_domain == to.failure_domain;
        let vms = self.vms();
        let useful = if to.failure_domain == self.me.failure_domain {
            vms
        } else {
            let theirs = vms.iter().filter(is_same_domain);
            let samples = self.sample_members(super::SAMPLED_MEMBERS);
            theirs.cloned().chain(samples).collect()
        };
        let records: Vec<Vm> = useful.into_iter().filter(|vm| vm.name != to.name).collect();
        let pages = records.len().div_ceil(MAX_MESSAGE_VMS).max(1);
        let notices = self.notices.clone();
        let pages = pages.max(notices.len().div_ceil(super::MAX_MESSAGE_NOTICES));
        for page in 0..pages {
            let vms = page_of(&records, page, MAX_MESSAGE_VMS);
            let message = Message {
                from: self.me.clone(),
                body: Body::Push,
                digest: self.digest(),
                vms,
                notices: page_of(&notices, page, super::MAX_MESSAGE_NOTICES),
            };
            let to = to.peer_address;
            actions.push(Action::Send { to, message });
        }
        if self.conflicting_record(to).is_some() {
            actions.push(self.send_to(to, Body::Push));
        }
    }
}

fn page_of<T: Clone>(all: &[T], page: usize, size: usize) -> Vec<T> {
    all.iter().skip(page * size).take(size).cloned().collect()
}
