//! Starts a fleet of six VMs in three failure domains, and callers that reach them through a
//! simulated load balancer.
//!
//! Requests go only to VMs that report ready. The service `tickets` has four
//! shards and `orders` has one; each shard has two replicas in different failure domains.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};

use crate::cases::Permit;
use crate::client::Client;
use crate::fleet::{CONVERGENCE_TIMEOUT, Fleet, Plan, wait_until};
use crate::leaf::{Behaviour, Delay};
use crate::process;
use crate::proxy::Link;

/// Failure domains; two VMs start in each.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS_PER_DOMAIN: usize = 2;
const SHARDS: usize = 4;
const LEAF_DELAY: Duration = Duration::from_millis(10);
const CALLERS: usize = 4;
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const READINESS_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Lines in the settings file of each VM: for how long a stopping VM still accepts requests
/// (`linger_ms`), and the time after which it stops with requests in flight (`drain_ms`).
const LIMIT_SETTINGS: &str = "[limits]\nlinger_ms = 1500\ndrain_ms = 10000\n";

/// Starts the fleet and waits until every VM serves both services. The returned permit limits how
/// many test fleets run at once and must be kept for as long as this one runs.
pub fn start(seed: u64) -> (Permit, Fleet) {
    let permit = Permit::acquire();
    let fleet = Fleet::start(plan(seed)).expect("fleet starts");
    let first = &fleet.vm_names()[0];
    fleet.apply_with_leaves(first, &[tickets(), orders()]);
    wait_until_serving(&fleet);
    (permit, fleet)
}

fn plan(seed: u64) -> Plan {
    let link = Link {
        delay: Duration::from_millis(4),
        jitter: Duration::from_millis(1),
        ..Link::default()
    };
    let mut plan = Plan::new(process::binary_path("geraniummount"))
        .seed(seed)
        .settings(LIMIT_SETTINGS)
        .inter_domain_link(link);
    for domain in DOMAINS {
        plan = plan.domain(domain, VMS_PER_DOMAIN);
    }
    for shard in 0..SHARDS {
        for replica in 0..2 {
            let domain = DOMAINS[(shard + replica) % DOMAINS.len()];
            let name = format!("tickets-{shard}-{replica}");
            plan = plan.leaf(&name, domain, behaviour(&format!("tickets/{shard}")));
        }
    }
    plan.leaf("orders-0", "a", behaviour("orders/0"))
        .leaf("orders-1", "b", behaviour("orders/0"))
}

fn behaviour(shard: &str) -> Behaviour {
    Behaviour {
        slots: 8,
        delay: Delay {
            median: LEAF_DELAY,
            ..Delay::default()
        },
        shards: vec![shard.to_owned()],
        ..Behaviour::default()
    }
}

fn tickets() -> Value {
    let shard = |shard: usize| {
        let replicas = [0, 1].map(|replica| format!("tickets-{shard}-{replica}"));
        json!({"name": shard.to_string(), "replicas": replicas})
    };
    service("tickets", (0..SHARDS).map(shard).collect())
}

fn orders() -> Value {
    let shard = json!({"name": "0", "replicas": ["orders-0", "orders-1"]});
    service("orders", vec![shard])
}

/// Returns the spec of a service with the settings that this fleet uses.
pub fn service(name: &str, shards: Vec<Value>) -> Value {
    json!({
        "name": name,
        "shards": shards,
        "deadline_ms": 4_000,
        "max_deadline_ms": 10_000,
        "prefer": "coverage",
        "extra_percent": 10,
    })
}

/// Waits until every running VM answers a [`Kind::Query`] with the results of all shards and a
/// [`Kind::Order`] with success.
///
/// Panics after [`CONVERGENCE_TIMEOUT`].
pub fn wait_until_serving(fleet: &Fleet) {
    for vm in fleet.running() {
        let is_serving = wait_until(CONVERGENCE_TIMEOUT, || {
            send(vm.caller, Kind::Query, "warm-up").is_complete()
                && send(vm.caller, Kind::Order, "warm-up").is_complete()
        });
        assert!(
            is_serving,
            "VM {} does not answer queries with all shards and orders with success",
            vm.name
        );
    }
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A query of all shards of `tickets`.
    Query,
    /// A non-idempotent request to `orders`.
    Order,
}

/// A request and the reply that its caller received.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of the request.
    pub kind: Kind,
    /// Request id that was sent.
    pub id: String,
    /// Address for callers of the VM that the request was sent to.
    pub target: SocketAddr,
    /// Status and body, or the error if no whole reply arrived.
    pub reply: Result<(u16, Value), String>,
}

impl Record {
    /// Returns whether the caller received a success with no shard missing.
    pub fn is_complete(&self) -> bool {
        match &self.reply {
            Ok((200, body)) => self.kind == Kind::Order || body["coverage"]["missing"] == json!([]),
            _ => false,
        }
    }

    /// Returns whether a whole reply arrived, be it a success or an error.
    pub fn has_reply(&self) -> bool {
        self.reply.is_ok()
    }
}

/// Sends one request and waits for its reply.
pub fn send(target: SocketAddr, kind: Kind, id: &str) -> Record {
    let client = Client::with_timeout(target, CALL_TIMEOUT);
    let (service, headers): (_, &[(&str, &str)]) = match kind {
        Kind::Query => ("tickets", &[]),
        Kind::Order => ("orders", &[("Idempotent", "false"), ("Shard", "0")]),
    };
    let headers: Vec<_> = headers
        .iter()
        .copied()
        .chain([("Request-Id", id)])
        .collect();
    let reply = client.query(service, &headers, &json!({ "id": id }));
    Record {
        kind,
        id: id.to_owned(),
        target,
        reply: reply
            .map(|reply| (reply.status, reply.body))
            .map_err(|error| error.to_string()),
    }
}

/// Caller threads that send requests to the ready VMs in turn until they are stopped, and a thread
/// that checks which VMs are ready. Together they simulate callers behind a load balancer.
pub struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    /// Addresses for callers of the VMs whose readiness is checked.
    targets: Mutex<Vec<SocketAddr>>,
    /// Targets that were ready at the last check.
    ready: Mutex<Vec<SocketAddr>>,
    /// Records of the requests that have ended.
    records: Mutex<Vec<Record>>,
    /// Number of the next request; it decides the kind, the target and the id.
    next_number: AtomicUsize,
    stopped: AtomicBool,
}

impl Callers {
    /// Starts the readiness checks and the callers, and waits until the first requests have ended.
    pub fn start(fleet: &Fleet) -> Callers {
        let shared = Arc::new(Shared::default());
        let callers = Callers {
            shared: Arc::clone(&shared),
            threads: Vec::new(),
        };
        callers.update_targets(fleet);
        shared.check_all_readiness();
        let balancer = Arc::clone(&shared);
        let mut threads = vec![std::thread::spawn(move || balancer.run_balancer())];
        for _ in 0..CALLERS {
            let caller = Arc::clone(&shared);
            threads.push(std::thread::spawn(move || caller.run_caller()));
        }
        let callers = Callers { shared, threads };
        callers.wait_for_more(20);
        callers
    }

    /// Sets the VMs whose readiness is checked to those that run now.
    pub fn update_targets(&self, fleet: &Fleet) {
        let running = fleet.running().map(|vm| vm.caller);
        *lock(&self.shared.targets) = running.collect();
    }

    /// Waits until `count` more requests have ended. Panics after [`CONVERGENCE_TIMEOUT`].
    pub fn wait_for_more(&self, count: usize) {
        let target_count = lock(&self.shared.records).len() + count;
        let is_reached = wait_until(CONVERGENCE_TIMEOUT, || {
            lock(&self.shared.records).len() >= target_count
        });
        assert!(
            is_reached,
            "fewer than {count} further requests ended before the timeout"
        );
    }

    /// Stops the callers, waits for their requests in flight and returns the records of all
    /// requests.
    pub fn stop(self) -> Vec<Record> {
        self.shared.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            thread
                .join()
                .expect("a caller or the readiness checks panicked");
        }
        std::mem::take(&mut *lock(&self.shared.records))
    }
}

impl Shared {
    /// Checks the readiness of all targets concurrently, so that an unresponsive VM does not delay
    /// the checks of the others.
    fn check_all_readiness(&self) {
        let targets = lock(&self.targets).clone();
        std::thread::scope(|scope| {
            for target in &targets {
                scope.spawn(|| self.check_readiness(*target));
            }
        });
        lock(&self.ready).retain(|target| targets.contains(target));
    }

    fn check_readiness(&self, target: SocketAddr) {
        let client = Client::with_timeout(target, READINESS_CHECK_TIMEOUT);
        let is_ready = client.get("/ready").is_ok_and(|reply| reply.is_success());
        let mut ready = lock(&self.ready);
        ready.retain(|other| *other != target);
        if is_ready {
            ready.push(target);
        }
    }

    fn run_balancer(&self) {
        while !self.stopped.load(Ordering::Acquire) {
            self.check_all_readiness();
            std::thread::sleep(READINESS_CHECK_INTERVAL);
        }
    }

    fn run_caller(&self) {
        while !self.stopped.load(Ordering::Acquire) {
            std::thread::sleep(REQUEST_INTERVAL);
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let ready = lock(&self.ready).clone();
            if ready.is_empty() {
                continue;
            }
            let kind = if number.is_multiple_of(3) {
                Kind::Order
            } else {
                Kind::Query
            };
            let target = ready[number % ready.len()];
            let record = send(target, kind, &format!("{kind:?}-{number}"));
            lock(&self.records).push(record);
        }
    }
}

/// Returns how many times the leaves ran the request with this id.
pub fn execution_count(fleet: &Fleet, id: &str) -> usize {
    let logs = fleet
        .leaves
        .iter()
        .flat_map(|proxied_leaf| proxied_leaf.leaf.log());
    logs.filter(|entry| entry.request == id).count()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
