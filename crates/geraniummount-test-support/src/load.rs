//! Sends requests to every VM of a testbed during disruptions or leaf faults, and records the
//! replies.
//!
//! The verdict of a failed request says whether it was not run, may have run, or ran. A round is
//! one request or, for orders with an idempotency key, all copies of one request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::{Client, Reply};
use crate::disruption::Disruption;
use crate::leaf::Fault;
use crate::testbed::Testbed;

/// Timeout of one call, above the services' deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long callers send before the disruptions begin, while they last and after they end.
const STEADY_TIME: Duration = Duration::from_millis(400);
const DISRUPTION_TIME: Duration = Duration::from_millis(2_500);
const RECOVERY_TIME: Duration = Duration::from_millis(800);

/// Delay of a caller between a reply and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

const CALLERS: usize = 6;

/// Reasons of a failure with verdict `not-run` that carries the time after which to retry.
const RETRY_AFTER_REASONS: [&str; 3] = ["platform-down", "queue-full", "shed"];

/// Number of callers during leaf faults.
const FAULT_CALLERS: usize = 4;

/// Number of rounds of each caller during leaf faults.
const ROUNDS_PER_CALLER: usize = 40;

/// Number of rounds, over all callers, after which the next leaf fault is injected.
const ROUNDS_PER_FAULT: usize = 5;

/// Kind of the requests that callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Queries of all shards of `parts`.
    Queries,
    /// Non-idempotent requests to `orders`.
    Orders,
    /// Non-idempotent requests to `orders` with an idempotency key. Each is sent concurrently
    /// through two VMs with the same key, and then once more through a third.
    KeyedOrders,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// The `id` in the body. All copies of a request with an idempotency key share it.
    pub id: String,
    /// Request id, different for each copy.
    pub request_id: String,
    /// Outcome that the caller saw.
    pub outcome: Outcome,
}

/// Outcome of a request for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A success, with its body.
    Answer(Value),
    /// An error reply.
    Failure {
        /// Verdict as sent.
        verdict: String,
        /// Reason as sent.
        reason: String,
    },
    /// No complete reply arrived before the timeout or the end of the connection.
    NoReply,
}

impl Record {
    /// Returns the body of a success.
    pub fn answer(&self) -> Option<&Value> {
        match &self.outcome {
            Outcome::Answer(body) => Some(body),
            Outcome::Failure { .. } | Outcome::NoReply => None,
        }
    }

    /// Returns the verdict and the reason of an error reply.
    pub fn failure(&self) -> Option<(&str, &str)> {
        match &self.outcome {
            Outcome::Failure { verdict, reason } => Some((verdict, reason)),
            Outcome::Answer(_) | Outcome::NoReply => None,
        }
    }

    /// Returns whether the reply has the verdict that the request did not run.
    pub fn is_reported_not_run(&self) -> bool {
        self.failure()
            .is_some_and(|(verdict, _)| verdict == "not-run")
    }
}

/// Sends requests while all disruptions begin together and later end. Returns the records of all
/// requests after delayed messages have been handled and the fleet serves again.
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

/// Returns every fault of a leaf combined with each of the given kinds of requests.
pub fn fault_cases(kinds: &[Kind]) -> Vec<(Fault, Kind)> {
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

/// Sends requests to all VMs and injects a leaf fault once in `ROUNDS_PER_FAULT` rounds.
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

/// Injects a fault into the next request at one leaf of the kind's service; `leaf_index` selects
/// the leaf, modulo their number.
fn inject(testbed: &Testbed, fault: Fault, kind: Kind, leaf_index: usize) {
    let leaves = testbed.fleet.leaves.iter();
    let serves_kind = |name: &str| name.starts_with(service(kind));
    let leaves: Vec<_> = leaves
        .filter(|proxied_leaf| serves_kind(proxied_leaf.leaf.name()))
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

/// Sends one request, or all copies of a request with an idempotency key.
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

/// Sends one copy of a request and records its outcome.
pub fn send(address: SocketAddr, kind: Kind, number: usize, copy: usize) -> Record {
    send_with(address, kind, number, copy, None)
}

/// Sends a query with a deadline of its own and records its outcome.
pub fn send_query_within(address: SocketAddr, number: usize, deadline: Duration) -> Record {
    send_with(address, Kind::Queries, number, 0, Some(deadline))
}

fn send_with(
    address: SocketAddr,
    kind: Kind,
    number: usize,
    copy: usize,
    deadline: Option<Duration>,
) -> Record {
    let id = format!("request-{number}");
    let request = format!("{id}-{copy}");
    let mut headers = vec![("Request-Id", request.as_str())];
    if kind != Kind::Queries {
        headers.extend([("Idempotent", "false"), ("Shard", "1")]);
    }
    if kind == Kind::KeyedOrders {
        headers.push(("Idempotency-Key", id.as_str()));
    }
    let deadline_ms = deadline.map(|deadline| deadline.as_millis().to_string());
    if let Some(deadline_ms) = &deadline_ms {
        headers.push(("Deadline-Ms", deadline_ms));
    }
    let timeout = CALL_TIMEOUT + deadline.unwrap_or_default();
    let client = Client::with_timeout(address, timeout);
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
        "the Verdict header and the body differ: {}",
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
