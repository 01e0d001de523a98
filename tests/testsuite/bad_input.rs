//! Invalid resources and invalid requests of operators: each gets an error that names the field or
//! header, what is wrong with it and what is allowed.

use std::time::Duration;

use geraniummount::edge::client::{Client, Request, Response};
use geraniummount_test_support::platform::Outage;

use crate::operators_listener::Listener;

const LEAF: &str = r#"{"name": "l1", "address": "10.0.0.9:8000", "failure_domain": "d1",
    "contract": {"slots": 2, "connections": 25, "open_ms": 6}}"#;

const SERVICE: &str = r#"{"name": "s1", "deadline_ms": 200, "max_deadline_ms": 2000,
    "shards": [{"name": "a", "replicas": ["l1"]}]}"#;

/// An invalid request to a listener that has the leaf `l1` and the service `s1`.
struct Case {
    name: &'static str,
    request: &'static str,
    if_match: &'static str,
    body: &'static str,
    status: u16,
    error: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "unknown path",
        request: "GET /v2/resources",
        if_match: "",
        body: "",
        status: 404,
        error: "no such path: /v2/resources; allowed: /v1/resources/{kind}",
    },
    Case {
        name: "unknown kind",
        request: "GET /v1/resources/shelf",
        if_match: "",
        body: "",
        status: 404,
        error: "kind: `shelf` is unknown; allowed: leaf, service",
    },
    Case {
        name: "unknown name",
        request: "GET /v1/resources/leaf/l9",
        if_match: "",
        body: "",
        status: 404,
        error: "no leaf `l9`",
    },
    Case {
        name: "unsupported method",
        request: "POST /v1/resources/leaf/l1",
        if_match: "",
        body: "{}",
        status: 405,
        error: "no such method here; allowed: GET, PUT, DELETE",
    },
    Case {
        name: "generation that is not a number",
        request: "PUT /v1/resources/leaf/l1",
        if_match: "latest",
        body: LEAF,
        status: 400,
        error: "If-Match: 'latest'; allowed: a generation",
    },
    Case {
        name: "outdated generation",
        request: "DELETE /v1/resources/service/s1",
        if_match: "9",
        body: "",
        status: 409,
        error: "made for generation 9, but the resource has generation 2",
    },
    Case {
        name: "creation of an existing resource",
        request: "PUT /v1/resources/leaf/l1",
        if_match: "0",
        body: LEAF,
        status: 409,
        error: "made for generation 0, but the resource has generation 1",
    },
    Case {
        name: "watch without a valid revision",
        request: "GET /v1/resources?watch=now",
        if_match: "",
        body: "",
        status: 400,
        error: "watch: 'now'; allowed: a whole number",
    },
    Case {
        name: "body that is not JSON",
        request: "PUT /v1/resources/leaf/l2",
        if_match: "",
        body: "{",
        status: 422,
        error: "EOF while parsing an object",
    },
    Case {
        name: "unknown field",
        request: "PUT /v1/resources/leaf/l1",
        if_match: "",
        body: r#"{"name": "l1", "adress": "10.0.0.9:8000"}"#,
        status: 422,
        error: "unknown field `adress`, expected one of `name`, `address`",
    },
    Case {
        name: "name that differs from the path",
        request: "PUT /v1/resources/leaf/l2",
        if_match: "",
        body: LEAF,
        status: 422,
        error: "`l1` differs from the path",
    },
    Case {
        name: "unknown replica",
        request: "PUT /v1/resources/service/s2",
        if_match: "",
        body: r#"{"name": "s2", "deadline_ms": 200, "max_deadline_ms": 2000,
            "shards": [{"name": "a", "replicas": ["l1", "l7"]}]}"#,
        status: 422,
        error: "leaf `l7` does not exist",
    },
    Case {
        name: "deadline above its maximum",
        request: "PUT /v1/resources/service/s1",
        if_match: "",
        body: r#"{"name": "s1", "deadline_ms": 3000, "max_deadline_ms": 2000,
            "shards": [{"name": "a", "replicas": ["l1"]}]}"#,
        status: 422,
        error: "1 to 2000",
    },
    Case {
        name: "leaf in use",
        request: "DELETE /v1/resources/leaf/l1",
        if_match: "",
        body: "",
        status: 422,
        error: "in use by service `s1`",
    },
];

/// Starts a listener and creates one leaf and one service.
fn start_listener() -> (Listener, Client) {
    let listener = Listener::start();
    let client = Client::new(listener.server.address(), Duration::from_secs(20));
    for (path, body) in [
        ("/v1/resources/leaf/l1", LEAF),
        ("/v1/resources/service/s1", SERVICE),
    ] {
        let answer = send(&client, &format!("PUT {path}"), "", body);
        assert_eq!(answer.status, 200, "{path}: {}", answer.text);
    }
    (listener, client)
}

fn send(client: &Client, request: &str, if_match: &str, body: &str) -> Response {
    let (method, path) = request
        .split_once(' ')
        .expect("request is a method and a path");
    let headers = match if_match {
        "" => Vec::new(),
        value => vec![("If-Match", value.to_string())],
    };
    let request = Request {
        method,
        path,
        headers,
        body: body.as_bytes().to_vec(),
    };
    client.send(&request).expect("listener answers")
}

#[test]
fn invalid_requests_get_a_specific_error() {
    let (_listener, client) = start_listener();
    for case in CASES {
        let answer = send(&client, case.request, case.if_match, case.body);
        assert_eq!(answer.status, case.status, "{}: {}", case.name, answer.text);
        let text = answer.json().to_string().replace("\\\"", "\"");
        assert!(text.contains(case.error), "{}: {text}", case.name);
        assert_eq!(answer.json()["verdict"], "not-run", "{}", case.name);
    }
    let listing = send(&client, "GET /v1/resources/leaf", "", "").json();
    assert_eq!(
        listing["revision"], 2,
        "an invalid request changed a resource"
    );
}

#[test]
fn body_above_the_size_limit_is_rejected() {
    let (_listener, client) = start_listener();
    let body = " ".repeat((1 << 20) + 1);
    let answer = send(&client, "PUT /v1/resources/leaf/l1", "", &body);
    assert_eq!(answer.status, 413, "{}", answer.text);
}

#[test]
fn platform_failures_give_distinct_verdicts() {
    let (listener, client) = start_listener();
    let put = || send(&client, "PUT /v1/resources/leaf/l1", "", LEAF);
    listener
        .platform
        .change(|behaviour| behaviour.outage = Outage::Reject);
    let down = put();
    assert_eq!(down.status, 503, "{}", down.text);
    assert_eq!(down.json()["verdict"], "not-run");
    assert!(down.json()["retry_after_ms"].as_u64() > Some(0));
    listener
        .platform
        .change(|behaviour| behaviour.outage = Outage::None);
    let undecided = listener.lose_reply(put);
    assert_eq!(undecided.status, 202, "{}", undecided.text);
    assert_eq!(undecided.json()["verdict"], "may-have-run");
    assert!(undecided.json()["change"].is_string());
}
