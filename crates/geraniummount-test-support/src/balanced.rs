//! A fleet of six VMs in three failure domains, with callers behind a
//! stand-in of the platform's balancer, which sends only to VMs that are
//! ready.
//!
//! Service `tickets` has four shards and `orders` one; each shard has two
//! replicas in different failure domains.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};

use crate::cases::Permit;
use crate::client::Client;
use crate::fleet::{Fleet, PATIENCE, Plan, wait_until};
use crate::leaf::{Behaviour, Delay};
use crate::process;
use crate::proxy::Link;

/// Failure domains, each with two VMs.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS_PER_DOMAIN: usize = 2;
const SHARDS: usize = 4;
const LEAF_DELAY: Duration = Duration::from_millis(10);
const CALLERS: usize = 4;
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(5);
const BALANCER_PERIOD: Duration = Duration::from_millis(100);
const BALANCER_TIMEOUT: Duration = Duration::from_millis(500);
const LIMITS: &str = "[limits]\nlinger_ms = 1500\ndrain_ms = 10000\n";

/// Starts the fleet with its services in force everywhere. The permit is held
/// as long as the fleet runs.
pub fn start(seed: u64) -> (Permit, Fleet) {
    let permit = Permit::take();
    let fleet = Fleet::start(plan(seed)).expect("fleet starts");
    let first = &fleet.vm_names()[0];
    fleet.apply_with_leaves(first, &[tickets(), orders()]);
    wait_whole(&fleet);
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
        .settings(LIMITS)
        .between(link);
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

/// A service with the fleet's deadlines.
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

/// Waits until every running VM answers with all shards and takes orders.
pub fn wait_whole(fleet: &Fleet) {
    for vm in fleet.running() {
        let whole = wait_until(PATIENCE, || {
            send(vm.caller, Kind::Query, "warm-up").is_good()
                && send(vm.caller, Kind::Order, "warm-up").is_good()
        });
        assert!(whole, "VM {} does not serve whole answers", vm.name);
    }
}

/// What a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A query of all shards of `tickets`.
    Query,
    /// A non-idempotent request to `orders`.
    Order,
}

/// A request and what its caller was told.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was sent.
    pub kind: Kind,
    /// Request id.
    pub id: String,
    /// VM to which it was sent.
    pub target: SocketAddr,
    /// Status and body; the error where no whole reply came.
    pub reply: Result<(u16, Value), String>,
}

impl Record {
    /// Whether the caller got its whole answer, with all shards.
    pub fn is_good(&self) -> bool {
        match &self.reply {
            Ok((200, body)) => self.kind == Kind::Order || body["coverage"]["missing"] == json!([]),
            _ => false,
        }
    }

    /// Whether the caller got a whole reply, good or not.
    pub fn is_answered(&self) -> bool {
        self.reply.is_ok()
    }
}

/// Sends one request.
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

/// Callers that send all the time, until they are stopped.
pub struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    /// VMs that the balancer knows.
    targets: Mutex<Vec<SocketAddr>>,
    /// Those among them that were ready when it last asked.
    ready: Mutex<Vec<SocketAddr>>,
    records: Mutex<Vec<Record>>,
    number: AtomicUsize,
    stopped: AtomicBool,
}

impl Callers {
    /// Starts balancer and callers; waits until the first answers have come.
    pub fn start(fleet: &Fleet) -> Callers {
        let shared = Arc::new(Shared::default());
        let callers = Callers {
            shared: Arc::clone(&shared),
            threads: Vec::new(),
        };
        callers.retarget(fleet);
        shared.balance();
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

    /// Tells the balancer of the VMs that run now.
    pub fn retarget(&self, fleet: &Fleet) {
        let running = fleet.running().map(|vm| vm.caller);
        *lock(&self.shared.targets) = running.collect();
    }

    /// Waits until `count` more requests have ended.
    pub fn wait_for_more(&self, count: usize) {
        let wanted = lock(&self.shared.records).len() + count;
        let came = wait_until(PATIENCE, || lock(&self.shared.records).len() >= wanted);
        assert!(came, "callers got no {count} replies");
    }

    /// Ends the callers once their last requests have ended.
    pub fn stop(self) -> Vec<Record> {
        self.shared.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("a caller panicked");
        }
        std::mem::take(&mut *lock(&self.shared.records))
    }
}

impl Shared {
    /// Asks each VM whether it is ready, so that none holds up the others.
    fn balance(&self) {
        let targets = lock(&self.targets).clone();
        std::thread::scope(|scope| {
            for target in &targets {
                scope.spawn(|| self.ask(*target));
            }
        });
        lock(&self.ready).retain(|target| targets.contains(target));
    }

    fn ask(&self, target: SocketAddr) {
        let client = Client::with_timeout(target, BALANCER_TIMEOUT);
        let is_ready = client.get("/ready").is_ok_and(|reply| reply.is_success());
        let mut ready = lock(&self.ready);
        ready.retain(|other| *other != target);
        if is_ready {
            ready.push(target);
        }
    }

    fn run_balancer(&self) {
        while !self.stopped.load(Ordering::Acquire) {
            self.balance();
            std::thread::sleep(BALANCER_PERIOD);
        }
    }

    fn run_caller(&self) {
        while !self.stopped.load(Ordering::Acquire) {
            std::thread::sleep(PAUSE);
            let number = self.number.fetch_add(1, Ordering::Relaxed);
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

/// Counts how often an order ran.
pub fn runs(fleet: &Fleet, id: &str) -> usize {
    let logs = fleet.leaves.iter().flat_map(|other| other.leaf.log());
    logs.filter(|entry| entry.request == id).count()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
