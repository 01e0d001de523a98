//! The callers' listener: invalid requests, slow senders and a graceful stop. Also slow senders at
//! the operators' listener.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use geraniummount::ops::serve::Server;
use geraniummount::ops::settings::Settings;
use geraniummount_test_support::leaf::{Behaviour, Leaf};
use geraniummount_test_support::platform::Platform;
use serde_json::{Value, json};

const PEER_PORT: u16 = 7001;

/// Maximum wait for bytes from the server.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// One VM in this process, with one leaf.
struct SingleVm {
    server: Server,
    _platform: Platform,
    _leaf: Leaf,
}

impl SingleVm {
    fn start() -> SingleVm {
        let platform = Platform::start().unwrap();
        let behaviour = Behaviour {
            shards: vec!["desk/1".to_owned()],
            ..Behaviour::default()
        };
        let leaf = Leaf::start("l1", behaviour, 1).unwrap();
        let peer = unique_address();
        let text = format!(
            "[node]\nname = a1\nfailure_domain = d1\npeer_listen = {peer}\n\
             [caller]\nlisten = 127.0.0.1:0\n[operator]\nlisten = 127.0.0.1:0\n\
             [platform]\naddress = {}\n\
             [limits]\nmax_body_bytes = 1000\nbody_read_ms = 200\nlinger_ms = 0\n",
            platform.address()
        );
        let server = Server::start(Settings::parse("a1.ini", &text).unwrap()).unwrap();
        let contract = json!({"slots": 2, "connections": 25, "open_ms": 1});
        let operators = server.operator_address();
        let spec = json!({"name": "l1", "address": leaf.address(), "failure_domain": "d1",
            "contract": contract});
        put(operators, "leaf/l1", &spec);
        let shards = json!([{"name": "1", "replicas": ["l1"]}]);
        let spec = json!({"name": "desk", "shards": shards, "deadline_ms": 5000,
            "max_deadline_ms": 20000});
        put(operators, "service/desk", &spec);
        SingleVm {
            server,
            _platform: platform,
            _leaf: leaf,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.server.caller_address()).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream
    }
}

/// Returns a peer address that no other test uses, in this process or another.
fn unique_address() -> SocketAddr {
    static NEXT_NETWORK: AtomicU8 = AtomicU8::new(0);
    let pid = std::process::id();
    let (high, low) = ((pid >> 8) as u8, pid as u8);
    let network = 64 + NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, network, high, low.max(1)], PEER_PORT))
}

fn put(operators: SocketAddr, path: &str, spec: &Value) {
    let body = spec.to_string();
    let answer = exchange(
        operators,
        &request("PUT", &format!("/v1/resources/{path}"), "", &body),
    );
    assert_eq!(answer.status, 200, "{path}: {}", answer.body);
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

#[derive(Debug)]
struct Answer {
    status: u16,
    head: String,
    body: String,
}

fn exchange(to: SocketAddr, text: &str) -> Answer {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    read_answer(&mut stream)
}

fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "connection closed after {head:?}"
        );
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let lower = head.to_lowercase();
    let length = lower.split("content-length: ").nth(1).unwrap();
    let length = length.split("\r\n").next().unwrap().parse().unwrap();
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    Answer {
        status: head.split(' ').nth(1).unwrap().parse().unwrap(),
        head: lower,
        body: String::from_utf8(body).unwrap(),
    }
}

/// An invalid request, which is rejected before it runs.
struct InvalidRequest {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static str,
    body: &'static str,
    status: u16,
    reason: &'static str,
}

const DESK: &str = "/v1/services/desk/query";

const INVALID_REQUESTS: &[InvalidRequest] = &[
    InvalidRequest {
        name: "unknown path",
        method: "GET",
        path: "/v1/desk",
        headers: "",
        body: "",
        status: 404,
        reason: "path is unknown",
    },
    InvalidRequest {
        name: "wrong method",
        method: "GET",
        path: DESK,
        headers: "",
        body: "",
        status: 405,
        reason: "use POST",
    },
    InvalidRequest {
        name: "unknown service",
        method: "POST",
        path: "/v1/services/dusk/query",
        headers: "",
        body: "{}",
        status: 404,
        reason: "dusk",
    },
    InvalidRequest {
        name: "malformed JSON",
        method: "POST",
        path: DESK,
        headers: "",
        body: "{\"q\":",
        status: 400,
        reason: "JSON",
    },
    InvalidRequest {
        name: "deadline of zero",
        method: "POST",
        path: DESK,
        headers: "Deadline-Ms: 0\r\n",
        body: "{}",
        status: 400,
        reason: "Deadline-Ms",
    },
    InvalidRequest {
        name: "deadline above the service's maximum",
        method: "POST",
        path: DESK,
        headers: "Deadline-Ms: 99999999\r\n",
        body: "{}",
        status: 400,
        reason: "20000",
    },
    InvalidRequest {
        name: "deadline that is not a number",
        method: "POST",
        path: DESK,
        headers: "Deadline-Ms: soon\r\n",
        body: "{}",
        status: 400,
        reason: "Deadline-Ms",
    },
    InvalidRequest {
        name: "not idempotent and without a shard",
        method: "POST",
        path: DESK,
        headers: "Idempotent: false\r\n",
        body: "{}",
        status: 400,
        reason: "Shard",
    },
    InvalidRequest {
        name: "not idempotent for an unknown shard",
        method: "POST",
        path: DESK,
        headers: "Idempotent: false\r\nShard: 9\r\n",
        body: "{}",
        status: 404,
        reason: "9",
    },
    InvalidRequest {
        name: "idempotent header neither true nor false",
        method: "POST",
        path: DESK,
        headers: "Idempotent: perhaps\r\n",
        body: "{}",
        status: 400,
        reason: "Idempotent",
    },
];

#[test]
fn callers_invalid_requests_are_rejected_with_a_reason() {
    let vm = SingleVm::start();
    for case in INVALID_REQUESTS {
        let text = request(case.method, case.path, case.headers, case.body);
        let answer = exchange(vm.server.caller_address(), &text);
        let name = case.name;
        assert_eq!(answer.status, case.status, "{name}: {}", answer.body);
        assert!(
            answer.head.contains("verdict: not-run"),
            "{name}: {}",
            answer.head
        );
        let body: Value = serde_json::from_str(&answer.body).unwrap();
        let reason = body["reason"].as_str().unwrap();
        assert!(reason.contains(case.reason), "{name}: {reason}");
        assert_eq!(body["verdict"], "not-run", "{name}");
    }
    assert!(vm.server.stop());
}

#[test]
fn callers_oversized_and_slow_bodies_do_not_block_the_listener() {
    let vm = SingleVm::start();
    let head = format!("POST {DESK} HTTP/1.1\r\nHost: a\r\n");
    let cases = [
        ("body above the limit", "Content-Length: 1001\r\n\r\n", 413),
        (
            "body far above the limit",
            "Content-Length: 99999999999999\r\n\r\n",
            413,
        ),
        ("incomplete body", "Content-Length: 10\r\n\r\n{", 408),
    ];
    for (name, rest, status) in cases {
        let mut stream = vm.connect();
        stream
            .write_all(format!("{head}{rest}").as_bytes())
            .unwrap();
        let answer = read_answer(&mut stream);
        assert_eq!(answer.status, status, "{name}: {}", answer.body);
        assert!(answer.head.contains("verdict: not-run"), "{name}");
        // The server closes the connection, because the rest of the body is unread.
        assert_eq!(stream.read(&mut [0]).unwrap_or(0), 0, "{name}");
    }
    assert!(vm.server.stop());
}

#[test]
fn operators_oversized_and_slow_bodies_do_not_block_other_requests() {
    const SLOW_CONNECTIONS: usize = 24;
    let vm = SingleVm::start();
    let operators = vm.server.operator_address();
    let send_partial_request = |method: &str, length: u64| {
        let mut stream = TcpStream::connect(operators).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let head = format!("{method} /v1/resources/leaf/l1 HTTP/1.1\r\nHost: a\r\n");
        let rest = format!("Content-Length: {length}\r\n\r\n{{");
        stream
            .write_all(format!("{head}{rest}").as_bytes())
            .unwrap();
        stream
    };
    let mut connections = Vec::new();
    for method in ["GET", "PUT"] {
        connections.push((send_partial_request(method, 99_999_999_999_999), 413));
        connections
            .extend((0..SLOW_CONNECTIONS).map(|_| (send_partial_request(method, 5_000), 408)));
    }
    let health = exchange(operators, &request("GET", "/health", "", ""));
    assert_eq!(health.status, 200, "{}", health.body);
    let query = request("POST", DESK, "", "{}");
    let answer = exchange(vm.server.caller_address(), &query);
    assert_eq!(answer.status, 200, "{}", answer.body);
    for (mut stream, status) in connections {
        let answer = read_answer(&mut stream);
        assert_eq!(answer.status, status, "{}", answer.body);
        assert!(answer.body.contains("not-run"), "{}", answer.body);
    }
    assert!(vm.server.stop());
}

#[test]
fn callers_idle_connection_is_reused_and_does_not_delay_a_stop() {
    let vm = SingleVm::start();
    let mut stream = vm.connect();
    for number in 0..3 {
        let id = format!("Request-Id: r{number}\r\n");
        stream
            .write_all(request("POST", DESK, &id, "{}").as_bytes())
            .unwrap();
        let answer = read_answer(&mut stream);
        assert_eq!(answer.status, 200, "{}", answer.body);
        let body: Value = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(body["request_id"], format!("r{number}"));
        assert_eq!(body["coverage"]["included"], json!(["1"]));
    }
    assert!(vm.server.stop(), "an idle connection delayed the stop");
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
}
