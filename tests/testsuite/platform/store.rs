//! The gateway follows changes in the store when connections, watches or entries fail.

use std::net::Ipv4Addr;
use std::time::Duration;

use geraniummount_test_support::platform::users::{Answer, Store, WatchDelivery};
use geraniummount_test_support::proxy::Proxy;

use super::fixture::{Fixture, document, leaf, service_route};

/// A fault of the store around the write of a new version.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Runs before the write.
    before: fn(&Fixture),
    /// Runs after the write.
    after: fn(&Fixture),
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        before: |_| {},
        after: |_| {},
    },
    Case {
        name: "watches are disconnected before the change",
        before: |fixture| fixture.store.disconnect_all(),
        after: |_| {},
    },
    Case {
        name: "the history is dropped after the change",
        before: |_| {},
        after: |fixture| fixture.store.compact(),
    },
    Case {
        name: "the change is lost with the connection, and new watches receive no changes",
        before: |fixture| fixture.store.set_watch_delivery(WatchDelivery::Nothing),
        after: |fixture| fixture.store.disconnect_all(),
    },
    Case {
        name: "the store fails for a while",
        before: |fixture| {
            fixture.store.set_error_status(Some(503));
            fixture.store.disconnect_all();
        },
        after: |fixture| {
            std::thread::sleep(Duration::from_millis(300));
            fixture.store.set_error_status(None);
        },
    },
];

#[test]
fn platform_store_new_versions_are_applied() {
    for case in CASES {
        let fixture = Fixture::start();
        let routes = [service_route("/a/", "idempotent", "one")];
        fixture.configure(1, &routes);
        (case.before)(&fixture);
        fixture.store.put("op/config", document(2, &routes));
        (case.after)(&fixture);
        eprintln!("case: {}", case.name);
        fixture.wait_until(|fixture| fixture.get("/v2/", 1000).status != 404);
    }
}

/// The proxy keeps the TCP connection open and acknowledges its bytes. Only missing data shows that
/// the connection is unresponsive.
#[test]
fn platform_store_new_versions_are_applied_after_the_watch_becomes_unresponsive() {
    const SEED: u64 = 1;
    let store = Store::start();
    let proxy = Proxy::start(Ipv4Addr::LOCALHOST, store.address(), SEED).unwrap();
    let fixture = Fixture::start_with(store, proxy.address());
    let routes = [service_route("/a/", "idempotent", "one")];
    fixture.configure(1, &routes);
    let before = fixture.store.calls();
    fixture.store.put("servers/odd", "a change");
    // The call that follows the delivery of the change waits for the next change.
    fixture.wait_until(|fixture| fixture.store.calls() > before);
    proxy.blackhole_connections();
    fixture.store.put("op/config", document(2, &routes));
    fixture.wait_until(|fixture| fixture.get("/v2/", 1000).status != 404);
}

#[test]
fn platform_store_older_or_invalid_versions_are_ignored() {
    let fixture = Fixture::start();
    let routes = [service_route("/a/", "idempotent", "one")];
    fixture.configure(5, &routes);
    for value in [
        document(4, &routes),
        "{\"version\": 9".to_string(),
        "[]".to_string(),
    ] {
        fixture.store.put("op/config", value);
        std::thread::sleep(Duration::from_millis(400));
        assert_ne!(fixture.get("/v5/", 1000).status, 404);
        assert_eq!(fixture.get("/v4/", 1000).status, 404);
    }
    fixture.configure(6, &routes);
}

#[test]
fn platform_store_invalid_entries_are_ignored_and_valid_ones_kept() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let good = leaf(&fixture, "one", b"good");
    fixture.wait_for_leaf("/a/x");
    let entries = [
        "no json",
        "{}",
        r#"{"backend":"one","address":"nowhere","zone":"near","concurrency":2,"state":"ready"}"#,
        r#"{"backend":"one","address":"127.0.0.1:1","zone":"near","concurrency":"2","state":"ready"}"#,
        r#"{"backend":"one","address":"127.0.0.1:1","zone":"near","concurrency":2,"state":"odd"}"#,
    ];
    for (number, entry) in entries.iter().enumerate() {
        fixture.store.put(&format!("servers/odd-{number}"), *entry);
    }
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..20 {
        assert_eq!(fixture.get("/a/x", 1000).status, 200);
    }
    assert!(good.runs().len() >= 20);
}

#[test]
fn platform_store_not_ready_and_503_until_routes_are_known() {
    let fixture = Fixture::start();
    assert!(!fixture.is_ready());
    let reply = fixture.get("/a/x", 1000);
    assert_eq!(reply.status, 503);
    assert!(reply.field("Retry-After").is_some());
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    fixture.wait_until(Fixture::is_ready);
}

/// A leaf that does not report for a while is unregistered. The order that it runs is neither given
/// up nor started again at another leaf.
#[test]
fn platform_store_an_unregistered_leaf_finishes_its_request() {
    // Longer than an unregistered leaf stays known, shorter than the timeout of the route.
    const WORK_TIME: Duration = Duration::from_millis(2_600);
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "non_idempotent", "one")]);
    let silent = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    silent.set_answer(Answer::Late(WORK_TIME));
    let runs_before = silent.runs().len();
    std::thread::scope(|scope| {
        let order = scope.spawn(|| fixture.send("POST", "/a/order", 8_000, b"rope, 12 m"));
        fixture.wait_until(|_| silent.runs().len() > runs_before);
        fixture.store.remove(&silent.key());
        let other = leaf(&fixture, "one", b"one");
        let reply = order.join().unwrap();
        assert_eq!(
            (reply.status, reply.body.as_slice()),
            (200, b"rope, 12 m".as_slice())
        );
        assert!(other.runs().is_empty(), "the order was started again");
    });
    assert_eq!(silent.runs().len(), runs_before + 1);
}

/// A VM that has stopped calls a store that is away no more.
#[test]
fn platform_store_is_not_called_after_the_vm_has_stopped() {
    const MAX_BACKOFF: Duration = Duration::from_secs(2);
    let mut fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    fixture.store.set_error_status(Some(503));
    fixture.store.disconnect_all();
    fixture.stop();
    assert!(fixture.join());
    std::thread::sleep(MAX_BACKOFF);
    let calls = fixture.store.calls();
    std::thread::sleep(2 * MAX_BACKOFF);
    assert_eq!(fixture.store.calls(), calls);
}
