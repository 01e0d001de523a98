//! Checks the failover between owners. An unresponsive owner is bypassed before membership detects
//! its failure, and it serves again once it answers a ping. Parts for owners in another failure
//! domain are forwarded by relays, the few VMs of that domain that the entry VM knows.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use geraniummount::core::relays::MAX_RELAYS_PER_DOMAIN;
use geraniummount::edge::reply_to::ReplyTo;
use geraniummount::prelude::*;
use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, Fleet, Plan, VmSelector, wait_until};
use geraniummount_test_support::leaf as stand_in;
use geraniummount_test_support::proxy::{Flow, Link, Proxy};
use serde_json::{Value, json};

use crate::fixtures::{behaviour, catalog, live_vm, part};
use crate::load::{Kind, send};
use crate::node::Node;
use crate::testbed::{self, Permit, for_each};

/// Timeout of each part and of each wait for a state.
const TIMEOUT: Duration = Duration::from_secs(20);
const ENTRY_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 6, 1));
const OWNER_ADDRESSES: [IpAddr; 2] = [
    IpAddr::V4(Ipv4Addr::new(127, 0, 6, 2)),
    IpAddr::V4(Ipv4Addr::new(127, 0, 6, 3)),
];

/// An entry VM, and two VMs of another failure domain that can own the leaf, each behind a proxy.
struct Cluster {
    entry: Node,
    owners: Vec<(Node, Proxy)>,
    _leaf: stand_in::Leaf,
}

impl Cluster {
    fn start() -> Cluster {
        let leaf = stand_in::Leaf::start("leaf-1", behaviour(Duration::ZERO), 7).unwrap();
        let entry = Node::start("west", ENTRY_ADDRESS);
        let owners: Vec<(Node, Proxy)> = ["east-1", "east-2"]
            .into_iter()
            .zip(OWNER_ADDRESSES)
            .map(|(name, ip)| {
                let node = Node::start_in(name, "east", ip);
                let proxy = Proxy::start(ip, node.address(), 7).unwrap();
                (node, proxy)
            })
            .collect();
        let vm = |name: &str, domain: &str, address: SocketAddr| Vm {
            failure_domain: domain.to_owned(),
            ..live_vm(name, address)
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
        Cluster {
            entry,
            owners,
            _leaf: leaf,
        }
    }

    /// Dispatches a part from the entry VM and returns its outcome.
    fn dispatch(&self, idempotent: bool) -> Outcome {
        let (sender, receiver) = mpsc::channel();
        let part = part(idempotent, TIMEOUT);
        self.entry
            .dispatcher
            .dispatch(part, ReplyTo::Caller(sender));
        receiver
            .recv_timeout(TIMEOUT)
            .expect("part has an outcome before the timeout")
    }

    /// Dispatches a part and returns the VM that served it, or `None` if the part failed.
    fn serving_vm(&self) -> Option<VmName> {
        let outcome = self.dispatch(true);
        let is_served = outcome.result.is_ok();
        outcome
            .report
            .filter(|_| is_served)
            .map(|report| report.owner)
    }

    fn owner_proxy(&self, owner: &str) -> &Proxy {
        let index = usize::from(owner == "east-2");
        &self.owners[index].1
    }
}

/// A failure of the owner that serves, and its end.
struct Case {
    name: &'static str,
    fail: fn(&Proxy),
    recover: fn(&Proxy),
}

const CASES: [Case; 2] = [
    Case {
        name: "refuses connections",
        fail: |proxy| {
            proxy.change_all(|link| link.refuse = true);
            proxy.close_connections();
        },
        recover: |proxy| proxy.change_all(|link| link.refuse = false),
    },
    Case {
        name: "is cut off",
        fail: |proxy| {
            proxy.change_all(|link| {
                link.forward = Flow::Cut;
                link.back = Flow::Cut;
            });
        },
        recover: |proxy| {
            proxy.change_all(|link| {
                link.forward = Flow::Open;
                link.back = Flow::Open;
            });
        },
    },
];

#[test]
fn the_next_owner_serves_while_the_first_is_unresponsive() {
    for case in CASES {
        let cluster = Cluster::start();
        let name = case.name;
        let mut first = None;
        wait_until(TIMEOUT, || {
            first = cluster.serving_vm();
            first.is_some()
        });
        let first = first.expect("a VM serves the leaf");
        (case.fail)(cluster.owner_proxy(&first));
        // Parts that have not been sent yet are rerouted at once; a part that was sent may be lost.
        let has_failed_over = wait_until(TIMEOUT, || {
            cluster.serving_vm().is_some_and(|vm| vm != first)
        });
        assert!(has_failed_over, "{name}: no other owner served");
        for _ in 0..20 {
            let outcome = cluster.dispatch(false);
            assert!(outcome.result.is_ok(), "{name}: {outcome:?}");
        }
        (case.recover)(cluster.owner_proxy(&first));
        let has_returned = wait_until(TIMEOUT, || cluster.serving_vm().as_ref() == Some(&first));
        assert!(has_returned, "{name}: the first owner did not serve again");
    }
}

#[test]
fn a_survey_asks_the_next_vm_of_a_domain_while_the_first_is_unresponsive() {
    for case in CASES {
        let cluster = Cluster::start();
        let mut first = None;
        wait_until(TIMEOUT, || {
            first = cluster.serving_vm();
            first.is_some()
        });
        let first = first.expect("a VM serves the leaf");
        // The other VM of the domain has detected the failure; the entry VM has not.
        let view = cluster.entry.view.get();
        let (_, vms): (Vec<Vm>, Vec<Vm>) =
            view.vms.iter().cloned().partition(|vm| vm.name == first);
        let other = &cluster.owners[usize::from(first == "east-1")].0;
        other.publish(&view.catalog, &vms);
        (case.fail)(cluster.owner_proxy(&first));
        let service = &view.catalog.service("tickets").unwrap().spec;
        let holdings = cluster
            .entry
            .dispatcher
            .holdings(service, Duration::from_secs(1));
        assert_eq!(holdings.len(), 1, "{}", case.name);
        assert_eq!(holdings[0].snapshots, [1], "{}", case.name);
    }
}

/// Number of shards in the failure domain of the relays, each with two replicas.
const SHARD_COUNT: usize = 16;

/// Time for which requests are sent after a relay has failed.
const LOAD_DURATION: Duration = Duration::from_secs(2);

/// A failure of a relay of the entry VM, and its end.
#[derive(Debug)]
struct RelayCase {
    _name: &'static str,
    fail: fn(&mut Fleet, &str),
    recover: fn(&mut Fleet, &str),
}

const RELAY_CASES: [RelayCase; 3] = [
    RelayCase {
        _name: "killed",
        fail: |fleet, relay| fleet.kill(relay),
        recover: |_, _| {},
    },
    RelayCase {
        _name: "frozen",
        fail: |fleet, relay| fleet.freeze(relay),
        recover: |fleet, relay| fleet.thaw(relay),
    },
    RelayCase {
        _name: "cut off from the entry VM",
        fail: |fleet, relay| fleet.cut(&VmSelector::vm("near-1"), &VmSelector::vm(relay)),
        recover: |fleet, _| fleet.heal(),
    },
];

/// Starts a fleet with one VM in `near`, and five VMs and all leaves in `far`.
fn start_fleet_with_relays() -> Fleet {
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount"))
        .seed(61)
        .domain("near", 1)
        .domain("far", 5)
        .inter_domain_link(Link::delayed(Duration::from_millis(2)));
    let mut shards = Vec::new();
    for shard in 1..=SHARD_COUNT {
        let replicas = [1, 2].map(|replica| format!("parts-{shard}-{replica}"));
        for name in &replicas {
            plan = plan.leaf(name, "far", testbed::behaviour(&format!("parts/{shard}")));
        }
        shards.push(json!({"name": shard.to_string(), "replicas": replicas}));
    }
    for name in ["orders-1", "orders-2"] {
        plan = plan.leaf(name, "far", testbed::behaviour("orders/1"));
    }
    let fleet = Fleet::start(plan).expect("fleet starts");
    let services = [
        testbed::service("parts", &shards, "coverage"),
        testbed::orders(),
    ];
    fleet.apply_with_leaves("near-1", &services);
    fleet
}

/// Queries the entry VM until an answer lacks no shard, and returns the owners of the leaves that
/// answered.
fn serving_owners(fleet: &Fleet) -> HashSet<String> {
    let mut answer = Value::Null;
    let is_complete = wait_until(CONVERGENCE_TIMEOUT, || {
        let path = "/v1/services/parts/query?explain=true";
        let reply = fleet.caller("near-1").call("POST", path, &[], "{}");
        answer = reply.map_or(Value::Null, |reply| reply.body);
        answer["coverage"]["missing"] == json!([])
    });
    assert!(is_complete, "no answer includes all shards: {answer}");
    let traces = answer["explain"]
        .as_array()
        .expect("answer is explained")
        .iter();
    let owner = |trace: &Value| {
        trace["owner"]
            .as_str()
            .expect("trace names the owner")
            .to_owned()
    };
    traces.map(owner).collect()
}

/// Returns the VMs of `far` that the entry VM knows.
fn relays(fleet: &Fleet) -> Vec<String> {
    let state = fleet
        .operator("near-1")
        .get("/v1/state")
        .expect("VM returns its state");
    let vms = state.body["vms"]
        .as_array()
        .expect("state lists VMs")
        .iter();
    let far = vms.filter(|vm| vm["failure_domain"] == "far");
    far.map(|vm| vm["name"].as_str().expect("VM has a name").to_owned())
        .collect()
}

/// Answers include all shards although some owners are known only to the relays. After one relay
/// fails, no part runs twice and answers include all shards again.
#[test]
fn parts_are_forwarded_by_relays_after_one_fails() {
    for_each(&RELAY_CASES, |case| {
        let _permit = Permit::acquire();
        let mut fleet = start_fleet_with_relays();
        serving_owners(&fleet);
        let relays = relays(&fleet);
        assert_eq!(relays.len(), MAX_RELAYS_PER_DOMAIN, "{case:?}: {relays:?}");
        // Shortly after the start, the VMs of `far` may not know each other yet.
        let has_relayed_owner = || {
            serving_owners(&fleet)
                .iter()
                .any(|owner| !relays.contains(owner))
        };
        assert!(
            wait_until(CONVERGENCE_TIMEOUT, has_relayed_owner),
            "{case:?}: every owner is one of the relays {relays:?}"
        );
        let entry = fleet.vm("near-1").caller;
        (case.fail)(&mut fleet, &relays[0]);
        let load_end = Instant::now() + LOAD_DURATION;
        let mut numbers = 0..;
        let mut records = Vec::new();
        while Instant::now() < load_end {
            for kind in [Kind::Queries, Kind::Orders] {
                records.push(send(
                    entry,
                    kind,
                    numbers.next().expect("range is unbounded"),
                    0,
                ));
            }
        }
        serving_owners(&fleet);
        (case.recover)(&mut fleet, &relays[0]);
        serving_owners(&fleet);
        let logs = fleet.leaves.iter().flat_map(|proxied| proxied.leaf.log());
        let mut runs: Vec<(String, AttemptId)> =
            logs.map(|run| (run.request, run.attempt)).collect();
        runs.sort();
        for pair in runs.windows(2) {
            assert_ne!(pair[0], pair[1], "{case:?}: a part ran twice");
        }
        assert!(records.iter().any(|record| record.answer().is_some()));
        for record in &records {
            let is_of_request = |run: &(String, AttemptId)| run.0 == record.request_id;
            let count = runs.iter().filter(|run| is_of_request(run)).count();
            assert!(
                !record.is_reported_not_run() || count == 0,
                "{case:?}: {record:?}"
            );
            for result in record
                .answer()
                .iter()
                .flat_map(|answer| answer["results"].as_array().expect("results"))
            {
                assert_eq!(result["body"]["request"], record.request_id, "{case:?}");
            }
        }
    });
}

/// A failure of the only VM of a failure domain.
#[derive(Debug)]
struct LastVmCase {
    _name: &'static str,
    fail: fn(&mut Fleet, &str),
}

const LAST_VM_CASES: [LastVmCase; 2] = [
    LastVmCase {
        _name: "killed",
        fail: |fleet, vm| fleet.kill(vm),
    },
    LastVmCase {
        _name: "frozen",
        fail: |fleet, vm| fleet.freeze(vm),
    },
];

/// When all VMs of a failure domain have failed, VMs of another domain serve its leaves.
#[test]
fn leaves_of_a_domain_without_vms_are_served_by_other_domains() {
    for_each(&LAST_VM_CASES, |case| {
        let _permit = Permit::acquire();
        let plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount"))
            .seed(62)
            .domain("near", 2)
            .domain("far", 1)
            .leaf("parts-1-1", "near", testbed::behaviour("parts/1"))
            .leaf("parts-2-1", "far", testbed::behaviour("parts/2"));
        let mut fleet = Fleet::start(plan).expect("fleet starts");
        let shard = |number: usize| json!({"name": number.to_string(), "replicas": [format!("parts-{number}-1")]});
        let shards = [shard(1), shard(2)];
        fleet.apply_with_leaves("near-1", &[testbed::service("parts", &shards, "coverage")]);
        let last_vm = fleet.vms_in("far").remove(0);
        let before = serving_owners(&fleet);
        assert!(before.contains(&last_vm), "{case:?}: {before:?}");
        (case.fail)(&mut fleet, &last_vm);
        let owners = serving_owners(&fleet);
        assert!(
            owners.iter().all(|owner| owner.starts_with("near")),
            "{case:?}: {owners:?}"
        );
    });
}
