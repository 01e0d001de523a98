//! Guards against an answer whose status is no final one: a leaf in trouble answered `000`, and the
//! caller got it. Only 200 to 599 is a final status, and anything else means that the request may
//! have run.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use geraniummount::core::store::freshness::Freshness;
use geraniummount::platform::Store;
use geraniummount_test_support::platform::users::Leaf;
use geraniummount_test_support::raw_server::{Arrival, RawServer};

use super::deployment::{Deployment, SHARDS, hang, register_vm};
use super::fixture::{Fixture, leaf, quiet_ip, service_route};
use crate::platform::status_cases::{CASES, Case, response};

/// Time that callers wait, which a busy machine does not use up: an answer that comes later is 504.
const DEADLINE_MS: u64 = 2_900;

/// Checks that no request was sent to a server twice.
fn assert_ids_are_distinct(server: &RawServer) {
    let arrivals = server.arrivals();
    let ids = arrivals.iter().map(|arrival| arrival.field("Request-Id"));
    let ids: BTreeSet<&str> = ids.collect();
    assert_eq!(ids.len(), arrivals.len(), "{arrivals:?}");
}

/// A leaf that answers with a status.
struct RawLeaf {
    server: RawServer,
    /// Stand-in that is registered with the address of the server.
    _registered: Leaf,
}

impl RawLeaf {
    fn start(fixture: &Fixture, service: &str, case: &'static Case) -> RawLeaf {
        let server = RawServer::start(|arrival| response(case.start, arrival));
        let mut registered = Leaf::unregistered(service, "near", b"");
        registered.register_at(&fixture.store, server.address());
        RawLeaf {
            server,
            _registered: registered,
        }
    }
}

#[test]
fn platform_statuses_of_leaves_end_orders_as_may_have_run() {
    let fixture = Fixture::start();
    let names: Vec<String> = (0..CASES.len()).map(|index| format!("o{index}")).collect();
    let routes = names
        .iter()
        .map(|name| service_route(&format!("/{name}/"), "non_idempotent", name));
    fixture.configure(1, &routes.collect::<Vec<_>>());
    let leaves = names.iter().zip(CASES);
    let leaves = leaves.map(|(name, case)| RawLeaf::start(&fixture, name, case));
    let leaves: Vec<RawLeaf> = leaves.collect();
    for ((name, case), leaf) in names.iter().zip(CASES).zip(&leaves) {
        let path = format!("/{name}/x");
        let wanted = case.passed.unwrap_or(502);
        fixture.wait_until(|fixture| {
            let reply = fixture.send("POST", &path, DEADLINE_MS, b"order");
            let is_registered = !leaf.server.arrivals().is_empty();
            assert!(
                !is_registered || reply.status == wanted,
                "{:?}: {}",
                case.start,
                reply.status
            );
            is_registered
        });
        assert_ids_are_distinct(&leaf.server);
        // The leaf is suspended for a while after a response that is none.
        fixture.wait_until(|fixture| {
            fixture.send("POST", &path, DEADLINE_MS, b"order");
            leaf.server.arrivals().len() > 1
        });
        let connections = leaf.server.arrivals();
        let is_reused = connections[0].connection == connections[1].connection;
        assert!(!is_reused || case.passed.is_some(), "{:?}", case.start);
    }
}

#[test]
fn platform_statuses_of_leaves_let_another_leaf_be_asked() {
    let fixture = Fixture::start();
    let bad = || CASES.iter().filter(|case| case.passed.is_none());
    let names: Vec<String> = (0..bad().count())
        .map(|index| format!("i{index}"))
        .collect();
    let routes = names
        .iter()
        .map(|name| service_route(&format!("/{name}/"), "idempotent", name));
    fixture.configure(1, &routes.collect::<Vec<_>>());
    for (name, case) in names.iter().zip(bad()) {
        let path = format!("/{name}/x");
        let _sound = leaf(&fixture, name, b"record");
        fixture.wait_for_leaf(&path);
        let raw = RawLeaf::start(&fixture, name, case);
        fixture.wait_until(|fixture| {
            let reply = fixture.get(&path, DEADLINE_MS);
            assert_eq!(reply.status, 200, "{:?}", case.start);
            assert_eq!(reply.body, b"record", "{:?}", case.start);
            !raw.server.arrivals().is_empty()
        });
    }
}

/// Statuses of another VM. Each costs some seconds, as a VM that fails is avoided for a while.
const STARTS_OF_VMS: &[&str] = &["000 None", "101 Switching Protocols", "600 None"];

#[test]
fn platform_statuses_of_other_vms_end_orders_as_may_have_run() {
    let deployment = Deployment::start(&["near"]);
    let routes = [
        service_route("/a/", "idempotent", SHARDS[0]),
        service_route("/o/", "non_idempotent", SHARDS[0]),
    ];
    let vm = &deployment.vms[0];
    vm.configure(2, &routes);
    let start = Arc::new(Mutex::new("200 OK"));
    let current = Arc::clone(&start);
    let answer = move |arrival: &Arrival| response(*current.lock().unwrap(), arrival);
    let server = RawServer::start_at(quiet_ip(), answer);
    register_vm(&vm.store, "raw", server.address());
    deployment.change_links(0, hang);
    let wait_for_arrival = || {
        let before = server.arrivals().len();
        vm.wait_until(|vm| {
            vm.get("/a/x", 300);
            server.arrivals().len() > before
        });
    };
    wait_for_arrival();
    for bad in STARTS_OF_VMS {
        *start.lock().unwrap() = *bad;
        let before = server.arrivals().len();
        let reply = vm.send("POST", "/o/x", DEADLINE_MS, b"order");
        assert_eq!(server.arrivals().len(), before + 1, "{bad}");
        assert_eq!(reply.status, 502, "{bad}");
        *start.lock().unwrap() = "200 OK";
        wait_for_arrival();
        let arrivals = server.arrivals();
        let is_reused = arrivals[before].connection == arrivals[before + 1].connection;
        assert!(!is_reused, "{bad}");
    }
}

#[test]
fn platform_statuses_of_the_store_are_no_answers() {
    const BODY: &str = r#"{"items":[],"asOf":7,"truncated":false}"#;
    for case in CASES {
        let server = RawServer::start(|_| {
            let length = BODY.len();
            let start = case.start;
            format!("HTTP/1.1 {start}\r\nContent-Length: {length}\r\n\r\n{BODY}").into_bytes()
        });
        let mut client = Store::new(server.address());
        let mut read = || client.range("none/", None, Freshness::Current);
        let results = [read(), read()];
        for result in &results {
            let is_answer = result.is_ok();
            assert_eq!(is_answer, case.passed == Some(200), "{:?}", case.start);
        }
        let arrivals = server.arrivals();
        let is_reused = arrivals[0].connection == arrivals[1].connection;
        assert!(!is_reused || case.passed.is_some(), "{:?}", case.start);
    }
}
