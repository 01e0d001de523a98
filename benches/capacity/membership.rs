//! Measures the cost of membership for one VM by the number of members of its failure domain.
//!
//! Drives `core::membership` and the datagram codec in one thread over an in-memory queue without
//! loss. The fleet has ten failure domains, one of which is measured. Prints a table, whose slopes
//! are recorded in docs/CAPACITY.md. Fails if a VM's traffic or processor time exceeds its limit
//! for control.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use geraniummount::core::membership::{Action, Membership};
use geraniummount::core::vm::State;
use geraniummount::edge::gossip;
use geraniummount::prelude::*;

/// Sizes of the measured failure domain, one for each row.
const MEMBER_COUNTS: [usize; 4] = [10, 30, 100, 300];
/// Number of VMs in each of the nine other failure domains.
const OTHER_DOMAIN_VMS: [usize; 9] = [3; 9];
const WARM_UP: Duration = Duration::from_secs(60);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(240);
/// Interval at which one VM of the measured failure domain is replaced. At the target size a
/// replacement happens every 230 seconds.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(60);
/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Step of the simulated time.
const TIME_STEP: Duration = Duration::from_millis(5);
/// Limits for the control traffic and processor time of one VM, from the target.
const MAX_BYTES_PER_SECOND: f64 = 4_096.0;
const MAX_CORE_SHARE: f64 = 0.011;

/// A simulated VM.
struct Node {
    membership: Membership,
    is_measured: bool,
}

/// Traffic and processor time of the measured VMs.
#[derive(Default)]
struct Counters {
    datagrams: u64,
    sent_bytes: u64,
    received_bytes: u64,
    cpu_time: Duration,
}

/// VMs with their datagrams in flight, in simulated time.
struct Fleet {
    now: Instant,
    nodes: Vec<Option<Node>>,
    queue: VecDeque<(usize, Vec<u8>)>,
    counters: Counters,
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

fn node_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(_) => unreachable!("only IPv4 is used"),
    }
}

impl Fleet {
    fn start(members: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Instant::now(),
            nodes: Vec::new(),
            queue: VecDeque::new(),
            counters: Counters::default(),
        };
        for _ in 0..members {
            fleet.add("domain-0".to_owned(), true);
        }
        for (index, vms) in OTHER_DOMAIN_VMS.into_iter().enumerate() {
            for _ in 0..vms {
                fleet.add(format!("domain-{}", index + 1), false);
            }
        }
        fleet
    }

    fn add(&mut self, failure_domain: DomainName, is_measured: bool) {
        let index = self.nodes.len();
        let me = Vm {
            name: format!("{failure_domain}-{index}"),
            failure_domain,
            peer_address: address(index),
            incarnation: 1_765_000_000_000,
            state: State::Live,
            revision: 1,
        };
        let first_peers = vec![address(0), address(1), address(2)];
        let membership = Membership::new(me, first_peers, index as u64, self.now);
        self.nodes.push(Some(Node {
            membership,
            is_measured,
        }));
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TIME_STEP;
            for index in 0..self.nodes.len() {
                let now = self.now;
                self.step_node(index, |membership| {
                    let is_due = membership.next_wake() <= now;
                    if is_due {
                        membership.tick(now)
                    } else {
                        Vec::new()
                    }
                });
            }
            while let Some((to, bytes)) = self.queue.pop_front() {
                self.deliver(to, &bytes);
            }
        }
    }

    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        let now = self.now;
        if self.nodes[to].as_ref().is_some_and(|node| node.is_measured) {
            self.counters.received_bytes += (bytes.len() + HEADER_BYTES) as u64;
        }
        self.step_node(to, |membership| match gossip::decode(bytes) {
            Some(message) => membership.receive(message, now),
            None => Vec::new(),
        });
    }

    /// Runs a step of one VM, counts its processor time and datagrams, and queues the datagrams.
    fn step_node(&mut self, index: usize, step: impl FnOnce(&mut Membership) -> Vec<Action>) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let began = Instant::now();
        let mut datagrams: Vec<(usize, Vec<u8>)> = Vec::new();
        for action in step(&mut node.membership) {
            if let Action::Send { to, message } = action {
                datagrams.extend(gossip::encode(&message).map(|bytes| (node_index(to), bytes)));
            }
        }
        if node.is_measured {
            self.counters.cpu_time += began.elapsed();
            self.counters.datagrams += datagrams.len() as u64;
            let bytes = datagrams
                .iter()
                .map(|(_, bytes)| bytes.len() + HEADER_BYTES);
            self.counters.sent_bytes += bytes.sum::<usize>() as u64;
        }
        self.queue.extend(datagrams);
    }

    /// Replaces the oldest VM of the measured failure domain, except the three first peers.
    fn replace_oldest(&mut self) {
        let oldest = self
            .nodes
            .iter()
            .skip(3)
            .position(|node| node.as_ref().is_some_and(|node| node.is_measured));
        if let Some(oldest) = oldest {
            self.nodes[oldest + 3] = None;
            self.add("domain-0".to_owned(), true);
        }
    }

    /// Returns whether every measured VM lists as many live VMs of its failure domain as there are.
    fn has_converged(&self) -> bool {
        let measured = || self.nodes.iter().flatten().filter(|node| node.is_measured);
        let expected = measured().count();
        measured().all(|node| {
            let vms = node.membership.vms();
            let own = vms.iter().filter(|vm| vm.failure_domain == "domain-0");
            own.filter(|vm| vm.state == State::Live).count() == expected
        })
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * 4_096
}

/// Figures of one VM at one size of the failure domain.
struct Row {
    members: usize,
    converged_after: Duration,
    datagrams: f64,
    sent: f64,
    received: f64,
    core_share: f64,
    memory_kib: u64,
}

fn measure(members: usize) -> Row {
    let before = resident_bytes();
    let mut fleet = Fleet::start(members);
    let began = fleet.now;
    while !fleet.has_converged() {
        fleet.run_for(Duration::from_millis(100));
        assert!(
            fleet.now < began + WARM_UP,
            "{members} members did not converge within {WARM_UP:?}"
        );
    }
    let converged_after = fleet.now - began;
    fleet.run_for(WARM_UP);
    fleet.counters = Counters::default();
    let began = fleet.now;
    while fleet.now < began + MEASUREMENT_DURATION {
        fleet.replace_oldest();
        fleet.run_for(REPLACEMENT_INTERVAL);
    }
    let seconds = (fleet.now - began).as_secs_f64() * members as f64;
    let vms = (members + OTHER_DOMAIN_VMS.iter().sum::<usize>()) as u64;
    Row {
        members,
        converged_after,
        datagrams: fleet.counters.datagrams as f64 / seconds,
        sent: fleet.counters.sent_bytes as f64 / seconds,
        received: fleet.counters.received_bytes as f64 / seconds,
        core_share: fleet.counters.cpu_time.as_secs_f64() / seconds,
        memory_kib: resident_bytes().saturating_sub(before) / vms / 1024,
    }
}

/// Prints the table; returns whether every row is within the limits.
pub fn run() -> bool {
    println!(
        "membership, one VM of a failure domain; one VM replaced every {REPLACEMENT_INTERVAL:?}"
    );
    println!("members  all known  datagrams/s  sent B/s  received B/s  % of a core  KiB");
    let mut failed = false;
    for members in MEMBER_COUNTS {
        let row = measure(members);
        println!(
            "{:>7}  {:>7.1} s  {:>11.1}  {:>8.0}  {:>12.0}  {:>11.4}  {:>3}",
            row.members,
            row.converged_after.as_secs_f64(),
            row.datagrams,
            row.sent,
            row.received,
            row.core_share * 100.0,
            row.memory_kib,
        );
        failed |= row.sent + row.received > MAX_BYTES_PER_SECOND || row.core_share > MAX_CORE_SHARE;
    }
    !failed
}
