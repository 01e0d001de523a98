//! A VM that has lost its links to all leaves is served by the VMs that reach them.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Leaf, Store};
use geraniummount_test_support::proxy::{Flow, Link, Proxy};

use super::fixture::{Fixture, gather_route, service_route};

/// Shards of the queries at `/q/`; requests at `/a/` go to the first of them.
const SHARDS: [&str; 4] = ["one", "two", "three", "four"];

/// Number of leaves of each shard.
const LEAVES_PER_SHARD: usize = 2;

const RECORD: &[u8] = b"record-of-16-byt";

/// Time after which a VM without links has to serve as well as the others.
const CONTACT: Duration = Duration::from_secs(2);

/// Interval between two requests, and number of requests that are counted.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
const COUNTED_REQUESTS: usize = 40;

/// Idle time after which a gateway has closed its connections to leaves.
const IDLE_TIME: Duration = Duration::from_millis(800);

/// VMs that share a store, and leaves with a proxy in front of each.
struct Deployment {
    vms: Vec<Fixture>,
    _leaves: Vec<Leaf>,
    proxies: Vec<Proxy>,
}

impl Deployment {
    /// Starts VMs in the given failure domains, and waits until each serves both routes.
    fn start(domains: &[&str]) -> Deployment {
        let first = Fixture::start_with_new_store(domains[0]);
        let address = first.store.address();
        let others = domains[1..].iter();
        let others = others.map(|domain| Fixture::start_in(domain, Store::start(), address));
        let others: Vec<Fixture> = others.collect();
        let vms: Vec<Fixture> = std::iter::once(first).chain(others).collect();
        let routes = [
            service_route("/a/", "idempotent", SHARDS[0]),
            gather_route("/q/", &SHARDS, 5, 0.9),
        ];
        vms[0].configure(1, &routes);
        let mut leaves = Vec::new();
        let mut proxies = Vec::new();
        for (index, shard) in SHARDS
            .iter()
            .cycle()
            .take(SHARDS.len() * LEAVES_PER_SHARD)
            .enumerate()
        {
            let mut leaf = Leaf::unregistered(shard, "near", RECORD);
            let proxy = Proxy::start(Ipv4Addr::LOCALHOST, leaf.address(), index as u64).unwrap();
            leaf.register_at(&vms[0].store, proxy.address());
            leaves.push(leaf);
            proxies.push(proxy);
        }
        for vm in &vms {
            vm.wait_for_leaf("/a/x");
            vm.wait_for_leaf("/q/x");
        }
        Deployment {
            vms,
            _leaves: leaves,
            proxies,
        }
    }

    /// Changes the links of a VM to all leaves.
    fn change_links(&self, vm: usize, change: impl Fn(&mut Link)) {
        let source = self.vms[vm].ip;
        self.proxies
            .iter()
            .for_each(|proxy| proxy.change(source, &change));
    }

    /// Sends requests to a VM for a while; returns how many were served.
    fn count_served(&self, vm: usize, requests: usize) -> usize {
        let served = (0..requests).filter(|number| {
            std::thread::sleep(REQUEST_INTERVAL);
            let path = if number % 4 == 0 { "/a/x" } else { "/q/x" };
            self.vms[vm].get(&format!("{path}{number}"), 1000).status == 200
        });
        served.count()
    }

    /// Sends requests to a VM for a time.
    fn send_for(&self, vm: usize, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.count_served(vm, 1);
        }
    }
}

/// How a VM loses its links.
struct Case {
    name: &'static str,
    change: fn(&mut Link),
    /// Whether open connections are closed, of all VMs.
    closes_connections: bool,
    /// Whether the VM gets no requests for a while, so that its connections are closed as idle.
    is_idle: bool,
}

impl Case {
    /// Cuts the links of a VM.
    fn cut(&self, deployment: &Deployment, vm: usize) {
        deployment.change_links(vm, self.change);
        if self.closes_connections {
            deployment.proxies.iter().for_each(Proxy::close_connections);
        }
        if self.is_idle {
            std::thread::sleep(IDLE_TIME);
        }
    }
}

fn hang(link: &mut Link) {
    link.forward = Flow::Cut;
    link.back = Flow::Cut;
}

fn refuse(link: &mut Link) {
    link.refuse = true;
}

const CASES: &[Case] = &[
    Case {
        name: "connections hang",
        change: hang,
        closes_connections: false,
        is_idle: false,
    },
    Case {
        name: "connections are reset and new ones refused",
        change: refuse,
        closes_connections: true,
        is_idle: false,
    },
    Case {
        name: "open connections live on until they are idle, and new ones are refused",
        change: refuse,
        closes_connections: false,
        is_idle: true,
    },
];

#[test]
fn platform_lost_links_are_not_counted_as_crashes_of_leaves() {
    for case in CASES {
        let deployment = Deployment::start(&["near", "near", "far"]);
        case.cut(&deployment, 0);
        deployment.send_for(0, CONTACT);
        let listed = deployment.vms[0].store.keys("quarantine/");
        assert!(listed.is_empty(), "{}: {listed:?}", case.name);
    }
}

#[test]
fn platform_lost_links_to_leaves_do_not_leave_callers_unserved() {
    for case in CASES {
        let deployment = Deployment::start(&["near", "near", "far"]);
        case.cut(&deployment, 0);
        deployment.send_for(0, CONTACT);
        let own = deployment.count_served(0, COUNTED_REQUESTS);
        let others = deployment.count_served(1, COUNTED_REQUESTS);
        let is_enough = own * 3 >= others * 2;
        assert!(
            is_enough,
            "{}: {own} served, {others} by another VM",
            case.name
        );
    }
}
