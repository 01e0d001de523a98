//! Guards against refusals of requests that run: a leaf rejects an order as its time ends, and the
//! gateway sends the order to a second leaf at the moment at which it answers that it has not run; or
//! a rejection without an id comes a second time, late, and is taken for that of the next order.

use std::collections::BTreeSet;
use std::io::Write;
use std::time::Duration;

use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Answer, Leaf};

use super::fixture::{Fixture, HOST, connect, leaf, service_route};

const LEAVES: usize = 6;
const CALLERS: usize = 12;
const ORDERS_PER_CALLER: usize = 150;

/// Time after which an order that was under way has arrived at a leaf.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// Sends an order; returns the status of the answer.
fn send_order(fixture: &Fixture, id: &str, deadline_ms: usize) -> u16 {
    let order = format!(
        "POST /order/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: 1\r\n\r\n1"
    );
    let mut stream = connect(fixture.callers_address);
    stream.write_all(order.as_bytes()).unwrap();
    Reply::read(&mut stream).unwrap().status
}

/// Sends orders with times of 20 to 120 ms; returns the ids of those that were refused.
fn send_orders(fixture: &Fixture, caller: usize) -> Vec<String> {
    let mut refused = Vec::new();
    for number in 0..ORDERS_PER_CALLER {
        let id = format!("order-{caller}-{number}");
        let deadline_ms = 20 + (caller * 7 + number * 13) % 100;
        if send_order(fixture, &id, deadline_ms) == 503 {
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

#[test]
fn platform_orders_are_not_taken_for_rejected_by_a_second_copy_of_an_earlier_answer() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/order/", "non_idempotent", "one")]);
    let leaves: Vec<Leaf> = (0..2).map(|_| leaf(&fixture, "one", b"1")).collect();
    fixture.wait_for_leaf("/order/x");
    for leaf in &leaves {
        leaf.set_answer(Answer::RejectedTwice);
    }
    for number in 0..40 {
        let id = format!("order-{number}");
        let status = send_order(&fixture, &id, 1_000);
        let runs = leaves.iter().flat_map(Leaf::runs).filter(|run| *run == id);
        let runs = runs.count();
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(status != 503 || runs == 0, "{id} was refused and ran");
    }
}
