//! A leaf that limits the requests of all VMs together gets no more than it allows, and callers get
//! what the limit leaves, or a refusal at once.

use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Leaf, Store};

use super::fixture::{Fixture, gather_route, leaf, service_route};

/// Limit of the leaf in requests per second, as text and as a number.
const LIMIT: (&str, f64) = ("20", 20.0);

/// Interval between two requests through one VM.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// A window in which a leaf may get [`MAX_RATIO`] times its limit and [`MAX_MORE`] requests.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_RATIO: f64 = 1.5;
const MAX_MORE: f64 = 5.0;

/// Sends requests one after the other until `end`; returns the status of each.
fn send_until(fixture: &Fixture, end: Instant) -> Vec<u16> {
    let mut statuses = Vec::new();
    while Instant::now() < end {
        std::thread::sleep(REQUEST_INTERVAL);
        let reply = fixture.get("/a/x", 2000);
        let is_refusal = reply.status == 503 && reply.field("Retry-After").is_some();
        assert!(reply.status == 200 || is_refusal, "{}", reply.status);
        statuses.push(reply.status);
    }
    statuses
}

/// Returns the largest number of requests that reached the leaf in a window after `since`.
fn most_in_window(leaf: &Leaf, since: Instant) -> usize {
    let arrivals = leaf.arrivals();
    let times: Vec<Instant> = arrivals.iter().map(|run| run.arrived).collect();
    let counted = &times[times.partition_point(|at| *at < since)..];
    let windows = counted.iter().enumerate().map(|(index, end)| {
        let first = counted.partition_point(|at| *at + WINDOW < *end);
        index + 1 - first
    });
    windows.max().unwrap_or(0)
}

#[test]
fn platform_limits_of_a_leaf_hold_for_two_vms_together() {
    let vm = Fixture::start();
    let other_vm = Fixture::start_with(Store::start(), vm.store.address());
    vm.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let limited = leaf(&vm, "one", b"one");
    vm.wait_for_leaf("/a/x");
    other_vm.wait_for_leaf("/a/x");
    limited.set_limit(Some(LIMIT.0));
    let named_at = Instant::now();
    let end = named_at + 3 * WINDOW;
    let statuses = std::thread::scope(|scope| {
        let own = scope.spawn(|| send_until(&vm, end));
        let mut statuses = send_until(&other_vm, end);
        statuses.extend(own.join().unwrap());
        statuses
    });
    assert_eq!(vm.store.keys("vm-rates/").len(), 2);
    let most = most_in_window(&limited, named_at + WINDOW);
    let allowed = LIMIT.1 * WINDOW.as_secs_f64() * MAX_RATIO + MAX_MORE;
    assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(statuses.contains(&503), "{statuses:?}");
    limited.set_limit(None);
    vm.wait_until(|vm| (0..20).all(|_| vm.get("/a/x", 2000).status == 200));
}

#[test]
fn platform_limits_that_are_unusable_do_not_stop_requests() {
    for value in ["", "many", "-1", "nan", "inf"] {
        let vm = Fixture::start();
        vm.configure(1, &[service_route("/a/", "idempotent", "one")]);
        let limited = leaf(&vm, "one", b"one");
        vm.wait_for_leaf("/a/x");
        limited.set_limit(Some(value));
        let statuses: Vec<u16> = (0..20).map(|_| vm.get("/a/x", 2000).status).collect();
        assert!(statuses.iter().all(|status| *status == 200), "{value:?}");
    }
}

#[test]
fn platform_limits_of_a_shard_leave_its_part_out_at_once() {
    let vm = Fixture::start();
    vm.configure(1, &[gather_route("/a/", &["one", "two"], 5, 0.5)]);
    let limited = leaf(&vm, "one", b"record-of-16-byt");
    let _other = leaf(&vm, "two", b"record-of-16-byt");
    vm.wait_until(|vm| {
        let reply = vm.get("/a/x", 2000);
        reply.status == 200 && reply.field("Missing-Parts") == Some("0")
    });
    limited.set_limit(Some("0.5"));
    vm.wait_until(|vm| {
        let sent = Instant::now();
        let reply = vm.get("/a/x", 10_000);
        assert_eq!(reply.status, 200);
        assert!(sent.elapsed() < Duration::from_secs(5), "nothing is held");
        reply.field("Missing-Parts") == Some("1")
    });
}
