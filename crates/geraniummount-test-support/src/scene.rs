//! A small fleet between stand-ins in which the promises are tried: a failure
//! domain `near` with one VM, where most requests enter, and one `far` with
//! two VMs, which own most leaves.
//!
//! Service `parts` has four shards with a replica in each failure domain;
//! `orders` has one shard with both replicas in `far`, so that a request which
//! is sent again where it must not be has somewhere to go.

use std::time::Duration;

use serde_json::{Value, json};

pub use crate::cases::{Permit, for_each};
use crate::fleet::{Fleet, PATIENCE, Plan, wait_until};
use crate::leaf::{Behaviour, Delay, Execution};
use crate::process;
use crate::proxy::Link;

/// VM where most requests enter.
pub const ENTRY: &str = "near-1";

/// VMs that own the leaves of the failure domain `far`.
pub const OWNERS: [&str; 2] = ["far-2", "far-3"];

/// Shards of the service `parts`.
pub const PARTS: [&str; 4] = ["1", "2", "3", "4"];

/// Snapshot that all leaves hold at first.
pub const FIRST_SNAPSHOT: u64 = 7;

/// Deadline that the services declare.
pub const DEADLINE_MS: u64 = 500;

const LINK_DELAY: Duration = Duration::from_millis(2);
const LEAF_DELAY: Duration = Duration::from_millis(3);

/// Time for bytes that a cut or a freeze held back to arrive and be handled.
const SETTLE: Duration = Duration::from_millis(1_500);

/// The fleet with its leaves declared and serving.
pub struct Scene {
    /// The fleet.
    pub fleet: Fleet,
    _permit: Permit,
}

impl Scene {
    /// Starts the fleet and waits until it serves whole answers.
    pub fn start(seed: u64) -> Scene {
        Scene::start_preferring("coverage", seed)
    }

    /// Starts the fleet with a preference of the service `parts`.
    pub fn start_preferring(prefer: &str, seed: u64) -> Scene {
        let permit = Permit::take();
        let fleet = Fleet::start(plan(seed)).expect("fleet starts");
        fleet.apply_with_leaves(ENTRY, &[parts(prefer), orders()]);
        let scene = Scene {
            fleet,
            _permit: permit,
        };
        scene.wait_whole();
        scene
    }

    /// Waits until every running VM answers a query with all shards and an
    /// order with success.
    pub fn wait_whole(&self) {
        for vm in self.fleet.running() {
            let caller = self.fleet.caller(&vm.name);
            let mut last = String::new();
            let whole = wait_until(PATIENCE, || {
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
            assert!(whole, "VM {} does not serve whole answers: {last}", vm.name);
        }
    }

    /// Lets what was held back arrive and be handled.
    pub fn settle(&self) {
        std::thread::sleep(SETTLE);
    }

    /// Checks that no leaf ever saw more connections than it grants.
    pub fn check_connections(&self) {
        for other in &self.fleet.leaves {
            let connections = other.leaf.connections();
            let name = other.leaf.name();
            assert_eq!(connections.violations, 0, "{name}: {connections:?}");
        }
    }

    /// Returns what all leaves ran, without the requests of the scene itself.
    pub fn executions(&self) -> Vec<Execution> {
        let logs = self.fleet.leaves.iter().flat_map(|other| other.leaf.log());
        logs.filter(|entry| !body_id(&entry.body).starts_with("wait"))
            .collect()
    }

    /// Changes every leaf's behaviour.
    pub fn change_leaves(&self, change: impl Fn(&mut Behaviour)) {
        for other in &self.fleet.leaves {
            other.leaf.change(&change);
        }
    }
}

/// Returns the `id` that a test put into a request's body.
pub fn body_id(body: &str) -> String {
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    body["id"].as_str().unwrap_or_default().to_string()
}

fn plan(seed: u64) -> Plan {
    let mut plan = Plan::new(process::binary_path("geraniummount"))
        .seed(seed)
        .domain("near", 1)
        .domain("far", 2)
        .between(Link::delayed(LINK_DELAY));
    for shard in PARTS {
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

/// A leaf of one shard.
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
    let shards = PARTS.map(|shard| {
        let replicas = ["near", "far"].map(|domain| format!("parts-{domain}-{shard}"));
        json!({"name": shard, "replicas": replicas})
    });
    service("parts", &shards, prefer)
}

/// The service `orders`.
pub fn orders() -> Value {
    let shard = json!({"name": "1", "replicas": ["orders-1", "orders-2"]});
    service("orders", &[shard], "coverage")
}

/// A service with the scene's deadlines.
pub fn service(name: &str, shards: &[Value], prefer: &str) -> Value {
    json!({
        "name": name,
        "shards": shards,
        "deadline_ms": DEADLINE_MS,
        "max_deadline_ms": 10_000,
        "prefer": prefer,
    })
}
