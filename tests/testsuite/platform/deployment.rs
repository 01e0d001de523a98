//! Gateways that share a store, and leaves that each gateway reaches over proxies.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Leaf, Store};
use geraniummount_test_support::proxy::{Flow, Link, Proxy};
use serde_json::json;

use super::fixture::{Fixture, gather_route, service_route};

/// Shards of the queries at `/q/`; requests at `/a/` go to the first of them.
pub const SHARDS: [&str; 4] = ["one", "two", "three", "four"];

/// Number of leaves of each shard.
const LEAVES_PER_SHARD: usize = 2;

const RECORD: &[u8] = b"record-of-16-byt";

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// VMs that share a store, and leaves with a proxy in front of each.
pub struct Deployment {
    pub vms: Vec<Fixture>,
    pub leaves: Vec<Leaf>,
    pub proxies: Vec<Proxy>,
}

impl Deployment {
    /// Starts VMs in the given failure domains, and waits until each serves both routes.
    pub fn start(domains: &[&str]) -> Deployment {
        let first = Fixture::start_with_new_store(domains[0]);
        let address = first.store.address();
        let others = domains[1..].iter();
        let others = others.map(|domain| Fixture::start_in(domain, Store::start(), address));
        let others: Vec<Fixture> = others.collect();
        Deployment::start_with(std::iter::once(first).chain(others).collect())
    }

    /// Starts leaves for VMs that share the store of the first one, and waits until each VM serves
    /// both routes.
    pub fn start_with(vms: Vec<Fixture>) -> Deployment {
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
            leaves,
            proxies,
        }
    }

    /// Changes the links of a VM to all leaves.
    pub fn change_links(&self, vm: usize, change: impl Fn(&mut Link)) {
        let source = self.vms[vm].ip;
        self.proxies
            .iter()
            .for_each(|proxy| proxy.change(source, &change));
    }

    /// Sends requests to a VM for a while; returns how many were served.
    pub fn count_served(&self, vm: usize, requests: usize) -> usize {
        let served = (0..requests).filter(|number| {
            std::thread::sleep(REQUEST_INTERVAL);
            let path = if number % 4 == 0 { "/a/x" } else { "/q/x" };
            self.vms[vm].get(&format!("{path}{number}"), 1000).status == 200
        });
        served.count()
    }

    /// Sends requests to a VM for a time.
    pub fn send_for(&self, vm: usize, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.count_served(vm, 1);
        }
    }
}

/// Lets connections hang, and new ones too.
pub fn hang(link: &mut Link) {
    link.forward = Flow::Cut;
    link.back = Flow::Cut;
}

/// Closes new connections at once.
pub fn refuse(link: &mut Link) {
    link.refuse = true;
}

/// Ends all faults.
pub fn restore(link: &mut Link) {
    *link = Link::default();
}

/// Registers a VM that does not exist, at an address.
pub fn register_vm(store: &Store, name: &str, address: SocketAddr) {
    let entry = json!({
        "address": address, "domain": "near", "key": "secret", "written_at_ms": 4_000_000_000_000_u64,
    });
    store.put(&format!("peers/{name}"), entry.to_string());
}

/// Starts a VM that sends the given bytes after each request, and closes the connection.
pub fn start_vm(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            // The gateway may have given the connection up.
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer);
        }
    });
    address
}
