//! No request reaches a leaf in an evacuated failure domain, however the gateway learns of the key.

use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Answer, Leaf, Store, WatchDelivery};

use super::fixture::{Fixture, gather_route, leaf, service_route};

const NEAR: &str = "op/evacuate/near";
const FAR: &str = "op/evacuate/far";

/// Number of requests that show where requests go.
const REQUESTS: usize = 30;

/// Maximum time for a refusal at once, on a busy machine.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Time for which registrations change all the time.
const BUSY_TIME: Duration = Duration::from_secs(8);

/// Time after which a removed leaf is not even the last choice.
const UNREGISTERED_TIME: Duration = Duration::from_millis(2_500);

/// Number of requests at the same time, of which most wait for a connection.
const WAITING_REQUESTS: usize = 60;

/// Number of registrations that change together while a gateway is behind: more than an answer to a
/// watch contains.
const CHANGES: usize = 450;

/// What happens around the change of a key.
struct Case {
    name: &'static str,
    before: fn(&Store),
    after: fn(&Store),
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        before: |_| {},
        after: |_| {},
    },
    Case {
        name: "watches are disconnected before the change",
        before: Store::disconnect_all,
        after: |_| {},
    },
    Case {
        name: "the history is dropped after the change",
        before: |_| {},
        after: Store::compact,
    },
    Case {
        name: "the change is lost with the connection, and new watches receive no changes",
        before: |store| store.set_watch_delivery(WatchDelivery::Nothing),
        after: Store::disconnect_all,
    },
    Case {
        name: "the store fails for a while",
        before: |store| {
            store.set_error_status(Some(503));
            store.disconnect_all();
        },
        after: |store| {
            std::thread::sleep(Duration::from_millis(300));
            store.set_error_status(None);
        },
    },
];

/// Starts a gateway with a leaf in each of two failure domains. Requests at `/b/` are served by a
/// third leaf in `near`, so they show when an evacuation of `near` is in force.
fn start(kind: &str) -> (Fixture, Leaf, Leaf, Leaf) {
    let fixture = Fixture::start();
    let routes = [
        service_route("/a/", kind, "one"),
        service_route("/b/", "idempotent", "two"),
    ];
    fixture.configure(1, &routes);
    let near = leaf(&fixture, "one", b"one");
    let far = Leaf::start(&fixture.store, "one", "far", b"one");
    let marker = leaf(&fixture, "two", b"two");
    fixture.wait_for_leaf("/b/x");
    wait_until_used(&fixture, &near);
    (fixture, near, far, marker)
}

/// Waits until the evacuation of `near` is in force, or is over.
fn wait_for_marker(fixture: &Fixture, status: u16) {
    fixture.wait_until(|fixture| fixture.get("/b/x", 1000).status == status);
}

fn arrivals(leaf: &Leaf) -> usize {
    leaf.arrivals().len()
}

/// Sends requests until one reaches the leaf.
fn wait_until_used(fixture: &Fixture, leaf: &Leaf) {
    let before = arrivals(leaf);
    fixture.wait_until(|fixture| {
        fixture.get("/a/x", 1000);
        arrivals(leaf) > before
    });
}

/// Requires that requests are served, and none by the leaf.
fn assert_unused(fixture: &Fixture, leaf: &Leaf, name: &str) {
    let before = arrivals(leaf);
    for _ in 0..REQUESTS {
        assert_eq!(fixture.get("/a/x", 2000).status, 200, "{name}");
    }
    assert_eq!(arrivals(leaf), before, "{name}");
}

/// Guards against an evacuation, or its end, of which the gateway never learns.
#[test]
fn platform_evacuation_holds_until_the_key_is_removed() {
    for case in CASES {
        let (fixture, near, far, _marker) = start("idempotent");
        (case.before)(&fixture.store);
        fixture.store.put(NEAR, "{}");
        (case.after)(&fixture.store);
        wait_for_marker(&fixture, 503);
        wait_until_used(&fixture, &far);
        assert_unused(&fixture, &near, case.name);
        (case.before)(&fixture.store);
        fixture.store.remove(NEAR);
        (case.after)(&fixture.store);
        wait_until_used(&fixture, &near);
    }
}

/// Guards against a gateway that reads only the leaves, and waits with the evacuation until it has
/// caught up.
#[test]
fn platform_evacuation_is_known_while_leaves_change_faster_than_watches_deliver() {
    let (fixture, near, far, _marker) = start("idempotent");
    let end = Instant::now() + BUSY_TIME;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while Instant::now() < end {
                for number in 0..CHANGES {
                    fixture.store.put(&format!("servers/odd-{number}"), "{}");
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        // The gateway has fallen behind by now.
        std::thread::sleep(Duration::from_secs(2));
        fixture.store.put(NEAR, "{}");
        wait_for_marker(&fixture, 503);
        assert!(
            Instant::now() < end,
            "known only after the changes had ended"
        );
        wait_until_used(&fixture, &far);
        assert_unused(&fixture, &near, "behind");
    });
    // It has caught up by now, by a read that may be outdated.
    std::thread::sleep(Duration::from_secs(2));
    assert_unused(&fixture, &near, "caught up");
    fixture.store.remove(NEAR);
    wait_until_used(&fixture, &near);
}

/// Guards against keys of before that stay in force, or are missed, after the store has come back
/// from an older copy.
#[test]
fn platform_evacuation_follows_a_store_that_comes_back() {
    for was_evacuated in [true, false] {
        let (fixture, near, far, _marker) = start("idempotent");
        if was_evacuated {
            fixture.store.put(NEAR, "{}");
            wait_for_marker(&fixture, 503);
        }
        let backup = fixture.store.back_up();
        match was_evacuated {
            true => fixture.store.remove(NEAR),
            false => fixture.store.put(NEAR, "{}"),
        }
        let (before, after) = match was_evacuated {
            true => (200, 503),
            false => (503, 200),
        };
        wait_for_marker(&fixture, before);
        fixture.store.restore(&backup);
        wait_for_marker(&fixture, after);
        if was_evacuated {
            assert_unused(&fixture, &near, "restored");
            assert!(arrivals(&far) > 0);
        }
    }
}

/// Guards against requests that wait for leaves that stay evacuated, and against queries that fail
/// although their coverage allows an answer.
#[test]
fn platform_evacuation_of_all_leaves_of_a_service_refuses_at_once() {
    let fixture = Fixture::start();
    fixture.configure(
        1,
        &[
            service_route("/a/", "idempotent", "one"),
            gather_route("/q/", &["one", "two"], 5, 0.5),
            gather_route("/all/", &["one", "two"], 5, 1.0),
        ],
    );
    let near = leaf(&fixture, "one", b"record-of-16-byt");
    let _far = Leaf::start(&fixture.store, "two", "far", b"record-of-16-byt");
    fixture.wait_for_leaf("/all/x");
    fixture.store.put(NEAR, "{}");
    fixture.wait_until(|fixture| fixture.get("/a/x", 1000).status == 503);
    let before = arrivals(&near);
    for path in ["/a/x", "/all/x"] {
        let sent = Instant::now();
        let reply = fixture.get(path, 10_000);
        assert_eq!(reply.status, 503, "{path}");
        assert!(reply.field("Retry-After").is_some(), "{path}");
        assert!(sent.elapsed() < MAX_REFUSAL_TIME, "{path}");
    }
    let reply = fixture.get("/q/x", 10_000);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.field("Missing-Parts"), Some("1"));
    assert_eq!(arrivals(&near), before);
}

/// Guards against attempts that were chosen before the evacuation and are written after it, as they
/// wait for a connection.
#[test]
fn platform_evacuation_holds_for_attempts_that_wait_for_a_connection() {
    let (fixture, near, far, _marker) = start("non_idempotent");
    fixture.store.remove(&far.key());
    fixture.wait_until(|_| {
        let before = arrivals(&far);
        (0..REQUESTS).for_each(|_| drop(fixture.get("/a/x", 1000)));
        arrivals(&far) == before
    });
    std::thread::sleep(UNREGISTERED_TIME);
    near.set_answer(Answer::Late(Duration::from_millis(1_500)));
    std::thread::scope(|scope| {
        let send = || fixture.get("/a/x", 10_000).status;
        let before = arrivals(&near);
        let requests: Vec<_> = (0..WAITING_REQUESTS).map(|_| scope.spawn(send)).collect();
        fixture.wait_until(|_| arrivals(&near) > before);
        // The other requests wait for a connection by now.
        std::thread::sleep(Duration::from_millis(500));
        fixture.store.put(NEAR, "{}");
        wait_for_marker(&fixture, 503);
        let before = arrivals(&near);
        let statuses: Vec<u16> = requests.into_iter().map(|r| r.join().unwrap()).collect();
        assert_eq!(arrivals(&near), before);
        let refused = statuses.iter().filter(|status| **status == 503).count();
        assert!(refused > 0, "some had to wait: {statuses:?}");
    });
}

/// Guards against hedges and retries at evacuated leaves.
#[test]
fn platform_evacuation_holds_for_hedges_and_retries() {
    let (fixture, near, far, _marker) = start("idempotent");
    let _far_marker = Leaf::start(&fixture.store, "three", "far", b"three");
    let routes = [
        service_route("/a/", "idempotent", "one"),
        service_route("/c/", "idempotent", "three"),
    ];
    fixture.configure(2, &routes);
    fixture.wait_for_leaf("/c/x");
    fixture.store.put(FAR, "{}");
    fixture.wait_until(|fixture| fixture.get("/c/x", 1000).status == 503);
    let before = arrivals(&far);
    for answer in [
        Answer::Late(Duration::from_millis(200)),
        Answer::Rejected,
        Answer::Failed,
        Answer::Lost,
    ] {
        near.set_answer(answer);
        for _ in 0..REQUESTS / 3 {
            fixture.get("/a/x", 2000);
        }
    }
    assert_eq!(arrivals(&far), before);
    fixture.store.remove(FAR);
    wait_until_used(&fixture, &far);
}
