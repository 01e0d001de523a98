//! Starts the small fleet that most tests of the promises use.
//!
//! The failure domain `near` has one VM, which receives most requests; the failure domain `far` has
//! two VMs, which own most leaves. The owner of a leaf is the VM that holds its queue; all requests
//! for the leaf go through it. The service `parts` has four shards with a replica in each
//! failure domain. The service `orders` has one shard with both replicas in `far`, so that a second
//! replica is always at hand to run an order that is wrongly retried.

use std::time::Duration;

use serde_json::{Value, json};

pub use crate::cases::{Permit, for_each};
use crate::fleet::{CONVERGENCE_TIMEOUT, Fleet, Plan, wait_until};
use crate::leaf::{Behaviour, Delay, Execution};
use crate::process;
use crate::proxy::Link;

/// VM that receives most requests.
pub const ENTRY_VM: &str = "near-1";

/// VMs that own the leaves of the failure domain `far`.
pub const FAR_VMS: [&str; 2] = ["far-2", "far-3"];

/// Shards of the service `parts`.
pub const PARTS_SHARDS: [&str; 4] = ["1", "2", "3", "4"];

/// Snapshot (version of the index) that all leaves hold at the start.
pub const FIRST_SNAPSHOT: u64 = 7;

/// Deadline that the services declare, in milliseconds.
pub const DEADLINE_MS: u64 = 500;

const LINK_DELAY: Duration = Duration::from_millis(2);
const LEAF_DELAY: Duration = Duration::from_millis(3);

/// Time in which the bytes that a cut or a freeze delayed arrive and are handled.
const SETTLE_DELAY: Duration = Duration::from_millis(1_500);

/// The running fleet, with its leaves and services declared.
pub struct Testbed {
    /// The fleet of VMs and leaves.
    pub fleet: Fleet,
    _permit: Permit,
}

impl Testbed {
    /// Starts the fleet and waits until every VM answers with all shards.
    pub fn start(seed: u64) -> Testbed {
        Testbed::start_preferring("coverage", seed)
    }

    /// Starts the fleet with the given `prefer` value of the service `parts`, and waits like
    /// [`Testbed::start`].
    pub fn start_preferring(prefer: &str, seed: u64) -> Testbed {
        let permit = Permit::acquire();
        let fleet = Fleet::start(plan(seed)).expect("fleet starts");
        fleet.apply_with_leaves(ENTRY_VM, &[parts(prefer), orders()]);
        let testbed = Testbed {
            fleet,
            _permit: permit,
        };
        testbed.wait_until_serving();
        testbed
    }

    /// Waits until every running VM answers a query with all shards and an order with success.
    ///
    /// Panics after [`CONVERGENCE_TIMEOUT`].
    pub fn wait_until_serving(&self) {
        for vm in self.fleet.running() {
            let caller = self.fleet.caller(&vm.name);
            let mut last = String::new();
            let is_serving = wait_until(CONVERGENCE_TIMEOUT, || {
                let query = caller.query("parts", &[], &json!({"id": "wait"}));
                let order = caller.query(
                    "orders",
                    &[("Idempotent", "false"), ("Shard", "1")],
                    &json!({"id": "wait-order"}),
                );
                let missing = query
                    .as_ref()
                    .map(|reply| reply.body["coverage"]["missing"].as_array().map(Vec::len));
                last = format!("{query:?}\n{order:?}");
                matches!(missing, Ok(Some(0))) && order.is_ok_and(|reply| reply.is_success())
            });
            assert!(
                is_serving,
                "VM {} does not answer queries with all shards and orders with success: {last}",
                vm.name
            );
        }
    }

    /// Waits until messages that a cut or a freeze delayed have arrived and been handled.
    pub fn settle(&self) {
        std::thread::sleep(SETTLE_DELAY);
    }

    /// Asserts that no leaf ever received more connections than its limit.
    pub fn check_connections(&self) {
        for proxied_leaf in &self.fleet.leaves {
            let connections = proxied_leaf.leaf.connections();
            let name = proxied_leaf.leaf.name();
            assert_eq!(connections.violations, 0, "{name}: {connections:?}");
        }
    }

    /// Returns all executions on all leaves, without the requests of
    /// [`Testbed::wait_until_serving`].
    pub fn executions(&self) -> Vec<Execution> {
        let logs = self
            .fleet
            .leaves
            .iter()
            .flat_map(|proxied_leaf| proxied_leaf.leaf.log());
        logs.filter(|entry| !body_id(&entry.body).starts_with("wait"))
            .collect()
    }

    /// Changes the behaviour of every leaf.
    pub fn change_leaves(&self, change: impl Fn(&mut Behaviour)) {
        for proxied_leaf in &self.fleet.leaves {
            proxied_leaf.leaf.change(&change);
        }
    }
}

/// Returns the `id` in a request's JSON body, or an empty string if there is none.
pub fn body_id(body: &str) -> String {
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    body["id"].as_str().unwrap_or_default().to_string()
}

fn plan(seed: u64) -> Plan {
    let mut plan = Plan::new(process::binary_path("geraniummount"))
        .seed(seed)
        .domain("near", 1)
        .domain("far", 2)
        .inter_domain_link(Link::delayed(LINK_DELAY));
    for shard in PARTS_SHARDS {
        for domain in ["near", "far"] {
            let behaviour = behaviour(&format!("parts/{shard}"));
            plan = plan.leaf(&format!("parts-{domain}-{shard}"), domain, behaviour);
        }
    }
    for number in 1..=2 {
        plan = plan.leaf(&format!("orders-{number}"), "far", behaviour("orders/1"));
    }
    plan
}

/// Returns the behaviour of a leaf that holds one shard.
pub fn behaviour(shard: &str) -> Behaviour {
    Behaviour {
        delay: Delay {
            median: LEAF_DELAY,
            ..Delay::default()
        },
        shards: vec![shard.to_string()],
        snapshots: vec![FIRST_SNAPSHOT],
        ..Behaviour::default()
    }
}

fn parts(prefer: &str) -> Value {
    let shards = PARTS_SHARDS.map(|shard| {
        let replicas = ["near", "far"].map(|domain| format!("parts-{domain}-{shard}"));
        json!({"name": shard, "replicas": replicas})
    });
    service("parts", &shards, prefer)
}

/// Returns the spec of the service `orders`.
pub fn orders() -> Value {
    let shard = json!({"name": "1", "replicas": ["orders-1", "orders-2"]});
    service("orders", &[shard], "coverage")
}

/// Returns the spec of a service with the testbed's deadlines.
pub fn service(name: &str, shards: &[Value], prefer: &str) -> Value {
    json!({
        "name": name,
        "shards": shards,
        "deadline_ms": DEADLINE_MS,
        "max_deadline_ms": 10_000,
        "prefer": prefer,
    })
}
