//! Cold leaves get few requests from all gateways together, and warm ones are preferred.

use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Leaf, Store};
use serde_json::{Value, json};

use super::fixture::{Fixture, document, leaf, service_route};

/// Requests per second that a cold leaf takes, and the greatest number in any second.
const PER_SECOND: f64 = 4.0;
const ALLOWED: usize = 11;

/// Time for which leaves say that they are cold.
const COLD_TIME: Duration = Duration::from_secs(120);

const REQUESTS: usize = 30;

/// Applies version 2 of the configuration, which limits the requests to cold leaves.
fn configure(vm: &Fixture) {
    let routes = [
        service_route("/a/", "idempotent", "one"),
        service_route("/b/", "idempotent", "two"),
    ];
    vm.configure(1, &routes);
    let mut document: Value = serde_json::from_str(&document(2, &routes)).unwrap();
    document["services"][0]["slowStartS"] = json!(20);
    document["services"][0]["warmupPerS"] = json!(PER_SECOND);
    vm.store.put("op/config", document.to_string());
    vm.wait_until(|vm| vm.get("/v2/", 1000).status != 404);
}

fn cold_leaf(vm: &Fixture, domain: &str) -> Leaf {
    let leaf = Leaf::unregistered("one", domain, b"one");
    leaf.register_cold(&vm.store, COLD_TIME);
    leaf
}

fn send_until(vm: &Fixture, end: Instant) -> Vec<u16> {
    let mut statuses = Vec::new();
    while Instant::now() < end {
        statuses.push(vm.get("/a/x", 2000).status);
        std::thread::sleep(Duration::from_millis(5));
    }
    statuses
}

fn most_in_a_second(leaf: &Leaf) -> usize {
    let times: Vec<Instant> = leaf.arrivals().iter().map(|run| run.arrived).collect();
    let ends = times.iter().enumerate();
    let in_second = ends.map(|(index, end)| {
        let first = times.partition_point(|at| *at + Duration::from_secs(1) < *end);
        index + 1 - first
    });
    in_second.max().unwrap_or(0)
}

/// Guards against gateways that each take the limit of a cold leaf for themselves, and against a
/// leaf that stays limited after it has warmed up.
#[test]
fn platform_cold_leaves_are_limited_for_two_vms_together() {
    let vm = Fixture::start();
    let other_vm = Fixture::start_with(Store::start(), vm.store.address());
    configure(&vm);
    let cold = cold_leaf(&vm, "near");
    vm.wait_for_leaf("/a/x");
    let end = Instant::now() + Duration::from_secs(8);
    let statuses = std::thread::scope(|scope| {
        let own = scope.spawn(|| send_until(&vm, end));
        let mut statuses = send_until(&other_vm, end);
        statuses.extend(own.join().unwrap());
        statuses
    });
    let most = most_in_a_second(&cold);
    assert!(most <= ALLOWED, "{most} requests, {ALLOWED} allowed");
    assert!(statuses.contains(&200) && statuses.contains(&503));
    cold.register(&vm.store, "ready");
    vm.wait_until(|vm| (0..20).all(|_| vm.get("/a/x", 2000).status == 200));
}

/// Guards against cold leaves that are preferred because they are near and idle, also if they have
/// been warm before.
#[test]
fn platform_cold_leaves_get_nothing_while_warm_ones_are_left() {
    let vm = Fixture::start();
    configure(&vm);
    let far = Leaf::start(&vm.store, "one", "far", b"one");
    let _marker = Leaf::start(&vm.store, "two", "marker", b"two");
    vm.wait_for_leaf("/a/x");
    vm.wait_for_leaf("/b/x");
    let near = leaf(&vm, "one", b"one");
    vm.wait_until(|vm| {
        vm.get("/a/x", 2000);
        !near.arrivals().is_empty()
    });
    near.register_cold(&vm.store, COLD_TIME);
    // A later change that is in force shows that the registration is known.
    vm.store.put("op/evacuate/marker", "{}");
    vm.wait_until(|vm| vm.get("/b/x", 1000).status == 503);
    let far_before = far.arrivals().len();
    let before = near.arrivals().len();
    for _ in 0..REQUESTS {
        assert_eq!(vm.get("/a/x", 2000).status, 200);
    }
    assert_eq!(near.arrivals().len(), before);
    assert_eq!(far.arrivals().len(), far_before + REQUESTS);
    near.register(&vm.store, "ready");
    vm.wait_until(|vm| {
        vm.get("/a/x", 2000);
        near.arrivals().len() > before
    });
}

/// Guards against a leaf of a service without warm-up limits that is limited by what it says.
#[test]
fn platform_cold_leaves_of_services_without_a_limit_are_used() {
    let vm = Fixture::start();
    vm.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let _cold = cold_leaf(&vm, "near");
    vm.wait_for_leaf("/a/x");
    for _ in 0..REQUESTS {
        assert_eq!(vm.get("/a/x", 2000).status, 200);
    }
}
