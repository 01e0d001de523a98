//! Traffic goes around an owner that does not answer, before membership has
//! noticed, and comes back once it answers a ping.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::time::Duration;

use geraniummount::edge::dispatcher::ReplyTo;
use geraniummount::prelude::*;
use geraniummount_test_support::fleet::wait_until;
use geraniummount_test_support::leaf as stand_in;
use geraniummount_test_support::proxy::{Flow, Proxy};

use crate::node::Node;
use crate::sample::{behaviour, catalog, part, vm_of};

const LIMIT: Duration = Duration::from_secs(20);
const ENTRY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 6, 1));
const OWNERS: [IpAddr; 2] = [
    IpAddr::V4(Ipv4Addr::new(127, 0, 6, 2)),
    IpAddr::V4(Ipv4Addr::new(127, 0, 6, 3)),
];

/// An entry VM, and two VMs with a proxy each that may own the leaf.
struct Bench {
    entry: Node,
    owners: Vec<(Node, Proxy)>,
    _leaf: stand_in::Leaf,
}

impl Bench {
    fn start() -> Bench {
        let leaf = stand_in::Leaf::start("leaf-1", behaviour(Duration::ZERO), 7).unwrap();
        let entry = Node::start("west", ENTRY);
        let owners: Vec<(Node, Proxy)> = ["east-1", "east-2"]
            .into_iter()
            .zip(OWNERS)
            .map(|(name, ip)| {
                let node = Node::start_in(name, "east", ip);
                let proxy = Proxy::start(ip, node.address(), 7).unwrap();
                (node, proxy)
            })
            .collect();
        let vm = |name: &str, domain: &str, address: SocketAddr| Vm {
            failure_domain: domain.to_owned(),
            ..vm_of(name, address)
        };
        let vms = [
            vm("east-1", "east", owners[0].1.address()),
            vm("east-2", "east", owners[1].1.address()),
            vm("west", "west", entry.address()),
        ];
        let catalog = catalog(leaf.address());
        entry.publish(&catalog, &vms);
        for (owner, _) in &owners {
            owner.publish(&catalog, &vms);
        }
        Bench {
            entry,
            owners,
            _leaf: leaf,
        }
    }

    /// Sends a part and returns its outcome.
    fn ask(&self, idempotent: bool) -> Outcome {
        let (sender, receiver) = mpsc::channel();
        let part = part(idempotent, LIMIT);
        self.entry
            .dispatcher
            .dispatch(part, ReplyTo::Caller(sender));
        receiver.recv_timeout(LIMIT).expect("part has no outcome")
    }

    /// Sends a part and returns the VM that served it.
    fn serving(&self) -> Option<VmName> {
        let outcome = self.ask(true);
        let served = outcome.result.is_ok();
        outcome.report.filter(|_| served).map(|report| report.owner)
    }

    fn proxy_of(&self, owner: &str) -> &Proxy {
        let place = usize::from(owner == "east-2");
        &self.owners[place].1
    }
}

/// What happens to the owner.
struct Case {
    name: &'static str,
    lose: fn(&Proxy),
    mend: fn(&Proxy),
}

const CASES: [Case; 2] = [
    Case {
        name: "refuses connections",
        lose: |proxy| {
            proxy.change_all(|link| link.refuse = true);
            proxy.break_open();
        },
        mend: |proxy| proxy.change_all(|link| link.refuse = false),
    },
    Case {
        name: "is cut off",
        lose: |proxy| {
            proxy.change_all(|link| {
                link.forward = Flow::Cut;
                link.back = Flow::Cut;
            });
        },
        mend: |proxy| {
            proxy.change_all(|link| {
                link.forward = Flow::Open;
                link.back = Flow::Open;
            });
        },
    },
];

#[test]
fn the_next_owner_serves_while_the_first_does_not_answer() {
    for case in CASES {
        let bench = Bench::start();
        let name = case.name;
        let first = bench.serving().expect("served at first");
        (case.lose)(bench.proxy_of(&first));
        // Parts that were not sent go around at once; one that was may be lost.
        let around = wait_until(LIMIT, || bench.serving().is_some_and(|vm| vm != first));
        assert!(around, "{name}: nobody took over");
        for _ in 0..20 {
            let outcome = bench.ask(false);
            assert!(outcome.result.is_ok(), "{name}: {outcome:?}");
        }
        (case.mend)(bench.proxy_of(&first));
        let back = wait_until(LIMIT, || bench.serving().as_ref() == Some(&first));
        assert!(back, "{name}: traffic did not come back");
    }
}
