//! Signatures of leaves that can't stand in the list of a gathered answer: one that reads as several
//! signatures, or as none, would make the whole answer wrong. Such a response is no part.

use geraniummount_test_support::platform::users::Leaf;
use geraniummount_test_support::raw_server::{Arrival, RawServer};

use super::fixture::{Fixture, gather_route, leaf, service_route};

const SIGNATURES: &[&str] = &["a, b", "a,b", ",", "", "a b", "a\tb", "one.two,", "\u{fc}"];

const RECORD: &str = "record-of-16-byt";

/// Returns a complete success with a signature.
fn success(arrival: &Arrival, signature: &str) -> Vec<u8> {
    let id = arrival.field("Request-Id");
    let length = RECORD.len();
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {signature}\r\n");
    format!("{head}Content-Length: {length}\r\n\r\n{RECORD}").into_bytes()
}

#[test]
fn platform_odd_signatures_are_no_parts() {
    for signature in SIGNATURES {
        let fixture = Fixture::start();
        let _sound = leaf(&fixture, "one", RECORD.as_bytes());
        let odd = RawServer::start(|arrival| success(arrival, signature));
        let mut registration = Leaf::unregistered("two", "near", b"");
        registration.register_at(&fixture.store, odd.address());
        fixture.configure(1, &[gather_route("/g/", &["one", "two"], 5, 0.5)]);
        fixture.wait_until(|fixture| {
            let reply = fixture.get("/g/x", 500);
            let stamps = reply.field("Part-Stamps").unwrap_or_default().to_string();
            let is_one = !stamps.contains(',') && stamps.split_whitespace().count() == 1;
            assert!(reply.status != 200 || is_one, "{signature:?}: {stamps:?}");
            reply.status == 200 && !odd.arrivals().is_empty()
        });
        let reply = fixture.get("/g/x", 500);
        assert_eq!(reply.field("Missing-Parts"), Some("1"), "{signature:?}");
    }
}

/// The one leaf that serves a request may sign as it likes: its answer is passed on as it is.
#[test]
fn platform_odd_signatures_of_single_answers_are_passed_on() {
    let fixture = Fixture::start();
    let odd = RawServer::start(|arrival| success(arrival, "a, b"));
    let mut registration = Leaf::unregistered("two", "near", b"");
    registration.register_at(&fixture.store, odd.address());
    fixture.configure(1, &[service_route("/a/", "idempotent", "two")]);
    fixture.wait_for_leaf("/a/x");
    assert_eq!(fixture.get("/a/x", 500).field("Server-Stamp"), Some("a, b"));
}
