//! A small fleet between stand-ins in which the promises are tried: a failure
//! domain `near` with one VM, where most requests enter, and one `far` with
//! two VMs, which own most leaves.
//!
//! Service `parts` has four shards with a replica in each failure domain;
//! `orders` has one shard with both replicas in `far`, so that a request which
//! is sent again where it must not be has somewhere to go.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use geraniummount_test_support::fleet::{Fleet, PATIENCE, Place, Plan, wait_until};
use geraniummount_test_support::leaf::{Behaviour, Delay, Execution};
use geraniummount_test_support::platform::Outage;
use geraniummount_test_support::proxy::{Flow, Link};
use serde_json::{Value, json};

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

/// Writes of the platform's service that lose their reply.
const LOST_REPLIES: u32 = 20;

/// Time for bytes that a cut or a freeze held back to arrive and be handled.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Scenes that run at once on a machine of ten cores.
const MOST_SCENES: usize = 6;

/// Scenes that run now.
static SCENES: Mutex<usize> = Mutex::new(0);
static SCENE_ENDED: Condvar = Condvar::new();

/// The fleet with its leaves declared and serving.
pub struct Scene {
    /// The fleet.
    pub fleet: Fleet,
    _permit: Permit,
}

/// The right to run a scene.
pub struct Permit;

impl Permit {
    /// Waits for the right to run a scene.
    pub fn take() -> Permit {
        let scenes = SCENES.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = SCENE_ENDED.wait_while(scenes, |scenes| *scenes >= MOST_SCENES);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *SCENES.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        SCENE_ENDED.notify_one();
    }
}

/// Runs a check for each case, as many at once as scenes may run.
pub fn for_each<C: std::fmt::Debug + Sync>(cases: &[C], check: impl Fn(&C) + Sync) {
    let failed: Vec<String> = std::thread::scope(|scope| {
        let runs: Vec<_> = cases
            .iter()
            .map(|case| (case, scope.spawn(|| check(case))))
            .collect();
        let ended = runs.into_iter().map(|(case, run)| (case, run.join()));
        let failed = ended.filter(|(_, end)| end.is_err());
        failed.map(|(case, _)| format!("{case:?}")).collect()
    });
    assert!(failed.is_empty(), "failed cases: {failed:?}");
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
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount"))
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

fn behaviour(shard: &str) -> Behaviour {
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

fn orders() -> Value {
    let shard = json!({"name": "1", "replicas": ["orders-1", "orders-2"]});
    service("orders", &[shard], "coverage")
}

fn service(name: &str, shards: &[Value], prefer: &str) -> Value {
    json!({
        "name": name,
        "shards": shards,
        "deadline_ms": DEADLINE_MS,
        "max_deadline_ms": 10_000,
        "prefer": prefer,
    })
}

/// Something that fails for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// The owners of the far leaves are cut off from the entry VM.
    CutOwners,
    /// Nothing gets from the entry VM to the owners.
    CutTowardsOwners,
    /// Nothing gets back from the owners to the entry VM.
    CutFromOwners,
    /// Every leaf of `far` is cut off from the VMs.
    CutLeaves,
    /// The entry VM is frozen past every timeout.
    FreezeEntry,
    /// Every leaf of `far` is frozen past every timeout.
    FreezeLeaves,
    /// One owner is frozen past every timeout; its leaves move meanwhile.
    FreezeOwner,
    /// The entry VM is killed and another one takes its place.
    KillEntry,
    /// Every leaf of `far` is killed and comes back.
    KillLeaves,
    /// One owner is killed.
    KillOwner,
    /// The platform's service loses the replies to writes that took effect.
    LosePlatformReplies,
    /// The platform's service answers that it is out.
    RefusePlatform,
    /// Open connections to leaves go silent for good.
    SilenceLeaves,
    /// Open connections between VMs go silent for good.
    SilencePeers,
    /// The platform's service takes calls and does not answer.
    SilencePlatform,
}

impl Trouble {
    /// Troubles of the platform.
    pub const PLATFORM: [Trouble; 3] = [
        Trouble::LosePlatformReplies,
        Trouble::RefusePlatform,
        Trouble::SilencePlatform,
    ];

    /// Troubles that come together.
    pub const PAIRS: [[Trouble; 2]; 6] = [
        [Trouble::KillOwner, Trouble::SilencePlatform],
        [Trouble::FreezeOwner, Trouble::CutOwners],
        [Trouble::FreezeEntry, Trouble::LosePlatformReplies],
        [Trouble::KillEntry, Trouble::RefusePlatform],
        [Trouble::SilenceLeaves, Trouble::KillOwner],
        [Trouble::FreezeLeaves, Trouble::CutFromOwners],
    ];

    /// Troubles on the path of a request.
    pub const PATH: [Trouble; 12] = [
        Trouble::CutOwners,
        Trouble::CutTowardsOwners,
        Trouble::CutFromOwners,
        Trouble::CutLeaves,
        Trouble::FreezeEntry,
        Trouble::FreezeLeaves,
        Trouble::FreezeOwner,
        Trouble::KillEntry,
        Trouble::KillLeaves,
        Trouble::KillOwner,
        Trouble::SilenceLeaves,
        Trouble::SilencePeers,
    ];

    /// Lets it begin.
    pub fn begin(self, fleet: &mut Fleet) {
        let (near, far) = (Place::domain("near"), Place::domain("far"));
        match self {
            Trouble::CutOwners => fleet.cut(&near, &far),
            Trouble::CutTowardsOwners => fleet.cut_one_way(&near, &far),
            Trouble::CutFromOwners => fleet.cut_one_way(&far, &near),
            Trouble::CutLeaves => set_leaf_flow(fleet, Flow::Cut),
            Trouble::FreezeEntry => fleet.freeze(ENTRY),
            Trouble::FreezeOwner => fleet.freeze(OWNERS[0]),
            Trouble::KillEntry => fleet.kill(ENTRY),
            Trouble::KillOwner => fleet.kill(OWNERS[0]),
            Trouble::FreezeLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf(name).leaf.freeze())
            }
            Trouble::KillLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf_mut(name).leaf.kill())
            }
            Trouble::SilenceLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf(name).proxy.silence_open());
            }
            Trouble::LosePlatformReplies => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = LOST_REPLIES);
            }
            Trouble::RefusePlatform => set_outage(fleet, Outage::Refuse),
            Trouble::SilencePlatform => set_outage(fleet, Outage::Silence),
            Trouble::SilencePeers => {
                for vm in fleet.running() {
                    vm.peer_proxy.silence_open();
                }
            }
        }
    }

    /// Lets it end.
    pub fn end(self, fleet: &mut Fleet) {
        match self {
            Trouble::CutOwners | Trouble::CutTowardsOwners | Trouble::CutFromOwners => fleet.heal(),
            Trouble::CutLeaves => set_leaf_flow(fleet, Flow::Open),
            Trouble::FreezeEntry => fleet.thaw(ENTRY),
            Trouble::FreezeOwner => fleet.thaw(OWNERS[0]),
            Trouble::FreezeLeaves => far_leaves(fleet, |name, fleet| fleet.leaf(name).leaf.thaw()),
            Trouble::KillEntry => {
                fleet.add_vm("near").expect("VM starts");
            }
            Trouble::KillLeaves => far_leaves(fleet, |name, fleet| {
                fleet
                    .leaf_mut(name)
                    .leaf
                    .revive()
                    .expect("leaf starts again");
            }),
            Trouble::LosePlatformReplies => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = 0);
            }
            Trouble::RefusePlatform | Trouble::SilencePlatform => set_outage(fleet, Outage::None),
            Trouble::KillOwner | Trouble::SilenceLeaves | Trouble::SilencePeers => {}
        }
    }
}

fn set_outage(fleet: &Fleet, outage: Outage) {
    fleet.platform.change(|behaviour| behaviour.outage = outage);
}

fn set_leaf_flow(fleet: &mut Fleet, flow: Flow) {
    far_leaves(fleet, |name, fleet| {
        fleet.leaf(name).proxy.change_all(|link| {
            link.forward = flow;
            link.back = flow;
        });
    });
}

fn far_leaves(fleet: &mut Fleet, act: impl Fn(&str, &mut Fleet)) {
    let far = fleet
        .leaves
        .iter()
        .filter(|other| other.failure_domain == "far");
    let names: Vec<String> = far.map(|other| other.leaf.name().to_string()).collect();
    for name in names {
        act(&name, fleet);
    }
}
