//! Probing: who is asked for a sign of life, and what silence means.

use std::net::SocketAddr;
use std::time::Instant;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::{
    Action, INDIRECT_TIMEOUT, MAX_PUSHES, Membership, PERIOD, PROBE_TIMEOUT, RECONNECT_PERIODS,
    REMEMBER_DEAD, START_PERIODS, SUSPICION,
};
use crate::core::gossip::{Body, MAX_VMS, Message};
use crate::core::vm::State;
use crate::prelude::*;

/// VMs that are asked to probe one that does not answer.
const HELPERS: usize = 2;
/// Probes that are followed at once, own ones and those for others.
const MAX_PROBES: usize = 64;
/// Periods between two probes of VMs of other failure domains.
const RELAY_PERIODS: u64 = 2;
/// First peers and lost VMs that are tried at once.
const MAX_RECONNECTS: usize = 8;

/// A sign of life that is waited for.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    id: u64,
    target: Vm,
    sent: Instant,
    purpose: Purpose,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Purpose {
    /// For this VM itself; only a direct answer is waited for yet.
    Direct,
    /// For this VM itself; others have been asked to probe as well.
    Indirect { asked: Instant },
    /// For another VM, which is told of the answer.
    OnBehalf { asker: Vm, probe: u64 },
}

impl Membership {
    /// Returns when [`Membership::tick`] has something to do next.
    pub fn next_wake(&self) -> Instant {
        let direct = self
            .probes
            .iter()
            .filter(|probe| probe.purpose == Purpose::Direct);
        let timeouts = direct.map(|probe| probe.sent + PROBE_TIMEOUT);
        timeouts
            .chain([self.next_period])
            .min()
            .unwrap_or(self.next_period)
    }

    /// Acts on the time that has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.ask_others(now, &mut actions);
        if now >= self.next_period {
            self.next_period = now + PERIOD;
            self.periods += 1;
            self.pushes_left = MAX_PUSHES;
            self.conclude(now);
            self.give_up(now);
            self.probe_member(now, &mut actions);
            self.probe_relay(now, &mut actions);
            self.reconnect(&mut actions);
        }
        actions.extend(self.flush());
        actions
    }

    /// Reacts to what the sender of a datagram wants.
    pub(super) fn answer(
        &mut self,
        from: &Vm,
        body: Body,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match body {
            Body::Ping { probe } => actions.push(self.send_to(from, Body::Ack { probe })),
            Body::Ack { probe } => self.answered(probe, actions),
            Body::PingRequest { probe, target } => {
                actions.extend(self.probe_for(from, probe, target, now));
            }
            Body::Join => self.introduce(from, actions),
            Body::Push => {}
        }
    }

    fn answered(&mut self, id: u64, actions: &mut Vec<Action>) {
        let Some(place) = self.probes.iter().position(|probe| probe.id == id) else {
            return;
        };
        let probe = self.probes.swap_remove(place);
        if let Purpose::OnBehalf { asker, probe } = probe.purpose {
            actions.push(self.send_to(&asker, Body::Ack { probe }));
        }
    }

    fn probe_for(
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
        if self.probes.len() >= MAX_PROBES {
            return None;
        }
        let id = self.rng.random();
        let action = self.send_to(&target, Body::Ping { probe: id });
        self.probes.push(Probe {
            id,
            target,
            sent: now,
            purpose,
        });
        Some(action)
    }

    /// Probes once more, also through others, where no answer came in time.
    fn ask_others(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for probe in &mut self.probes {
            if probe.purpose == Purpose::Direct && now >= probe.sent + PROBE_TIMEOUT {
                probe.purpose = Purpose::Indirect { asked: now };
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

    fn helpers(&mut self, target: &Vm) -> Vec<Vm> {
        let fits = |vm: &Vm| vm.state == State::Live && vm.name != target.name;
        let members = self.members.iter().map(|member| &member.vm);
        let mut helpers: Vec<Vm> = members.filter(|vm| fits(vm)).cloned().collect();
        if target.failure_domain != self.me.failure_domain {
            // The link from here is what matters to this VM.
            return Vec::new();
        }
        if helpers.len() < HELPERS {
            let relays = self.relays.iter().map(|relay| &relay.vm);
            helpers.extend(relays.filter(|vm| fits(vm)).cloned());
        }
        helpers.shuffle(&mut self.rng);
        helpers.truncate(HELPERS);
        helpers
    }

    /// Judges the VMs whose probes of the last period were not answered.
    fn conclude(&mut self, now: Instant) {
        let probes = std::mem::take(&mut self.probes);
        for probe in probes {
            match probe.purpose {
                // Counts from the second try, as this VM may have been held up.
                Purpose::Indirect { asked } if now >= asked + INDIRECT_TIMEOUT => {
                    self.silent(&probe.target, now);
                }
                Purpose::OnBehalf { .. } if now >= probe.sent + PERIOD => {}
                _ => self.probes.push(probe),
            }
        }
    }

    fn silent(&mut self, target: &Vm, now: Instant) {
        if target.failure_domain != self.me.failure_domain {
            self.changed |= self.relays.miss(&target.name);
            return;
        }
        let Some(known) = self.known_vm(&target.name) else {
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
        self.judge(&target.name, state, now);
    }

    /// Gives up suspects and forgets those given up long ago.
    fn give_up(&mut self, now: Instant) {
        let expired = |member: &&super::Member| {
            member.vm.state == State::Suspect && now >= member.since + SUSPICION
        };
        let given_up = self.members.iter().filter(expired);
        let names: Vec<VmName> = given_up.map(|member| member.vm.name.clone()).collect();
        for name in names {
            self.judge(&name, State::Dead, now);
        }
        self.members
            .retain(|member| member.vm.state != State::Dead || now < member.since + REMEMBER_DEAD);
    }

    /// Probes the members in turn, in an order that is drawn anew each round.
    fn probe_member(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.order.is_empty() {
            let names = self.members.iter().map(|member| member.vm.name.clone());
            self.order = names.collect();
            self.order.shuffle(&mut self.rng);
        }
        while let Some(name) = self.order.pop() {
            let vm = self.known_vm(&name).filter(|vm| vm.state != State::Dead);
            if let Some(vm) = vm {
                actions.extend(self.send_probe(vm, Purpose::Direct, now));
                return;
            }
        }
    }

    fn probe_relay(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.periods.is_multiple_of(RELAY_PERIODS) {
            return;
        }
        if let Some(vm) = self.relays.next_to_probe(now) {
            actions.extend(self.send_probe(vm, Purpose::Direct, now));
        }
    }

    /// Tries first peers and lost VMs, so that partitions heal.
    fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let vms = self.vms();
        let alone = vms.iter().filter(|vm| vm.state == State::Live).count() <= 1;
        let searches = alone || self.is_starting(&vms);
        if !searches && !self.periods.is_multiple_of(RECONNECT_PERIODS) {
            return;
        }
        let lost = vms.iter().filter(|vm| vm.state == State::Dead);
        let mut targets: Vec<SocketAddr> = lost.map(|vm| vm.peer_address).collect();
        let seen = |address: &SocketAddr| vms.iter().any(|vm| vm.peer_address == *address);
        let unseen = self.first_peers.iter().chain(&self.hints);
        targets.extend(unseen.filter(|address| !seen(address)));
        targets.shuffle(&mut self.rng);
        targets.truncate(if searches { MAX_RECONNECTS } else { 1 });
        if searches {
            // A member may know more by now than when it was asked first.
            let members = self.sample_members(1);
            targets.extend(members.iter().map(|vm| vm.peer_address));
        }
        for to in targets {
            let message = self.message(Body::Join, None, false);
            actions.push(Action::Send { to, message });
        }
    }

    /// Whether this VM started a moment ago and knows no VM of some failure
    /// domain yet.
    fn is_starting(&self, vms: &[Vm]) -> bool {
        let is_known = |domain: &DomainName| vms.iter().any(|vm| vm.failure_domain == *domain);
        self.periods <= START_PERIODS && !self.domains.iter().all(is_known)
    }

    /// Tells a VM that joins all that it needs.
    fn introduce(&mut self, to: &Vm, actions: &mut Vec<Action>) {
        let same_domain = |vm: &&Vm| vm.failure_domain == to.failure_domain;
        let vms = self.vms();
        let useful = if to.failure_domain == self.me.failure_domain {
            vms
        } else {
            let theirs = vms.iter().filter(same_domain);
            let samples = self.sample_members(super::SAMPLE);
            theirs.cloned().chain(samples).collect()
        };
        let told: Vec<Vm> = useful.into_iter().filter(|vm| vm.name != to.name).collect();
        let pages = told.len().div_ceil(MAX_VMS).max(1);
        let notices = self.notices.clone();
        let pages = pages.max(notices.len().div_ceil(super::MAX_NOTICES));
        for page in 0..pages {
            let vms = page_of(&told, page, MAX_VMS);
            let message = Message {
                from: self.me.clone(),
                body: Body::Push,
                digest: self.digest(),
                vms,
                notices: page_of(&notices, page, super::MAX_NOTICES),
            };
            let to = to.peer_address;
            actions.push(Action::Send { to, message });
        }
        if self.held_against(to).is_some() {
            actions.push(self.send_to(to, Body::Push));
        }
    }
}

fn page_of<T: Clone>(all: &[T], page: usize, size: usize) -> Vec<T> {
    all.iter().skip(page * size).take(size).cloned().collect()
}
