//! Guards against refusals of requests that run: a leaf rejects an order as its time ends, and the
//! gateway sends the order to a second leaf at the moment at which it answers that it has not run.

use std::collections::BTreeSet;
use std::io::Write;
use std::time::Duration;

use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Answer, Leaf};

use super::fixture::{Fixture, connect, leaf, service_route};

const LEAVES: usize = 6;
const CALLERS: usize = 12;
const ORDERS_PER_CALLER: usize = 150;

/// Time after which an order that was under way has arrived at a leaf.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// Sends orders with times of 20 to 120 ms; returns the ids of those that were refused.
fn send_orders(fixture: &Fixture, caller: usize) -> Vec<String> {
    let mut refused = Vec::new();
    for number in 0..ORDERS_PER_CALLER {
        let id = format!("order-{caller}-{number}");
        let deadline_ms = 20 + (caller * 7 + number * 13) % 100;
        let order = format!(
            "POST /order/x HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: 1\r\n\r\n1",
            super::fixture::HOST
        );
        let mut stream = connect(fixture.callers_address);
        stream.write_all(order.as_bytes()).unwrap();
        let reply = Reply::read(&mut stream).unwrap();
        if reply.status == 503 {
            refused.push(id);
        }
    }
    refused
}

#[test]
fn platform_orders_that_leaves_reject_as_their_time_ends_do_not_run_after_a_refusal() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/order/", "non_idempotent", "one")]);
    let leaves: Vec<Leaf> = (0..LEAVES).map(|_| leaf(&fixture, "one", b"1")).collect();
    fixture.wait_for_leaf("/order/x");
    for leaf in &leaves {
        leaf.set_answer(Answer::OftenExpired);
    }
    let refused: Vec<String> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let fixture = &fixture;
                scope.spawn(move || send_orders(fixture, caller))
            })
            .collect();
        let refused = callers.into_iter().map(|caller| caller.join().unwrap());
        refused.flatten().collect()
    });
    std::thread::sleep(SETTLING_TIME);
    let ran: BTreeSet<String> = leaves.iter().flat_map(Leaf::runs).collect();
    let broken: Vec<&String> = refused.iter().filter(|id| ran.contains(*id)).collect();
    assert!(!refused.is_empty(), "no order was refused");
    assert!(
        broken.is_empty(),
        "of {} refused: {broken:?}",
        refused.len()
    );
}
