//! Callers that send requests to every VM of a scene while something fails,
//! and remember what they were told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use geraniummount_test_support::client::{Client, Reply};
use serde_json::{Value, json};

use crate::scene::{Scene, Trouble};

/// Patience of a caller with one call, above the services' deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long callers send before a trouble, during it and after it.
const BEFORE: Duration = Duration::from_millis(400);
const DURING: Duration = Duration::from_millis(2_500);
const AFTER: Duration = Duration::from_millis(800);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

const CALLERS: usize = 6;

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

fn send_until(
    addresses: &[SocketAddr],
    kind: Kind,
    stop: &AtomicBool,
    number: &AtomicUsize,
) -> Vec<Record> {
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let address = addresses[number % addresses.len()];
        match kind {
            Kind::Queries | Kind::Orders => records.push(send(address, kind, number, 0)),
            Kind::KeyedOrders => {
                let other = addresses[(number + 1) % addresses.len()];
                let both = std::thread::scope(|scope| {
                    let first = scope.spawn(|| send(address, kind, number, 0));
                    [send(other, kind, number, 1), first.join().expect("caller")]
                });
                records.extend(both);
                let third = addresses[(number + 2) % addresses.len()];
                records.push(send(third, kind, number, 2));
            }
        }
        std::thread::sleep(PAUSE);
    }
    records
}

/// Sends one copy of a request and notes what came back.
pub fn send(address: SocketAddr, kind: Kind, number: usize, copy: usize) -> Record {
    let id = format!("request-{number}");
    let request = format!("{id}-{copy}");
    let mut headers = vec![("Request-Id", request.as_str())];
    let service = match kind {
        Kind::Queries => "parts",
        Kind::Orders | Kind::KeyedOrders => {
            headers.extend([("Idempotent", "false"), ("Shard", "1")]);
            "orders"
        }
    };
    if kind == Kind::KeyedOrders {
        headers.push(("Idempotency-Key", id.as_str()));
    }
    let client = Client::with_timeout(address, CALL_TIMEOUT);
    let reply = client.query(service, &headers, &json!({ "id": id }));
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
    Told::Failure { verdict, reason }
}
