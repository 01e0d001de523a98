//! Guards against a remaining time that is too long because it was computed before a long iteration
//! of the event loop: a part was written with 634 ms left when its caller had 92 ms left, as 542 ms
//! had passed between the time that the event loop had cached and the write.

use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::Leaf;
use geraniummount_test_support::raw_server::{Arrival, RawServer};

use super::deployment::{Deployment, hang, register_vm};
use super::fixture::{Fixture, service_route};

/// Time that passes between the start of an iteration and a write.
const DELAY: Duration = Duration::from_millis(542);

/// Time that callers wait for the answer.
const DEADLINE_MS: u64 = 634;

/// A time that is over when the request is written.
const SHORT_DEADLINE_MS: u64 = 400;

fn late_clock() -> Instant {
    Instant::now() + DELAY
}

fn answer(arrival: &Arrival) -> Vec<u8> {
    let id = arrival.field("Request-Id");
    let fields = format!("Request-Id: {id}\r\nServer-Stamp: raw.{id}\r\nContent-Length: 2");
    format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\nok").into_bytes()
}

/// Checks the time that the last request was sent with.
fn assert_time_is_that_of_the_write(server: &RawServer) {
    let arrivals = server.arrivals();
    let arrival = arrivals.last().expect("the request arrives");
    let left: u64 = arrival.field("Deadline-Ms").parse().unwrap();
    let max = DEADLINE_MS - u64::try_from(DELAY.as_millis()).unwrap();
    assert!(left <= max, "sent with {left} ms left, of {max}");
}

/// Checks that requests whose time is over are refused as not run, and are not sent.
fn assert_late_requests_are_not_sent(fixture: &Fixture, server: &RawServer, paths: &[&str]) {
    for path in paths {
        let before = server.arrivals().len();
        let reply = fixture.send("POST", path, SHORT_DEADLINE_MS, b"body");
        assert_eq!(reply.status, 503, "{path}");
        assert!(reply.field("Retry-After").is_some(), "{path}");
        assert_eq!(server.arrivals().len(), before, "{path} was sent");
    }
}

#[test]
fn platform_late_writes_to_leaves_state_the_time_that_is_left() {
    let fixture = Fixture::start_with_clock(late_clock);
    let routes = [
        service_route("/a/", "idempotent", "one"),
        service_route("/o/", "non_idempotent", "one"),
    ];
    fixture.configure(1, &routes);
    let server = RawServer::start(answer);
    let mut leaf = Leaf::unregistered("one", "near", b"");
    leaf.register_at(&fixture.store, server.address());
    fixture.wait_for_leaf("/a/x");
    for path in ["/a/y", "/o/y"] {
        let reply = fixture.send("POST", path, DEADLINE_MS, b"body");
        assert_eq!(reply.status, 200, "{path}");
        assert_time_is_that_of_the_write(&server);
    }
    assert_late_requests_are_not_sent(&fixture, &server, &["/a/z", "/o/z"]);
}

#[test]
fn platform_late_writes_to_other_vms_state_the_time_that_is_left() {
    let deployment = Deployment::start_with(vec![Fixture::start_with_clock(late_clock)]);
    let vm = &deployment.vms[0];
    let server = RawServer::start(answer);
    register_vm(&vm.store, "raw", server.address());
    deployment.change_links(0, hang);
    vm.wait_until(|vm| {
        vm.get("/a/x", 1000);
        !server.arrivals().is_empty()
    });
    let reply = vm.send("POST", "/a/y", DEADLINE_MS, b"body");
    assert_eq!(reply.status, 200);
    assert_time_is_that_of_the_write(&server);
    assert_late_requests_are_not_sent(vm, &server, &["/a/z"]);
}
