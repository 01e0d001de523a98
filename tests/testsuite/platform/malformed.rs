//! Malformed requests and pipelined requests.

use std::io::Write;

use super::fixture::{Fixture, HOST, connect, exchange, leaf, request, service_route};

#[test]
fn platform_requests_that_are_malformed_get_an_error_and_reach_no_leaf() {
    struct InvalidRequest {
        bytes: &'static str,
        status: u16,
    }
    const INVALID_REQUESTS: &[InvalidRequest] = &[
        InvalidRequest {
            bytes: "nonsense\r\n\r\n",
            status: 400,
        },
        InvalidRequest {
            bytes: "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nrope!",
            status: 400,
        },
        InvalidRequest {
            bytes: "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            status: 400,
        },
        InvalidRequest {
            bytes: "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: gzip\r\n\r\n",
            status: 400,
        },
        InvalidRequest {
            bytes: "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
            status: 400,
        },
        InvalidRequest {
            bytes: "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 999999\r\n\r\n",
            status: 413,
        },
        InvalidRequest {
            bytes: "GET /a/x HTTP/1.1\r\nHost: shop.example\r\n",
            status: 408,
        },
    ];
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let one = leaf(&fixture, "one", b"record");
    fixture.wait_for_leaf("/a/x");
    let before = one.runs().len();
    for invalid in INVALID_REQUESTS {
        let reply =
            exchange(fixture.callers_address, invalid.bytes.as_bytes()).expect(invalid.bytes);
        assert_eq!(reply.status, invalid.status, "{:?}", invalid.bytes);
    }
    let long = format!(
        "GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX: {}\r\n\r\n",
        "x".repeat(4000)
    );
    assert_eq!(
        exchange(fixture.callers_address, long.as_bytes())
            .unwrap()
            .status,
        431
    );
    assert_eq!(one.runs().len(), before);
    assert_eq!(fixture.get("/a/x", 2000).status, 200);
}

#[test]
fn platform_requests_that_are_pipelined_are_all_answered() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let one = leaf(&fixture, "one", b"record");
    fixture.wait_for_leaf("/a/x");
    let mut stream = connect(fixture.callers_address);
    let pipelined: Vec<u8> = (0..5)
        .flat_map(|n| request("GET", &format!("/a/{n}"), 2000, b""))
        .collect();
    stream.write_all(&pipelined).unwrap();
    let mut answered = Vec::new();
    let mut bytes = Vec::new();
    while answered.len() < 5 {
        let mut chunk = [0; 4096];
        let count = std::io::Read::read(&mut stream, &mut chunk).unwrap();
        assert!(count > 0, "connection closed before all answers arrived");
        bytes.extend_from_slice(&chunk[..count]);
        answered = String::from_utf8_lossy(&bytes)
            .matches("HTTP/1.1 200")
            .map(str::to_string)
            .collect();
    }
    let runs = one.runs();
    assert!(runs.len() >= 5);
}
