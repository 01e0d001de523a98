//! Traffic goes around an owner that does not answer, before membership has
//! noticed, and comes back once it answers a ping; and into a failure domain
//! by way of the few VMs of it that are known.

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

use crate::load::{Kind, send};
use crate::node::Node;
use crate::sample::{behaviour, catalog, part, vm_of};
use crate::testbed::{self, Permit, for_each};

const LIMIT: Duration = Duration::from_secs(20);
const ENTRY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 6, 1));
const FAR_VMS: [IpAddr; 2] = [
    IpAddr::V4(Ipv4Addr::new(127, 0, 6, 2)),
    IpAddr::V4(Ipv4Addr::new(127, 0, 6, 3)),
];

/// An entry VM, and two VMs with a proxy each that may own the leaf.
struct Cluster {
    entry: Node,
    owners: Vec<(Node, Proxy)>,
    _leaf: stand_in::Leaf,
}

impl Cluster {
    fn start() -> Cluster {
        let leaf = stand_in::Leaf::start("leaf-1", behaviour(Duration::ZERO), 7).unwrap();
        let entry = Node::start("west", ENTRY);
        let owners: Vec<(Node, Proxy)> = ["east-1", "east-2"]
            .into_iter()
            .zip(FAR_VMS)
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
        Cluster {
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
            proxy.close_connections();
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
        let cluster = Cluster::start();
        let name = case.name;
        let mut first = None;
        wait_until(LIMIT, || {
            first = cluster.serving();
            first.is_some()
        });
        let first = first.expect("served at first");
        (case.lose)(cluster.proxy_of(&first));
        // Parts that were not sent go around at once; one that was may be lost.
        let around = wait_until(LIMIT, || cluster.serving().is_some_and(|vm| vm != first));
        assert!(around, "{name}: nobody took over");
        for _ in 0..20 {
            let outcome = cluster.ask(false);
            assert!(outcome.result.is_ok(), "{name}: {outcome:?}");
        }
        (case.mend)(cluster.proxy_of(&first));
        let back = wait_until(LIMIT, || cluster.serving().as_ref() == Some(&first));
        assert!(back, "{name}: traffic did not come back");
    }
}

#[test]
fn a_survey_asks_the_next_vm_of_a_domain_while_the_first_does_not_answer() {
    for case in CASES {
        let cluster = Cluster::start();
        let mut first = None;
        wait_until(LIMIT, || {
            first = cluster.serving();
            first.is_some()
        });
        let first = first.expect("served at first");
        // The other VM there has noticed the loss, the entry VM has not.
        let view = cluster.entry.view.get();
        let (_, vms): (Vec<Vm>, Vec<Vm>) =
            view.vms.iter().cloned().partition(|vm| vm.name == first);
        let other = &cluster.owners[usize::from(first == "east-1")].0;
        other.publish(&view.catalog, &vms);
        (case.lose)(cluster.proxy_of(&first));
        let service = &view.catalog.service("tickets").unwrap().spec;
        let held = cluster
            .entry
            .dispatcher
            .holdings(service, Duration::from_secs(1));
        assert_eq!(held.len(), 1, "{}", case.name);
        assert_eq!(held[0].snapshots, [1], "{}", case.name);
    }
}

/// Shards behind relays, each with two replicas there.
const SHARDS: usize = 16;

/// How long requests are sent while a relay is lost.
const DURING: Duration = Duration::from_secs(2);

/// What happens to a relay of the entry VM.
#[derive(Debug)]
struct RelayCase {
    _name: &'static str,
    lose: fn(&mut Fleet, &str),
    mend: fn(&mut Fleet, &str),
}

const RELAY_CASES: [RelayCase; 3] = [
    RelayCase {
        _name: "killed",
        lose: |fleet, relay| fleet.kill(relay),
        mend: |_, _| {},
    },
    RelayCase {
        _name: "frozen",
        lose: |fleet, relay| fleet.freeze(relay),
        mend: |fleet, relay| fleet.thaw(relay),
    },
    RelayCase {
        _name: "cut off from the entry VM",
        lose: |fleet, relay| fleet.cut(&VmSelector::vm("near-1"), &VmSelector::vm(relay)),
        mend: |fleet, _| fleet.heal(),
    },
];

/// One VM in `near`, five in `far` with all leaves.
fn behind_relays() -> Fleet {
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount"))
        .seed(61)
        .domain("near", 1)
        .domain("far", 5)
        .inter_domain_link(Link::delayed(Duration::from_millis(2)));
    let mut shards = Vec::new();
    for shard in 1..=SHARDS {
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

/// Asks the entry VM until its answer is whole; returns who owned the leaves.
fn owners(fleet: &Fleet) -> HashSet<String> {
    let mut answer = Value::Null;
    let whole = wait_until(CONVERGENCE_TIMEOUT, || {
        let path = "/v1/services/parts/query?explain=true";
        let reply = fleet.caller("near-1").call("POST", path, &[], "{}");
        answer = reply.map_or(Value::Null, |reply| reply.body);
        answer["coverage"]["missing"] == json!([])
    });
    assert!(whole, "no whole answer: {answer}");
    let traces = answer["explain"].as_array().expect("explanation").iter();
    let owner = |trace: &Value| trace["owner"].as_str().expect("an owner").to_owned();
    traces.map(owner).collect()
}

/// VMs of `far` that the entry VM knows.
fn relays(fleet: &Fleet) -> Vec<String> {
    let state = fleet.operator("near-1").get("/v1/state").expect("state");
    let vms = state.body["vms"].as_array().expect("VMs").iter();
    let far = vms.filter(|vm| vm["failure_domain"] == "far");
    far.map(|vm| vm["name"].as_str().expect("a name").to_owned())
        .collect()
}

/// Answers are whole though some owners are known to the relays only; while
/// one of these is lost nothing runs twice, and answers are whole again.
#[test]
fn parts_go_by_way_of_relays_of_which_one_is_lost() {
    for_each(&RELAY_CASES, |case| {
        let _permit = Permit::acquire();
        let mut fleet = behind_relays();
        owners(&fleet);
        let relays = relays(&fleet);
        assert_eq!(relays.len(), MAX_RELAYS_PER_DOMAIN, "{case:?}: {relays:?}");
        // Right after the start the VMs of `far` may not know each other yet.
        let relayed = || owners(&fleet).iter().any(|owner| !relays.contains(owner));
        assert!(
            wait_until(CONVERGENCE_TIMEOUT, relayed),
            "{case:?}: by {relays:?}"
        );
        let entry = fleet.vm("near-1").caller;
        (case.lose)(&mut fleet, &relays[0]);
        let until = Instant::now() + DURING;
        let mut numbers = 0..;
        let mut records = Vec::new();
        while Instant::now() < until {
            for kind in [Kind::Queries, Kind::Orders] {
                records.push(send(entry, kind, numbers.next().expect("a number"), 0));
            }
        }
        owners(&fleet);
        (case.mend)(&mut fleet, &relays[0]);
        owners(&fleet);
        let logs = fleet.leaves.iter().flat_map(|other| other.leaf.log());
        let mut runs: Vec<(String, AttemptId)> =
            logs.map(|run| (run.request, run.attempt)).collect();
        runs.sort();
        for pair in runs.windows(2) {
            assert_ne!(pair[0], pair[1], "{case:?}: a part ran twice");
        }
        assert!(records.iter().any(|record| record.answer().is_some()));
        for record in &records {
            let ran = |run: &(String, AttemptId)| run.0 == record.request_id;
            let count = runs.iter().filter(|run| ran(run)).count();
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

/// How the only VM of a failure domain is lost.
#[derive(Debug)]
struct LastCase {
    _name: &'static str,
    lose: fn(&mut Fleet, &str),
}

const LAST_CASES: [LastCase; 2] = [
    LastCase {
        _name: "killed",
        lose: |fleet, vm| fleet.kill(vm),
    },
    LastCase {
        _name: "frozen",
        lose: |fleet, vm| fleet.freeze(vm),
    },
];

/// A leaf whose domain has lost all VMs lives on, and VMs of another domain
/// serve it.
#[test]
fn leaves_without_a_vm_of_their_domain_are_served_by_others() {
    for_each(&LAST_CASES, |case| {
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
        let last = fleet.vms_in("far").remove(0);
        let before = owners(&fleet);
        assert!(before.contains(&last), "{case:?}: {before:?}");
        (case.lose)(&mut fleet, &last);
        let owners = owners(&fleet);
        assert!(
            owners.iter().all(|owner| owner.starts_with("near")),
            "{case:?}: {owners:?}"
        );
    });
}
