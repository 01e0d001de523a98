//! Callers that send requests to every VM of a scene while something fails,
//! and remember what they were told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::{Client, Reply};
use crate::disruption::Disruption;
use crate::leaf::Fault;
use crate::testbed::Testbed;

/// Patience of a caller with one call, above the services' deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long callers send before a trouble, during it and after it.
const STEADY_TIME: Duration = Duration::from_millis(400);
const DISRUPTION_TIME: Duration = Duration::from_millis(2_500);
const RECOVERY_TIME: Duration = Duration::from_millis(800);

/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

const CALLERS: usize = 6;

/// Reasons of a refusal that tells when to come back.
const RETRY_AFTER_REASONS: [&str; 3] = ["platform-down", "queue-full", "shed"];

/// Callers, rounds of each, and rounds between two faults, while leaves
/// misbehave.
const FAULT_CALLERS: usize = 4;
const ROUNDS_PER_CALLER: usize = 40;
const ROUNDS_PER_FAULT: usize = 5;

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
    pub request_id: String,
    /// What came back.
    pub outcome: Outcome,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub enum Outcome {
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
    NoReply,
}

impl Record {
    /// Returns the answer, where there is one.
    pub fn answer(&self) -> Option<&Value> {
        match &self.outcome {
            Outcome::Answer(body) => Some(body),
            Outcome::Failure { .. } | Outcome::NoReply => None,
        }
    }

    /// Returns verdict and reason of a failure.
    pub fn failure(&self) -> Option<(&str, &str)> {
        match &self.outcome {
            Outcome::Failure { verdict, reason } => Some((verdict, reason)),
            Outcome::Answer(_) | Outcome::NoReply => None,
        }
    }

    /// Returns whether the caller was told that the request did not run.
    pub fn is_reported_not_run(&self) -> bool {
        self.failure()
            .is_some_and(|(verdict, _)| verdict == "not-run")
    }
}

/// Sends requests while troubles begin together and end; returns every record
/// once all that was held back has been handled and the fleet serves again.
pub fn run_with_disruptions(
    testbed: &mut Testbed,
    disruptions: &[Disruption],
    kind: Kind,
) -> Vec<Record> {
    let addresses: Vec<SocketAddr> = testbed.fleet.running().map(|vm| vm.caller).collect();
    let stop = AtomicBool::new(false);
    let number = AtomicUsize::new(0);
    let records = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| send_until(&addresses, kind, &stop, &number)))
            .collect();
        std::thread::sleep(STEADY_TIME);
        for disruption in disruptions {
            disruption.begin(&mut testbed.fleet);
        }
        std::thread::sleep(DISRUPTION_TIME);
        for disruption in disruptions.iter().rev() {
            disruption.end(&mut testbed.fleet);
        }
        std::thread::sleep(RECOVERY_TIME);
        stop.store(true, Ordering::Relaxed);
        let records = callers
            .into_iter()
            .map(|caller| caller.join().expect("caller"));
        records.flatten().collect()
    });
    testbed.settle();
    testbed.wait_until_serving();
    testbed.check_connections();
    records
}

/// Every fault of a leaf, with each of some kinds of requests.
pub fn fault_cases(kinds: &[Kind]) -> Vec<(Fault, Kind)> {
    let faults = [
        Fault::CloseAfterRead,
        Fault::CloseAfterRun,
        Fault::CloseBeforeRead,
        Fault::DoubledReply,
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
pub fn run_with_fault(testbed: &Testbed, fault: Fault, kind: Kind) -> Vec<Record> {
    let addresses: Vec<SocketAddr> = testbed.fleet.running().map(|vm| vm.caller).collect();
    let number = AtomicUsize::new(0);
    let serve = || {
        let mut records = Vec::new();
        for _ in 0..ROUNDS_PER_CALLER {
            let round = number.fetch_add(1, Ordering::Relaxed);
            if round.is_multiple_of(ROUNDS_PER_FAULT) {
                inject(testbed, fault, kind, round / ROUNDS_PER_FAULT);
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
    testbed.settle();
    testbed.wait_until_serving();
    testbed.check_connections();
    records
}

/// Lets the next request of one leaf of the kind's service meet a fault.
fn inject(testbed: &Testbed, fault: Fault, kind: Kind, leaf_index: usize) {
    let leaves = testbed.fleet.leaves.iter();
    let serves_kind = |name: &str| name.starts_with(service(kind));
    let leaves: Vec<_> = leaves
        .filter(|proxied| serves_kind(proxied.leaf.name()))
        .collect();
    leaves[leaf_index % leaves.len()].leaf.inject(fault, 1);
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
        std::thread::sleep(REQUEST_INTERVAL);
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
        outcome: reply.map_or(Outcome::NoReply, outcome),
        id,
        request_id: request,
    }
}

fn outcome(reply: Reply) -> Outcome {
    if reply.is_success() {
        return Outcome::Answer(reply.body);
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
    let has_retry_after = verdict == "not-run" && RETRY_AFTER_REASONS.contains(&reason.as_str());
    if has_retry_after {
        assert!(reply.body["retry_after_ms"].is_u64(), "{}", reply.text);
        assert!(reply.header("Retry-After").is_some(), "{}", reply.text);
    }
    Outcome::Failure { verdict, reason }
}
