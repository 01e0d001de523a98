//! An owner that has lost its links to the leaves declines their parts, and another VM serves them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use geraniummount::edge::reply_to::ReplyTo;
use geraniummount::prelude::*;
use geraniummount_test_support::fleet::wait_until;
use geraniummount_test_support::leaf as stand_in;
use geraniummount_test_support::proxy::{Flow, Link, Proxy};

use crate::fixtures::{behaviour, catalog_of, live_vm, part};
use crate::node::Node;

/// Timeout of each part and of each wait for a state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// VMs with their failure domains. The leaves are in `east`.
const VMS: [(&str, &str); 3] = [("east-1", "east"), ("east-2", "east"), ("west", "west")];

/// Names of leaves that `east-1` owns; the first test checks that it serves them.
const LEAVES: [&str; 3] = ["leaf-4", "leaf-6", "leaf-7"];

/// Index of the VM that dispatches the parts.
const ENTRY: usize = 2;

/// VMs that reach each leaf over a proxy of their own.
struct Cluster {
    nodes: Vec<Node>,
    /// Proxies of each VM.
    proxies: Vec<Vec<Proxy>>,
    leaves: Vec<stand_in::Leaf>,
}

impl Cluster {
    fn start() -> Cluster {
        let leaves =
            LEAVES.map(|name| stand_in::Leaf::start(name, behaviour(Duration::ZERO), 7).unwrap());
        let nodes: Vec<Node> = VMS
            .iter()
            .zip(1..)
            .map(|((name, domain), last)| {
                Node::start_in(name, domain, IpAddr::V4(Ipv4Addr::new(127, 0, 8, last)))
            })
            .collect();
        let vms: Vec<Vm> = VMS
            .iter()
            .zip(&nodes)
            .map(|((name, domain), node)| Vm {
                failure_domain: (*domain).to_owned(),
                ..live_vm(name, node.address())
            })
            .collect();
        let proxies = nodes.iter().map(|node| {
            let proxies: Vec<Proxy> = leaves
                .iter()
                .map(|leaf| Proxy::start(Ipv4Addr::LOCALHOST, leaf.address(), 7).unwrap())
                .collect();
            let addresses: Vec<(&str, SocketAddr)> = LEAVES
                .iter()
                .zip(&proxies)
                .map(|(name, proxy)| (*name, proxy.address()))
                .collect();
            node.publish(&catalog_of(&addresses), &vms);
            proxies
        });
        Cluster {
            proxies: proxies.collect(),
            nodes,
            leaves: leaves.into_iter().collect(),
        }
    }

    /// Changes the links of a VM to all leaves.
    fn change_links(&self, vm: usize, change: fn(&mut Link)) {
        for proxy in &self.proxies[vm] {
            proxy.change_all(change);
        }
    }

    /// Dispatches a part for each leaf from a VM, and returns the outcomes.
    fn dispatch(&self, vm: usize, is_idempotent: bool) -> Vec<Outcome> {
        let outcomes = LEAVES.map(|leaf| {
            let (sender, receiver) = mpsc::channel();
            let part = Part {
                leaf: leaf.to_owned(),
                ..part(is_idempotent, Duration::from_secs(2))
            };
            let dispatcher = &self.nodes[vm].dispatcher;
            dispatcher.dispatch(part, ReplyTo::Caller(sender));
            receiver
                .recv_timeout(TIMEOUT)
                .expect("part has an outcome before the timeout")
        });
        outcomes.into_iter().collect()
    }

    /// Closes the connections of a VM to all leaves.
    fn reset_links(&self, vm: usize) {
        self.proxies[vm].iter().for_each(Proxy::close_connections);
    }

    /// Returns whether all leaves are served, each by one of the given VMs.
    fn is_served_by(&self, from: usize, vms: &[usize]) -> bool {
        let names: Vec<&str> = vms.iter().map(|vm| VMS[*vm].0).collect();
        self.dispatch(from, true).iter().all(|outcome| {
            let owner = outcome.report.as_ref().map(|report| report.owner.as_str());
            outcome.result.is_ok() && owner.is_some_and(|owner| names.contains(&owner))
        })
    }

    /// Returns how often the leaves have run non-idempotent parts.
    fn executions(&self) -> usize {
        let executions = self.leaves.iter().flat_map(|leaf| leaf.log());
        executions.filter(|execution| !execution.idempotent).count()
    }
}

fn hang(link: &mut Link) {
    link.forward = Flow::Cut;
    link.back = Flow::Cut;
}

fn refuse(link: &mut Link) {
    link.refuse = true;
}

fn restore(link: &mut Link) {
    *link = Link::default();
}

struct Case {
    name: &'static str,
    cut: fn(&mut Link),
    /// Whether open connections are reset.
    is_reset: bool,
    /// VMs that lose their links.
    vms: &'static [usize],
    /// VMs that then serve.
    servers: &'static [usize],
}

const CASES: &[Case] = &[
    Case {
        name: "links of one owner hang",
        cut: hang,
        is_reset: false,
        vms: &[0],
        servers: &[1],
    },
    Case {
        name: "links of one owner are reset and refused",
        cut: refuse,
        is_reset: true,
        vms: &[0],
        servers: &[1],
    },
    Case {
        name: "links of all owners of the domain hang",
        cut: hang,
        is_reset: false,
        vms: &[0, 1],
        servers: &[ENTRY],
    },
    Case {
        name: "links of all owners of the domain are reset and refused",
        cut: refuse,
        is_reset: true,
        vms: &[0, 1],
        servers: &[ENTRY],
    },
];

#[test]
fn owner_links_that_are_lost_leave_no_leaf_unserved() {
    for case in CASES {
        let cluster = Cluster::start();
        let name = case.name;
        let serves = wait_until(TIMEOUT, || cluster.is_served_by(ENTRY, &[0]));
        assert!(serves, "{name}: the owner does not serve");
        for vm in case.vms {
            cluster.change_links(*vm, case.cut);
            if case.is_reset {
                cluster.reset_links(*vm);
            }
        }
        let has_moved = wait_until(TIMEOUT, || cluster.is_served_by(ENTRY, case.servers));
        assert!(has_moved, "{name}: {:?}", cluster.dispatch(ENTRY, true));
        let before = cluster.executions();
        for outcome in cluster.dispatch(ENTRY, false) {
            assert!(outcome.result.is_ok(), "{name}: {outcome:?}");
        }
        assert_eq!(cluster.executions(), before + LEAVES.len(), "{name}");
        // A VM without links has callers of its own.
        let is_served = wait_until(TIMEOUT, || cluster.is_served_by(0, case.servers));
        assert!(is_served, "{name}: {:?}", cluster.dispatch(0, true));
        case.vms
            .iter()
            .for_each(|vm| cluster.change_links(*vm, restore));
        let has_returned = wait_until(TIMEOUT, || cluster.is_served_by(ENTRY, &[0]));
        assert!(has_returned, "{name}: the owner does not serve again");
    }
}

#[test]
fn owner_links_of_all_vms_that_are_lost_end_parts_at_once_as_not_run() {
    let cluster = Cluster::start();
    wait_until(TIMEOUT, || cluster.is_served_by(ENTRY, &[0, 1]));
    for vm in 0..VMS.len() {
        cluster.change_links(vm, refuse);
        cluster.reset_links(vm);
    }
    let is_declined = |outcome: &Outcome| {
        let failure = outcome.result.as_ref().err();
        failure.is_some_and(|failure| failure.verdict == Verdict::NotRun)
    };
    let are_declined = wait_until(TIMEOUT, || {
        let began = Instant::now();
        let outcomes = cluster.dispatch(ENTRY, false);
        outcomes.iter().all(is_declined) && began.elapsed() < Duration::from_millis(500)
    });
    assert!(are_declined, "{:?}", cluster.dispatch(ENTRY, false));
}
