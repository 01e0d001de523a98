//! A leaf begins to work on orders, which may run only once, and fails them with status 503. It does
//! not say that they have not run.

use std::thread;
use std::time::Duration;

use crate::fleet::{Gateway, Terms};
use crate::leaf::{Ending, Leaves};
use crate::store::Store;
use crate::{Place, Verdict, client};

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"order","host":"shop.example","prefix":"/order/","type":"non_idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":1,"backend":"order","attempts":2}],"services":[{"name":"order","healthPath":"/health","maxConns":62,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Orders that are sent.
const ORDERS: usize = 40;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn play(place: &Place) -> Verdict {
    let record = &place.record;
    let store = Store::start();
    let leaves = Leaves::new(record);
    for (id, zone) in [("i-1", "za"), ("i-2", "zb")] {
        let leaf = leaves.start(id, zone, "order", 5..=5);
        store.put(&leaf.key(), &leaf.registration(1, "ready"));
    }
    store.put("op/config", CONFIG);
    let terms = Terms::default();
    let vm = ("a1", "za");
    let mut gateway = Gateway::start(&place.root, &place.scratch, vm, 1, store.address, &terms);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record.say("the gateway is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let (mut answered, mut broken) = (0, 0);
    for number in 0..ORDERS {
        let fails = place.has_trouble && number % 4 == 3;
        leaves.set_ending(match fails {
            true => Ending::Failure(503),
            false => Ending::Success,
        });
        let Ok(mut connection) = client::connect(gateway.front, Duration::from_secs(3)) else {
            continue;
        };
        let id = client::next_id();
        let line = ("POST", "/order/2f");
        let answer = client::ask(&mut connection, line, &id, Duration::from_secs(2));
        let status = answer.map_or(0, |answer| answer.status());
        let runs = leaves.runs_of(&id).len();
        record.add(&format!("sent request={id} answered={status} runs={runs}"));
        answered += usize::from(status != 0);
        broken += usize::from(runs > 0 && PROMISES.contains(&status));
    }
    record.say(&format!(
        "orders={ORDERS} answered={answered} refused and run={broken}"
    ));
    match (broken, answered) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
