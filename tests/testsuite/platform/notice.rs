//! The gateway does what a leaf asks for in its answers: no new request to a leaf that says that it
//! is leaving, and none to a leaf that asks to be left alone for a while. The store knows nothing of
//! either.

use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Answer, Leaf};

use super::fixture::{Fixture, gather_route, leaf, service_route};

/// Number of requests that are sent once the leaf has asked for something.
const REQUESTS: usize = 40;

/// Interval between two of these requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests that may have been on their way to the leaf when it asked.
const MAX_ON_THEIR_WAY: usize = 2;

/// Sends requests one after the other; returns the status of each.
fn send_requests(fixture: &Fixture, path: &str) -> Vec<u16> {
    let send = |_| {
        std::thread::sleep(REQUEST_INTERVAL);
        fixture.get(path, 2000).status
    };
    (0..REQUESTS).map(send).collect()
}

/// Returns how many requests reached the leaf later than `at`.
fn arrivals_after(leaf: &Leaf, at: Instant) -> usize {
    let arrivals = leaf.arrivals();
    arrivals.iter().filter(|run| run.arrived > at).count()
}

/// Sends requests until one has reached the leaf, and returns when.
fn first_arrival(fixture: &Fixture, path: &str, leaf: &Leaf) -> Instant {
    let before = leaf.arrivals().len();
    fixture.wait_until(|fixture| {
        fixture.get(path, 2000);
        leaf.arrivals().len() > before
    });
    Instant::now()
}

/// How a leaf says that it is leaving.
#[derive(Debug)]
struct LeavingCase {
    answer: Answer,
}

const LEAVING_CASES: &[LeavingCase] = &[
    LeavingCase {
        answer: Answer::Whole,
    },
    LeavingCase {
        answer: Answer::Rejected,
    },
    LeavingCase {
        answer: Answer::Doubled,
    },
];

#[test]
fn platform_notice_of_leaving_ends_new_requests_to_the_leaf() {
    for case in LEAVING_CASES {
        let fixture = Fixture::start();
        fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
        let leaving = leaf(&fixture, "one", b"one");
        fixture.wait_for_leaf("/a/x");
        leaving.set_answer(case.answer);
        leaving.set_leaving(true);
        let said_at = first_arrival(&fixture, "/a/x", &leaving);
        let _other = leaf(&fixture, "one", b"one");
        fixture.wait_for_leaf("/a/x");
        let statuses = send_requests(&fixture, "/a/x");
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        let late = arrivals_after(&leaving, said_at);
        assert!(late <= MAX_ON_THEIR_WAY, "{case:?}: {late} requests");
    }
}

#[test]
fn platform_notice_of_leaving_holds_until_another_start_is_registered() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let leaving = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    leaving.set_leaving(true);
    let said_at = first_arrival(&fixture, "/a/x", &leaving);
    // The store lists the leaf as ready, forgets it, and lists it again.
    leaving.register(&fixture.store, "ready");
    fixture.store.remove(&leaving.key());
    std::thread::sleep(Duration::from_millis(2_800));
    leaving.register(&fixture.store, "ready");
    std::thread::sleep(Duration::from_millis(700));
    let statuses = send_requests(&fixture, "/a/x");
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    assert!(arrivals_after(&leaving, said_at) <= MAX_ON_THEIR_WAY);
    leaving.set_leaving(false);
    leaving.register_start(&fixture.store, 1_700_000_000_001);
    fixture.wait_for_leaf("/a/x");
}

#[test]
fn platform_notice_of_a_pause_keeps_requests_from_the_leaf_for_that_time() {
    const PAUSE: Duration = Duration::from_millis(1_700);
    let fixture = Fixture::start();
    fixture.configure(1, &[gather_route("/a/", &["one", "two"], 5, 0.5)]);
    let full = leaf(&fixture, "one", b"record-of-16-byt");
    let other = leaf(&fixture, "two", b"record-of-16-byt");
    fixture.wait_for_leaf("/a/x");
    fixture.wait_until(|fixture| fixture.get("/a/x", 2000).field("Missing-Parts") == Some("0"));
    full.set_retry_after(Some("1.7"));
    full.set_answer(Answer::Rejected);
    let said_at = first_arrival(&fixture, "/a/x", &full);
    while said_at.elapsed() < PAUSE - Duration::from_millis(200) {
        let sent = Instant::now();
        let reply = fixture.get("/a/x", 2000);
        assert_eq!(reply.status, 200);
        assert_eq!(reply.field("Missing-Parts"), Some("1"));
        assert!(
            sent.elapsed() < Duration::from_secs(1),
            "the part is left out at once"
        );
    }
    let late = arrivals_after(&full, said_at);
    assert!(late <= MAX_ON_THEIR_WAY, "{late} requests");
    full.set_answer(Answer::Whole);
    fixture.wait_until(|fixture| fixture.get("/a/x", 2000).field("Missing-Parts") == Some("0"));
    drop(other);
}

#[test]
fn platform_notice_of_a_pause_is_told_to_callers_as_the_time_to_come_back() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "non_idempotent", "one")]);
    let full = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    full.set_retry_after(Some("1.5"));
    full.set_answer(Answer::Rejected);
    first_arrival(&fixture, "/a/x", &full);
    let reply = fixture.get("/a/x", 4000);
    assert_eq!(reply.status, 503);
    let seconds: f64 = reply.field("Retry-After").unwrap().parse().unwrap();
    assert!((0.5..=1.5).contains(&seconds), "{seconds}");
}

/// A value of `Retry-After` that names no usable time.
#[test]
fn platform_notice_with_an_unusable_time_does_not_stop_requests() {
    for value in [
        "",
        "soon",
        "-3",
        "nan",
        "inf",
        "Fri, 04 Dec 2026 08:00:00 GMT",
    ] {
        let fixture = Fixture::start();
        fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
        let full = leaf(&fixture, "one", b"one");
        fixture.wait_for_leaf("/a/x");
        full.set_retry_after(Some(value));
        full.set_answer(Answer::Rejected);
        first_arrival(&fixture, "/a/x", &full);
        full.set_answer(Answer::Whole);
        fixture.wait_for_leaf("/a/x");
    }
}
