//! Simulates membership over a network that loses, duplicates and reorders datagrams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use geraniummount::core::gossip::{Message, Source};
use geraniummount::core::membership::{Action, Membership};
use geraniummount::core::vm::State;
use geraniummount::prelude::*;
use proptest::prelude::*;

use crate::seeded::config;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TICK: Duration = Duration::from_millis(10);
const DOMAINS: [&str; 3] = ["east", "north", "west"];

/// A datagram that is delivered at a given time.
struct InFlightDatagram {
    at: Instant,
    to: SocketAddr,
    message: Message,
}

/// VMs in three failure domains, and the network between them.
struct Network {
    now: Instant,
    vms: Vec<Option<Membership>>,
    in_flight: Vec<InFlightDatagram>,
    /// Probability that a datagram is lost, and that one is duplicated.
    loss: f64,
    rng: SmallRng,
    /// VMs that neither run nor receive datagrams.
    frozen: Vec<usize>,
    /// Failure domain that exchanges no datagrams with the others.
    isolated_domain: Option<&'static str>,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, 1], 7_000 + index as u16).into()
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 7_000
}

fn domain_of(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()]
}

impl Network {
    fn new(count: usize, loss: f64, seed: u64) -> Network {
        let mut network = Network {
            now: Instant::now(),
            vms: Vec::new(),
            in_flight: Vec::new(),
            loss,
            rng: SmallRng::seed_from_u64(seed),
            frozen: Vec::new(),
            isolated_domain: None,
        };
        for _ in 0..count {
            network.add_vm();
        }
        network
    }

    fn add_vm(&mut self) -> usize {
        let index = self.vms.len();
        self.vms.push(None);
        self.start_process(index, 1);
        index
    }

    /// Starts the process of a VM, without the state of an earlier process.
    fn start_process(&mut self, index: usize, incarnation: u64) {
        let me = Vm {
            name: format!("vm-{index}"),
            failure_domain: domain_of(index).to_owned(),
            peer_address: address(index),
            incarnation,
            state: State::Live,
            revision: 0,
        };
        let first_peers = vec![address(0), address(1)];
        let mut membership = Membership::new(me, first_peers, index as u64, self.now);
        membership.set_leaf_domains(DOMAINS.map(str::to_owned).to_vec());
        self.vms[index] = Some(membership);
    }

    /// Sets the revision of one VM, as after an accepted change.
    fn accept_change(&mut self, index: usize, revision: u64) {
        let actions = self.vm(index).set_revision(revision);
        self.perform(index, actions);
    }

    /// Returns whether membership has converged and all running VMs are at `revision`.
    fn has_converged_on(&self, revision: u64) -> bool {
        self.has_converged() && self.running().all(|vm| vm.me().revision == revision)
    }

    fn vm(&mut self, index: usize) -> &mut Membership {
        self.vms[index].as_mut().expect("the VM is running")
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for index in 0..self.vms.len() {
                if self.frozen.contains(&index) {
                    continue;
                }
                let now = self.now;
                let Some(vm) = &mut self.vms[index] else {
                    continue;
                };
                if vm.next_wake() <= now {
                    let actions = vm.tick(now);
                    self.perform(index, actions);
                }
            }
        }
    }

    /// Runs until `condition` holds. Panics if it does not hold within `limit`.
    fn run_until(
        &mut self,
        limit: Duration,
        description: &str,
        condition: impl Fn(&Network) -> bool,
    ) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(self.now < end, "not within {limit:?}: {description}");
            self.run(TICK);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let frozen = self.frozen.clone();
        let due = |datagram: &mut InFlightDatagram| {
            datagram.at <= now && !frozen.contains(&index_of(datagram.to))
        };
        let due: Vec<InFlightDatagram> = self.in_flight.extract_if(.., due).collect();
        for datagram in due {
            let index = index_of(datagram.to);
            if let Some(Some(vm)) = self.vms.get_mut(index) {
                let before = vm.me().revision;
                let actions = vm.receive(datagram.message, now);
                assert!(vm.me().revision >= before);
                self.perform(index, actions);
            }
        }
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(from, to, message),
                Action::Fetch(vm) => {
                    let actions = self.vm(from).set_revision(vm.revision);
                    self.perform(from, actions);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let (here, there) = (domain_of(from), domain_of(index_of(to)));
        let is_isolated = here != there
            && self
                .isolated_domain
                .is_some_and(|domain| domain == here || domain == there);
        if is_isolated || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.loss) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(1..30));
            self.in_flight.push(InFlightDatagram {
                at: self.now + delay,
                to,
                message: message.clone(),
            });
        }
    }

    fn running(&self) -> impl Iterator<Item = &Membership> {
        self.vms.iter().flatten()
    }

    /// Returns whether every running VM knows at least one VM of each failure domain.
    fn knows_all_domains(&self) -> bool {
        self.running().all(|vm| {
            let known = vm.vms();
            let is_known = |domain: &&str| known.iter().any(|vm| vm.failure_domain == **domain);
            DOMAINS.iter().all(is_known)
        })
    }

    /// Returns whether every running VM considers exactly the running VMs of its own failure domain
    /// live, and knows a live VM of each other domain.
    fn has_converged(&self) -> bool {
        self.running().all(|vm| {
            let known = vm.vms();
            let live = |vm: &&Vm| vm.state == State::Live;
            let expected = self
                .running()
                .filter(|other| other.me().failure_domain == vm.me().failure_domain);
            let own = known
                .iter()
                .filter(|other| other.failure_domain == vm.me().failure_domain);
            let own: Vec<&VmName> = own.filter(live).map(|other| &other.name).collect();
            let mut expected: Vec<&VmName> = expected.map(|other| &other.me().name).collect();
            expected.sort();
            let has_live_vm = |domain: &&str| {
                known
                    .iter()
                    .any(|vm| vm.failure_domain == **domain && vm.state == State::Live)
            };
            own == expected && DOMAINS.iter().all(has_live_vm)
        })
    }

    /// Returns the state of the VM named `of` as known to the VM `index`.
    fn state(&self, index: usize, of: &str) -> Option<State> {
        let vm = self.vms[index].as_ref()?;
        vm.vms()
            .into_iter()
            .find(|vm| vm.name == of)
            .map(|vm| vm.state)
    }
}

/// A change to a network of nine VMs, and the condition that holds within `limit` after it.
struct Case {
    name: &'static str,
    act: fn(&mut Network),
    limit: Duration,
    condition: fn(&Network) -> bool,
}

fn failed_vms() -> Vec<Case> {
    vec![
        Case {
            name: "a killed VM is declared dead",
            act: |network| network.vms[3] = None,
            limit: Duration::from_secs(10),
            condition: |network| {
                network.has_converged() && network.state(0, "vm-3") == Some(State::Dead)
            },
        },
        Case {
            name: "a frozen VM is declared dead, and live again after it resumes",
            act: |network| {
                network.frozen = vec![3];
                let is_dead = |network: &Network| network.state(0, "vm-3") == Some(State::Dead);
                network.run_until(Duration::from_secs(10), "declared dead", is_dead);
                network.frozen.clear();
            },
            limit: Duration::from_secs(10),
            condition: Network::has_converged,
        },
        Case {
            name: "a leaving VM is known as leaving within a second",
            act: |network| {
                let actions = network.vm(3).announce_leaving();
                network.perform(3, actions);
            },
            limit: Duration::from_secs(1),
            condition: |network| {
                [0, 6]
                    .iter()
                    .all(|vm| network.state(*vm, "vm-3") == Some(State::Leaving))
            },
        },
    ]
}

fn network_partitions() -> Vec<Case> {
    vec![
        Case {
            name: "no VM is declared dead while a domain is isolated",
            act: |network| {
                network.isolated_domain = Some("west");
                network.run(Duration::from_secs(60));
                for index in 0..9 {
                    let vms = network.vm(index).vms();
                    assert!(vms.iter().all(|vm| vm.state != State::Dead), "{vms:?}");
                }
                network.isolated_domain = None;
            },
            limit: Duration::from_secs(20),
            condition: Network::has_converged,
        },
        Case {
            name: "all VMs of a domain are replaced while it is isolated",
            act: |network| {
                network.isolated_domain = Some("west");
                network.run(Duration::from_secs(5));
                for old in [2, 5, 8] {
                    network.vms[old] = None;
                    while domain_of(network.vms.len()) != "west" {
                        let extra = network.add_vm();
                        network.vms[extra] = None;
                    }
                    network.add_vm();
                    network.run(Duration::from_secs(2));
                }
                network.isolated_domain = None;
            },
            limit: Duration::from_secs(60),
            condition: Network::has_converged,
        },
        Case {
            name: "VMs restart and both sides accept changes during an hour of isolation",
            act: |network| {
                network.isolated_domain = Some("west");
                for round in 1..=12 {
                    network.start_process(round % 9, 1 + round as u64);
                    network.accept_change(2, 2 * round as u64 - 1);
                    network.accept_change(3, 2 * round as u64);
                    network.run(Duration::from_secs(300));
                }
                network.isolated_domain = None;
            },
            limit: Duration::from_secs(60),
            condition: |network| network.has_converged_on(24),
        },
    ]
}

fn update_propagation() -> Vec<Case> {
    vec![
        Case {
            name: "a draining leaf is known to all VMs, and so is its return",
            act: |network| {
                let actions = network.vm(0).note_leaf_draining("leaf", Source::Leaf, true);
                network.perform(0, actions);
                let known =
                    |network: &Network| network.running().all(|vm| !vm.draining().is_empty());
                network.run_until(Duration::from_secs(3), "draining leaf known", known);
                let actions = network
                    .vm(5)
                    .note_leaf_draining("leaf", Source::Leaf, false);
                network.perform(5, actions);
            },
            limit: Duration::from_secs(3),
            condition: |network| network.running().all(|vm| vm.draining().is_empty()),
        },
        Case {
            name: "a new revision is known to all VMs",
            act: |network| {
                network.accept_change(4, 7);
                network.accept_change(4, 3);
                assert_eq!(network.vm(4).me().revision, 7);
            },
            limit: Duration::from_secs(2),
            condition: |network| network.has_converged_on(7),
        },
    ]
}

#[test]
fn membership_follows_each_kind_of_change() {
    for case in [failed_vms(), network_partitions(), update_propagation()]
        .into_iter()
        .flatten()
    {
        let mut network = Network::new(9, 0.05, 11);
        network.run_until(Duration::from_secs(10), case.name, Network::has_converged);
        (case.act)(&mut network);
        network.run_until(case.limit, case.name, case.condition);
    }
}

#[test]
fn membership_knows_all_domains_soon_after_a_start() {
    for seed in 0..50 {
        let mut network = Network::new(0, 0.05, seed);
        for _ in 0..9 {
            network.add_vm();
            network.run(Duration::from_millis(60));
        }
        network.run_until(
            Duration::from_millis(1_200),
            "all failure domains known",
            Network::knows_all_domains,
        );
    }
}

proptest! {
    #![proptest_config(config(24))]

    #[test]
    fn membership_converges_once_the_faults_end(
        seed in any::<u64>(),
        loss in 0.0..0.3,
        faults in prop::collection::vec((0..6u8, 2..9usize), 1..8),
    ) {
        let mut network = Network::new(9, loss, seed);
        network.run(Duration::from_secs(3));
        let mut revision = 0;
        for (kind, vm) in faults {
            match kind {
                0 => network.vms[vm] = None,
                1 => network.frozen = vec![vm],
                2 => network.frozen.clear(),
                3 => network.isolated_domain = Some(domain_of(vm)),
                4 => network.isolated_domain = None,
                _ => {
                    revision += 1;
                    network.accept_change(0, revision);
                }
            }
            network.run(Duration::from_secs(4));
        }
        network.frozen.clear();
        network.isolated_domain = None;
        network.loss = 0.01;
        // Adds a VM to each failure domain, because a domain may have lost all its VMs.
        for _ in 0..3 {
            network.add_vm();
        }
        network.run_until(Duration::from_secs(90), "convergence", Network::has_converged);
        let limit = Duration::from_secs(5);
        network.run_until(limit, "newest revision", |network| network.has_converged_on(revision));
    }
}
