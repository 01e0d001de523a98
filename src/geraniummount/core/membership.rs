//! Detects which VMs are alive, without a coordinator and at a constant cost
//! per VM.
//!
//! In each period a VM probes one member of its own failure domain, and in some periods also a VM
//! of another domain. A member that does not answer is probed through other VMs. If it still does
//! not answer, it becomes suspect, and then dead unless it refutes the suspicion with a higher
//! incarnation. Updates are sent along with probes, with a bounded number per datagram. Urgent
//! updates are pushed at once to a few VMs, which push them on to a few more. Every datagram
//! carries the sender's configuration revision, which lets a VM that missed a push catch up.
//!
//! The members of a VM are the other VMs of its failure domain. Its relays are the known VMs of
//! other domains. An incarnation is a number that a VM raises with each start and each refuted
//! suspicion. A revision is a position in the log of all accepted changes of the configuration. A
//! notice states whether a leaf is leaving (finishes the work in hand and accepts no new work),
//! according to one source: the leaf, its health endpoint or the platform's membership list (of all
//! processes, VMs and leaves). Urgent updates are a new revision of this VM, a changed notice, that
//! a VM is stopping, and the refutation of a suspicion.

mod merge;
mod probe;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::core::gossip::{Body, MAX_MESSAGE_NOTICES, MAX_MESSAGE_VMS, Message, Notice, Source};
use crate::core::relays::Relays;
use crate::core::updates::{Subject, UpdateQueue};
use crate::core::vm::State;
use crate::prelude::*;

/// Length of a period, in which one member is probed.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Wait for a direct acknowledgement before other VMs are asked to probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Wait for an acknowledgement after other VMs were asked to probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Wait for a suspect member to refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a dead member is remembered.
const DEAD_TTL: Duration = Duration::from_secs(600);
/// Periods between two attempts to reach dead members and addresses whose VMs are not known.
const RECONNECT_PERIODS: u64 = 6;
/// Periods after a start in which a VM that knows no VM of some failure domain with leaves searches
/// for one.
const STARTUP_PERIODS: u64 = 20;
/// Maximum number of members to which an urgent update is pushed.
const MEMBER_FANOUT: usize = 4;
/// Maximum number of other failure domains to one VM of which an urgent update is pushed.
const DOMAIN_FANOUT: usize = 4;
/// Maximum number of pushes of urgent updates in one period.
const MAX_PUSHES_PER_PERIOD: u32 = 8;
/// Random members that each datagram includes.
const SAMPLED_MEMBERS: usize = 1;
/// One datagram to the own failure domain in this number, on average, includes a VM of another
/// failure domain.
const DATAGRAMS_PER_RELAY: u32 = 4;
/// Consecutive probes and acknowledgements whose digest of the sender's members differs from that
/// of this VM, after which the records of all members are requested.
const MAX_DIGEST_MISMATCHES: u32 = 4;
/// Maximum number of tracked members of the own failure domain.
const MAX_MEMBERS: usize = 1_000;
/// Maximum number of stored notices about leaves.
const MAX_LEAF_NOTICES: usize = 20_000;

/// What the caller of a method of [`Membership`] has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Datagram to send.
        message: Message,
    },
    /// Fetch the changes from this VM, which has a newer configuration
    /// revision.
    Fetch(Vm),
}

/// State of the membership protocol on one VM.
#[derive(Debug)]
pub struct Membership {
    /// Record that this VM sends about itself.
    me: Vm,
    /// Peer addresses from the settings, each of which is contacted while no known VM has it.
    first_peers: Vec<SocketAddr>,
    /// Addresses from the platform's membership list whose VMs are not known yet.
    hinted_addresses: Vec<SocketAddr>,
    /// Failure domains that have leaves.
    leaf_domains: Vec<DomainName>,
    /// Sorted by name.
    members: Vec<Member>,
    relays: Relays,
    /// Sorted by leaf and source.
    notices: Vec<Notice>,
    /// Updates that are still to be sent along with datagrams.
    updates: UpdateQueue,
    /// Probes that are not finished.
    probes: Vec<probe::Probe>,
    /// Members left to probe in this round, the next one last.
    probe_order: Vec<VmName>,
    /// When the next period starts.
    next_period: Instant,
    /// Number of periods since the start of this VM.
    period_count: u64,
    /// Pushes of urgent updates that are left in this period.
    pushes_left: u32,
    /// Whether an urgent update waits to be pushed.
    is_push_due: bool,
    /// Whether members, relays or notices changed since the last call of
    /// [`Membership::take_changed`].
    has_changed: bool,
    /// Cached digest of the members; `None` after a change.
    digest: Option<u64>,
    /// Consecutive probes and acknowledgements from members with a different digest.
    digest_mismatches: u32,
    rng: SmallRng,
}

/// Another VM of the own failure domain.
#[derive(Clone, Debug)]
struct Member {
    vm: Vm,
    /// When the record was last replaced.
    replaced_at: Instant,
}

impl Membership {
    /// Starts the membership of this VM. `me.incarnation` must be higher than
    /// at any earlier start of this VM.
    pub fn new(me: Vm, first_peers: Vec<SocketAddr>, seed: u64, now: Instant) -> Membership {
        Membership {
            me,
            first_peers,
            hinted_addresses: Vec::new(),
            leaf_domains: Vec::new(),
            members: Vec::new(),
            relays: Relays::default(),
            notices: Vec::new(),
            updates: UpdateQueue::new(),
            probes: Vec::new(),
            probe_order: Vec::new(),
            next_period: now,
            period_count: 0,
            pushes_left: MAX_PUSHES_PER_PERIOD,
            is_push_due: false,
            has_changed: true,
            digest: None,
            digest_mismatches: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the record that this VM sends about itself.
    pub fn me(&self) -> &Vm {
        &self.me
    }

    /// Returns all known VMs sorted by name, including this one.
    pub fn vms(&self) -> Vec<Vm> {
        let members = self.members.iter().map(|member| member.vm.clone());
        let relays = self.relays.iter().map(|relay| relay.vm.clone());
        let mut vms: Vec<Vm> = members.chain(relays).collect();
        vms.push(self.me.clone());
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        vms
    }

    /// Returns the leaves that are leaving according to the leaf itself or to the platform's
    /// membership list, sorted by name.
    pub fn draining(&self) -> Vec<LeafName> {
        self.draining_leaves(|source| source != Source::Health)
    }

    /// Returns the leaves whose health endpoint reports that they are leaving,
    /// sorted by name.
    pub fn health_draining(&self) -> Vec<LeafName> {
        self.draining_leaves(|source| source == Source::Health)
    }

    /// Returns the leaves that are leaving according to the selected sources, sorted by name.
    fn draining_leaves(&self, has_source: impl Fn(Source) -> bool) -> Vec<LeafName> {
        let is_draining = |notice: &&Notice| notice.draining && has_source(notice.source);
        let notices = self.notices.iter().filter(is_draining);
        let mut leaves: Vec<LeafName> = notices.map(|notice| notice.leaf.clone()).collect();
        leaves.dedup();
        leaves
    }

    /// Returns whether members, relays or notices changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Records the configuration revision in force on this VM and pushes a
    /// newer one to other VMs.
    pub fn set_revision(&mut self, revision: Revision) -> Vec<Action> {
        if revision <= self.me.revision {
            return Vec::new();
        }
        self.me.revision = revision;
        self.is_push_due = true;
        self.push_urgent()
    }

    /// Records whether a leaf is leaving according to a source and pushes a change to other VMs.
    pub fn note_leaf_draining(
        &mut self,
        leaf: &str,
        source: Source,
        draining: bool,
    ) -> Vec<Action> {
        let index = self.notice_index(leaf, source);
        let known = index.ok().map(|index| &self.notices[index]);
        if known.is_some_and(|known| known.draining) == draining {
            return Vec::new();
        }
        let version = known.map_or(1, |known| known.version + 1);
        self.merge_notice(Notice {
            leaf: leaf.to_owned(),
            source,
            version,
            draining,
        });
        self.push_urgent()
    }

    /// Removes the notices about leaves for which `exists` returns false.
    pub fn retain_leaves(&mut self, exists: impl Fn(&str) -> bool) {
        self.notices.retain(|notice| exists(&notice.leaf));
    }

    /// Tells other VMs that this VM is stopping.
    pub fn announce_leaving(&mut self) -> Vec<Action> {
        self.me.state = State::Leaving;
        self.digest = None;
        self.has_changed = true;
        self.is_push_due = true;
        self.pushes_left = MAX_PUSHES_PER_PERIOD;
        self.push_urgent()
    }

    /// Replaces the addresses from the platform's membership list, which may
    /// be out of date. Addresses of unknown VMs are contacted to find out
    /// whether a VM is there.
    pub fn set_hints(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let known: Vec<SocketAddr> = self.vms().iter().map(|vm| vm.peer_address).collect();
        let unknown = addresses
            .into_iter()
            .filter(|address| !known.contains(address));
        self.hinted_addresses = unknown.take(MAX_MEMBERS).collect();
    }

    /// Sets the failure domains that have leaves. After a start, this VM
    /// searches until it knows a VM of each.
    pub fn set_leaf_domains(&mut self, domains: Vec<DomainName>) {
        self.leaf_domains = domains;
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, message: Message, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if message.from.name == self.me.name {
            return actions;
        }
        let must_refute = self.note_sender(&message.from, now);
        for vm in message.vms.iter().take(MAX_MESSAGE_VMS) {
            self.merge_vm(vm, now);
        }
        for notice in message.notices.into_iter().take(MAX_MESSAGE_NOTICES) {
            self.merge_notice(notice);
        }
        if message.from.revision > self.me.revision {
            actions.push(Action::Fetch(message.from.clone()));
        }
        self.compare_digest(&message.from, message.body, message.digest, &mut actions);
        self.respond(&message.from, message.body, now, &mut actions);
        if must_refute && matches!(message.body, Body::Ack { .. } | Body::Push) {
            actions.push(self.send_to(&message.from, Body::Push));
        }
        actions.extend(self.push_urgent());
        actions
    }

    /// Pushes urgent updates, if there are any, to a few VMs.
    fn push_urgent(&mut self) -> Vec<Action> {
        if !self.is_push_due || self.pushes_left == 0 {
            return Vec::new();
        }
        self.is_push_due = false;
        self.pushes_left -= 1;
        let mut targets = self.sample_members(MEMBER_FANOUT);
        targets.extend(self.sample_relays());
        let pushes = targets.iter().map(|vm| self.send_to(vm, Body::Push));
        pushes.collect()
    }

    /// Picks one random live VM from each of a few other failure domains.
    fn sample_relays(&mut self) -> Vec<Vm> {
        let reachable = self
            .relays
            .iter()
            .filter(|relay| relay.vm.state == State::Live);
        let mut vms: Vec<Vm> = reachable.map(|relay| relay.vm.clone()).collect();
        let mut chosen: Vec<Vm> = Vec::new();
        while !vms.is_empty() && chosen.len() < DOMAIN_FANOUT {
            let vm = vms.swap_remove(self.rng.random_range(..vms.len()));
            vms.retain(|other| other.failure_domain != vm.failure_domain);
            chosen.push(vm);
        }
        chosen
    }

    /// Picks random members that are not dead.
    fn sample_members(&mut self, max_vms: usize) -> Vec<Vm> {
        let is_alive = |member: &&Member| member.vm.state != State::Dead;
        let vms: Vec<&Vm> = self
            .members
            .iter()
            .filter(is_alive)
            .map(|member| &member.vm)
            .collect();
        vms.sample(&mut self.rng, max_vms)
            .map(|vm| (*vm).clone())
            .collect()
    }

    fn send_to(&mut self, to: &Vm, body: Body) -> Action {
        let is_same_domain = to.failure_domain == self.me.failure_domain;
        Action::Send {
            to: to.peer_address,
            message: self.message(body, Some(to), is_same_domain),
        }
    }

    /// Composes a datagram: updates first, then random samples.
    fn message(&mut self, body: Body, to: Option<&Vm>, is_same_domain: bool) -> Message {
        let mut vms: Vec<Vm> = Vec::new();
        let mut notices: Vec<Notice> = Vec::new();
        // Lets the receiver refute a record that conflicts with its own.
        vms.extend(to.and_then(|vm| self.conflicting_record(vm)));
        let max_updates = if is_same_domain {
            MAX_MESSAGE_VMS - SAMPLED_MEMBERS - 2
        } else {
            0
        };
        for subject in self.updates.take(max_updates.max(1), self.members.len()) {
            match subject {
                Subject::Leaf(leaf, source) => notices.extend(self.notice(&leaf, source)),
                Subject::Vm(name) => vms.extend(self.known_member(&name)),
            }
        }
        vms.extend(self.sample_members(SAMPLED_MEMBERS));
        if is_same_domain && self.rng.random_ratio(1, DATAGRAMS_PER_RELAY) {
            vms.extend(self.sample_relays().into_iter().next());
        }
        if !self.notices.is_empty() {
            let random = self.rng.random_range(..self.notices.len());
            notices.push(self.notices[random].clone());
        }
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        vms.dedup_by(|a, b| a.name == b.name);
        vms.truncate(MAX_MESSAGE_VMS);
        Message {
            from: self.me.clone(),
            body,
            digest: self.digest(),
            vms,
            notices,
        }
    }

    /// Returns the known record of a member.
    fn known_member(&self, name: &str) -> Option<Vm> {
        if name == self.me.name {
            return None;
        }
        let index = self.member_index(name).ok()?;
        Some(self.members[index].vm.clone())
    }

    /// Returns the known record of a member if it conflicts with `received`,
    /// the record that the member sends about itself.
    fn conflicting_record(&self, received: &Vm) -> Option<Vm> {
        let known = self.known_member(&received.name)?;
        let is_outdated = known.incarnation > received.incarnation;
        (is_outdated || known.state > received.state || known.state == State::Suspect)
            .then_some(known)
    }

    fn notice(&self, leaf: &str, source: Source) -> Option<Notice> {
        let index = self.notice_index(leaf, source).ok()?;
        Some(self.notices[index].clone())
    }

    fn notice_index(&self, leaf: &str, source: Source) -> Result<usize, usize> {
        self.notices
            .binary_search_by(|notice| (notice.leaf.as_str(), notice.source).cmp(&(leaf, source)))
    }

    fn member_index(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.vm.name.as_str().cmp(name))
    }
}
