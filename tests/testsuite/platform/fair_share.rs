//! Guards against requests to one service that wait for leaves without capacity: with tenants, they
//! are refused at once as not run, lower priorities first; without tenants, all go to the leaves.

use std::collections::BTreeSet;
use std::io::Write;
use std::time::Duration;

use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Answer, Leaf};
use serde_json::{Value, json};

use super::fixture::{Fixture, HOST, connect, document, leaf, service_route};

/// Orders that each tenant sends while the leaf rejects all.
const ORDERS: usize = 40;

/// Interval between two orders, after which a leaf that rejects is tried again.
const ORDER_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a gateway with one leaf; tenant `first` comes before `last`.
fn start(has_tenants: bool) -> (Fixture, Leaf) {
    let fixture = Fixture::start();
    let routes = [service_route("/order/", "non_idempotent", "one")];
    let mut document: Value = serde_json::from_str(&document(1, &routes)).unwrap();
    if has_tenants {
        document["tenants"] = json!([
            {"name": "first", "apiKeys": ["key-first"], "priority": 0},
            {"name": "last", "apiKeys": ["key-last"], "priority": 5},
        ]);
    }
    fixture.store.put("op/config", document.to_string());
    let leaf = leaf(&fixture, "one", b"1");
    fixture.wait_until(|fixture| send_order(fixture, "warm", "first").status == 200);
    (fixture, leaf)
}

fn send_order(fixture: &Fixture, id: &str, tenant: &str) -> Reply {
    send_order_within(fixture, id, tenant, 2000)
}

fn send_order_within(fixture: &Fixture, id: &str, tenant: &str, deadline_ms: u64) -> Reply {
    let order = format!(
        "POST /order/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Token key-{tenant}\r\nContent-Length: 1\r\n\r\n1"
    );
    let mut stream = connect(fixture.callers_address);
    stream.write_all(order.as_bytes()).unwrap();
    Reply::read(&mut stream).unwrap()
}

/// Sends orders of both tenants in turn; returns how many of each were refused without an attempt.
fn count_shed(fixture: &Fixture, leaf: &Leaf) -> [usize; 2] {
    let mut refused: [BTreeSet<String>; 2] = Default::default();
    for number in 0..ORDERS {
        for (tenant, refused) in ["first", "last"].iter().zip(&mut refused) {
            std::thread::sleep(ORDER_INTERVAL);
            let id = format!("{tenant}-{number}");
            let reply = send_order(fixture, &id, tenant);
            assert_eq!(reply.status, 503, "{id}");
            assert!(reply.field("Retry-After").is_some(), "{id}");
            refused.insert(id);
        }
    }
    let arrived: BTreeSet<String> = leaf.arrivals().into_iter().map(|run| run.id).collect();
    assert!(
        leaf.runs().iter().all(|id| id == "warm"),
        "a refused order ran"
    );
    refused.map(|refused| refused.difference(&arrived).count())
}

#[test]
fn platform_fair_share_refuses_orders_that_leaves_have_no_capacity_for() {
    let (fixture, leaf) = start(true);
    leaf.set_answer(Answer::Rejected);
    let [first, last] = count_shed(&fixture, &leaf);
    assert!(first + last > ORDERS / 3, "{first} and {last} of {ORDERS}");
    assert!(last > first + 5, "{first} and {last} of {ORDERS}");
    assert!(last < ORDERS, "all orders of the last priority are refused");
    leaf.set_answer(Answer::Whole);
    let is_served = |tenant| {
        move |fixture: &Fixture| {
            (0..10)
                .all(|number| send_order(fixture, &format!("later-{number}"), tenant).status == 200)
        }
    };
    fixture.wait_until(is_served("first"));
    fixture.wait_until(is_served("last"));
}

#[test]
fn platform_fair_share_without_tenants_sheds_no_orders() {
    let (fixture, leaf) = start(false);
    leaf.set_answer(Answer::Rejected);
    assert_eq!(count_shed(&fixture, &leaf), [0, 0]);
}

/// Guards against a caller whose own deadline is too short for any leaf, which counts as a shortage
/// although the leaf has capacity, and by which the orders of others are refused. Without tenants,
/// the same orders show that nothing else refuses them.
#[test]
fn platform_fair_share_sheds_nobody_because_of_a_short_deadline() {
    let statuses = [false, true].map(|has_tenants| {
        let (fixture, leaf) = start(has_tenants);
        leaf.set_answer(Answer::Late(Duration::from_millis(100)));
        for number in 0..20 {
            send_order_within(&fixture, &format!("short-{number}"), "first", 60);
        }
        let serve = |number| send_order(&fixture, &format!("long-{number}"), "last").status;
        (0..10).map(serve).collect::<Vec<u16>>()
    });
    assert_eq!(statuses, [vec![200; 10], vec![200; 10]]);
}
