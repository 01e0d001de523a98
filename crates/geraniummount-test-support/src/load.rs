//! Callers that send requests to every VM of a scene while something fails,
//! and remember what they were told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::{Client, Reply};
use crate::leaf::Fault;
use crate::scene::Scene;
use crate::trouble::Trouble;

/// Patience of a caller with one call, above the services' deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long callers send before a trouble, during it and after it.
const BEFORE: Duration = Duration::from_millis(400);
const DURING: Duration = Duration::from_millis(2_500);
const AFTER: Duration = Duration::from_millis(800);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

const CALLERS: usize = 6;

/// Reasons of a refusal that tells when to come back.
const COME_BACK: [&str; 3] = ["platform-down", "queue-full", "shed"];

/// Callers, rounds of each, and rounds between two faults, while leaves
/// misbehave.
const FAULT_CALLERS: usize = 4;
const FAULT_ROUNDS: usize = 40;
const FAULT_PERIOD: usize = 5;

/// What the callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Queries of all shards of `parts`.
    Queries,
    /// Non-idempotent requests to `orders`.
    Orders,
    /// Non-idempotent requests to `orders`, each sent twice at a time with one
    /// key through two VMs, and once more later through a third.
    KeyedOrders,
}

/// One request and what its caller was told.
#[derive(Clone, Debug)]
pub struct Record {
    /// The `id` in the body; with a key, all sends of one key share it.
    pub id: String,
    /// Request id that was sent.
    pub request: String,
    /// What came back.
    pub told: Told,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub enum Told {
    /// A whole answer.
    Answer(Value),
    /// A failure with its verdict.
    Failure {
        /// Verdict as it was written.
        verdict: String,
        /// Reason as it was written.
        reason: String,
    },
    /// No whole reply.
    Nothing,
}

impl Record {
    /// Returns the answer, where there is one.
    pub fn answer(&self) -> Option<&Value> {
        match &self.told {
            Told::Answer(body) => Some(body),
            Told::Failure { .. } | Told::Nothing => None,
        }
    }

    /// Returns verdict and reason of a failure.
    pub fn failure(&self) -> Option<(&str, &str)> {
        match &self.told {
            Told::Failure { verdict, reason } => Some((verdict, reason)),
            Told::Answer(_) | Told::Nothing => None,
        }
    }

    /// Returns whether the caller was told that the request did not run.
    pub fn was_told_not_run(&self) -> bool {
        self.failure()
            .is_some_and(|(verdict, _)| verdict == "not-run")
    }
}

/// Sends requests while troubles begin together and end; returns every record
/// once all that was held back has been handled and the fleet serves again.
pub fn run_through(scene: &mut Scene, troubles: &[Trouble], kind: Kind) -> Vec<Record> {
    let addresses: Vec<SocketAddr> = scene.fleet.running().map(|vm| vm.caller).collect();
    let stop = AtomicBool::new(false);
    let number = AtomicUsize::new(0);
    let records = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| send_until(&addresses, kind, &stop, &number)))
            .collect();
        std::thread::sleep(BEFORE);
        for trouble in troubles {
            trouble.begin(&mut scene.fleet);
        }
        std::thread::sleep(DURING);
        for trouble in troubles.iter().rev() {
            trouble.end(&mut scene.fleet);
        }
        std::thread::sleep(AFTER);
        stop.store(true, Ordering::Relaxed);
        let records = callers
            .into_iter()
            .map(|caller| caller.join().expect("caller"));
        records.flatten().collect()
    });
    scene.settle();
    scene.wait_whole();
    scene.check_connections();
    records
}

/// Every fault of a leaf, with each of some kinds of requests.
pub fn faults_with(kinds: &[Kind]) -> Vec<(Fault, Kind)> {
    let faults = [
        Fault::CloseAfterRead,
        Fault::CloseAfterRun,
        Fault::CloseBeforeRead,
        Fault::DuplicateReply,
        Fault::Late(Duration::from_millis(100)),
        Fault::Late(Duration::from_millis(700)),
        Fault::NoReply,
        Fault::Truncated,
        Fault::WrongAttempt,
        Fault::WrongSnapshot,
    ];
    let of_fault = |fault| kinds.iter().map(move |&kind| (fault, kind));
    faults.into_iter().flat_map(of_fault).collect()
}

/// Sends requests to all VMs while every few of them meet a fault at a leaf.
pub fn run_with_fault(scene: &Scene, fault: Fault, kind: Kind) -> Vec<Record> {
    let addresses: Vec<SocketAddr> = scene.fleet.running().map(|vm| vm.caller).collect();
    let number = AtomicUsize::new(0);
    let serve = || {
        let mut records = Vec::new();
        for _ in 0..FAULT_ROUNDS {
            let round = number.fetch_add(1, Ordering::Relaxed);
            if round.is_multiple_of(FAULT_PERIOD) {
                inject(scene, fault, kind, round / FAULT_PERIOD);
            }
            records.extend(send_round(&addresses, kind, round));
        }
        records
    };
    let records = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..FAULT_CALLERS).map(|_| scope.spawn(serve)).collect();
        let records = callers
            .into_iter()
            .map(|caller| caller.join().expect("caller"));
        records.flatten().collect()
    });
    scene.settle();
    scene.wait_whole();
    scene.check_connections();
    records
}

/// Lets the next request of one leaf of the kind's service meet a fault.
fn inject(scene: &Scene, fault: Fault, kind: Kind, turn: usize) {
    let leaves = scene.fleet.leaves.iter();
    let is_asked = |name: &str| name.starts_with(service(kind));
    let leaves: Vec<_> = leaves.filter(|other| is_asked(other.leaf.name())).collect();
    leaves[turn % leaves.len()].leaf.inject(fault, 1);
}

fn send_until(
    addresses: &[SocketAddr],
    kind: Kind,
    stop: &AtomicBool,
    number: &AtomicUsize,
) -> Vec<Record> {
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = number.fetch_add(1, Ordering::Relaxed);
        records.extend(send_round(addresses, kind, number));
        std::thread::sleep(PAUSE);
    }
    records
}

/// Sends one request, or with a key all of its copies.
fn send_round(addresses: &[SocketAddr], kind: Kind, number: usize) -> Vec<Record> {
    let address = |copy: usize| addresses[(number + copy) % addresses.len()];
    match kind {
        Kind::Queries | Kind::Orders => vec![send(address(0), kind, number, 0)],
        Kind::KeyedOrders => std::thread::scope(|scope| {
            let first = scope.spawn(|| send(address(0), kind, number, 0));
            let second = send(address(1), kind, number, 1);
            let first = first.join().expect("caller");
            vec![first, second, send(address(2), kind, number, 2)]
        }),
    }
}

fn service(kind: Kind) -> &'static str {
    match kind {
        Kind::Queries => "parts",
        Kind::Orders | Kind::KeyedOrders => "orders",
    }
}

/// Sends one copy of a request and notes what came back.
pub fn send(address: SocketAddr, kind: Kind, number: usize, copy: usize) -> Record {
    let id = format!("request-{number}");
    let request = format!("{id}-{copy}");
    let mut headers = vec![("Request-Id", request.as_str())];
    if kind != Kind::Queries {
        headers.extend([("Idempotent", "false"), ("Shard", "1")]);
    }
    if kind == Kind::KeyedOrders {
        headers.push(("Idempotency-Key", id.as_str()));
    }
    let client = Client::with_timeout(address, CALL_TIMEOUT);
    let reply = client.query(service(kind), &headers, &json!({ "id": id }));
    Record {
        told: reply.map_or(Told::Nothing, told),
        id,
        request,
    }
}

fn told(reply: Reply) -> Told {
    if reply.is_success() {
        return Told::Answer(reply.body);
    }
    let text = |key: &str| reply.body[key].as_str().unwrap_or_default().to_string();
    let verdict = text("verdict");
    assert_eq!(
        reply.header("Verdict"),
        Some(verdict.as_str()),
        "header and body differ: {}",
        reply.text
    );
    let reason = text("reason");
    assert!(
        !reason.is_empty(),
        "failure without a reason: {}",
        reply.text
    );
    let comes_back = verdict == "not-run" && COME_BACK.contains(&reason.as_str());
    if comes_back {
        assert!(reply.body["retry_after_ms"].is_u64(), "{}", reply.text);
        assert!(reply.header("Retry-After").is_some(), "{}", reply.text);
    }
    Told::Failure { verdict, reason }
}
