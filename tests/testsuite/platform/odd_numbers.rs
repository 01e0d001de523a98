//! Guards against numbers from outside that end a VM: a leaf, the operator, another VM or a caller
//! states a time or a count that overflows once it is added to the clock or multiplied.

use std::io::Write;
use std::time::Duration;

use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Answer, Leaf};
use serde_json::{Value, json};

use super::deployment::{Deployment, hang};
use super::fixture::{Fixture, HOST, connect, gather_route, leaf, service_route};

/// Numbers at the bounds of the types that times and counts are kept in, and beyond.
const NUMBERS: &[&str] = &[
    "0",
    "1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "9223372036854775808",
    "9999999999999999999",
    "18446744073709551615",
    "18446744073709551616",
    "340282366920938463463374607431768211456",
    "-1",
    "-9223372036854775808",
    "1e19",
    "1e308",
    "1e-308",
    "1e999",
    "0.0000000001",
    "inf",
    "NaN",
];

/// Time for which a VM without links is sent requests, so that it passes them to others.
const CUT_TIME: Duration = Duration::from_secs(1);

/// Returns the numbers that JSON can represent.
fn json_numbers() -> impl Iterator<Item = Value> {
    let numbers = NUMBERS.iter();
    numbers.filter_map(|number| serde_json::from_str(number).ok())
}

/// Asserts that the gateway serves requests.
fn assert_serves(fixture: &Fixture, path: &str, after: &str) {
    let statuses: Vec<u16> = (0..20).map(|_| fixture.get(path, 1000).status).collect();
    assert!(
        statuses.contains(&200),
        "not served after {after}: {statuses:?}"
    );
}

#[test]
fn platform_odd_numbers_of_leaves_end_no_vm() {
    const FIELDS: &[(&str, &str)] = &[
        ("Keep-Alive", "timeout="),
        ("Retry-After", ""),
        ("Server-Limit", ""),
        ("Age", ""),
    ];
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    for (name, prefix) in FIELDS {
        for number in NUMBERS {
            // A leaf of its own, as a number may keep requests from the leaf from then on.
            let odd = Leaf::unregistered("one", "near", b"record");
            odd.set_extra_field(name, &format!("{prefix}{number}"));
            odd.register(&fixture.store, "ready");
            fixture.wait_for_leaf("/a/x");
            for answer in [Answer::Rejected, Answer::Failed] {
                odd.set_answer(answer);
                fixture.get("/a/x", 300);
            }
            fixture.store.remove(&odd.key());
        }
    }
    let _sound = leaf(&fixture, "one", b"record");
    fixture.wait_for_leaf("/a/x");
}

/// Numbers of a configuration that are replaced together.
const CONFIGURED: &[&[&str]] = &[
    &[
        "/routes/0/timeoutMs",
        "/routes/0/targetLatencyMs",
        "/routes/0/attempts",
        "/routes/1/timeoutMs",
        "/routes/1/targetLatencyMs",
        "/routes/1/attempts",
        "/routes/1/topK",
        "/services/0/maxConns",
    ],
    &["/routes/1/minCoverage"],
    &["/routes/2/trafficSplit/0/weight"],
    &["/routes/0/priority"],
    &["/limits/headerTimeoutMs", "/limits/idleTimeoutMs"],
    &["/limits/maxHeaderBytes", "/limits/maxBodyBytes"],
];

/// Returns configurations in which some numbers are replaced, with the name of each.
fn odd_configurations() -> Vec<(String, Value)> {
    let mut split = service_route("/s/", "idempotent", "one");
    split.as_object_mut().unwrap().remove("backend");
    split["trafficSplit"] =
        json!([{"backend": "one", "weight": 1}, {"backend": "two", "weight": 1}]);
    let routes = [
        service_route("/a/", "idempotent", "one"),
        gather_route("/q/", &["one", "two"], 5, 0.5),
        split,
    ];
    let whole = super::fixture::document(1, &routes);
    let whole: Value = serde_json::from_str(&whole).unwrap();
    let mut configurations = Vec::new();
    for paths in CONFIGURED {
        for number in json_numbers() {
            let mut odd = whole.clone();
            for path in *paths {
                *odd.pointer_mut(path).expect(path) = number.clone();
            }
            configurations.push((format!("{paths:?} = {number}"), odd));
        }
    }
    configurations
}

/// Waits until a version is in force, for a moment only: it may be rejected, or its limits may admit
/// no request.
fn wait_until_read(fixture: &Fixture, version: u64) {
    let marker = super::fixture::request("GET", &format!("/v{version}/"), 50, b"");
    for _ in 0..30 {
        let reply = super::fixture::exchange(fixture.callers_address, &marker);
        if reply.is_ok_and(|reply| reply.status != 404) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn platform_odd_numbers_of_the_operator_end_no_vm() {
    let fixture = Fixture::start();
    let routes = [service_route("/a/", "idempotent", "one")];
    fixture.configure(1, &routes);
    let leaves = [
        leaf(&fixture, "one", b"record"),
        leaf(&fixture, "two", b"record"),
    ];
    fixture.wait_for_leaf("/a/x");
    let mut version = 1;
    for (name, mut odd) in odd_configurations() {
        version += 1;
        odd["version"] = json!(version);
        odd["routes"][3]["prefix"] = json!(format!("/v{version}/"));
        fixture.store.put("op/config", odd.to_string());
        wait_until_read(&fixture, version);
        for path in ["/a/x", "/q/x", "/s/x"] {
            // The limits of the configuration may not admit the request.
            let request = super::fixture::request("GET", path, 50, b"");
            let _ = super::fixture::exchange(fixture.callers_address, &request);
        }
        assert!(fixture.is_ready(), "not ready after {name}");
    }
    fixture.configure(version + 1, &routes);
    fixture.wait_for_leaf("/a/x");
    drop(leaves);
}

#[test]
fn platform_odd_numbers_of_callers_and_of_other_vms_end_no_vm() {
    let deployment = Deployment::start(&["near", "near"]);
    let (caller, peer) = (&deployment.vms[0], &deployment.vms[1]);
    deployment.change_links(0, hang);
    deployment.send_for(0, CUT_TIME);
    let entry = deployment.vms[0].store.keys("peers/");
    let keys: Vec<(String, Value)> = entry
        .into_iter()
        .map(|key| {
            let value = caller.store.value(&key).expect("a registered VM");
            (key, serde_json::from_slice(&value).unwrap())
        })
        .collect();
    let own = peer.peers_address.to_string();
    let (_, registration) = keys
        .iter()
        .find(|(_, value)| value["address"] == own)
        .unwrap();
    let key = registration["key"].as_str().unwrap();
    let head = format!("GET /a/x HTTP/1.1\r\nHost: {HOST}\r\n");
    let terms = |min: &str, elapsed: &str, sends: &str| {
        format!(
            "{head}Request-Id: odd\r\nGeraniummount-From: vm\r\nGeraniummount-Key: {key}\r\n\
             Geraniummount-Min-Version: {min}\r\nGeraniummount-Elapsed-Ms: {elapsed}\r\n\
             Geraniummount-Sends: {sends}\r\n\r\n"
        )
    };
    for number in NUMBERS {
        let requests = [
            terms(number, "0", "0"),
            terms("1", number, "0"),
            terms("1", "0", number),
        ];
        for request in requests {
            send(peer, peer.peers_address, &request);
        }
        for field in [
            "Deadline-Ms",
            "Content-Length",
            "Expect-Instance",
            "Keep-Alive",
        ] {
            let request = format!("{head}Request-Id: odd\r\n{field}: {number}\r\n\r\n");
            for vm in [caller, peer] {
                send(vm, vm.callers_address, &request);
            }
        }
    }
    assert_serves(peer, "/a/x", "all requests");
    assert_serves(caller, "/a/x", "all requests");
}

/// Sends bytes, and reads an answer if there is one; the connection is closed after that.
fn send(vm: &Fixture, address: std::net::SocketAddr, request: &str) {
    let mut stream = connect(address);
    stream.write_all(request.as_bytes()).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let _ = Reply::read(&mut stream);
    assert!(vm.is_ready(), "not ready after {request:?}");
}

#[test]
fn platform_odd_numbers_in_registrations_do_not_keep_requests_from_a_leaf() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let sound: Vec<Leaf> = (0..2).map(|_| leaf(&fixture, "one", b"record")).collect();
    fixture.wait_for_leaf("/a/x");
    for field in ["concurrency", "warmupLeftMs", "seq", "born"] {
        for number in json_numbers() {
            let mut entry = json!({
                "backend": "one", "address": sound[0].address().to_string(), "zone": "near",
                "version": "v1", "concurrency": 2, "state": "ready", "warmupLeftMs": 0, "seq": 9,
                "born": 1_700_000_000_000_u64,
            });
            entry[field] = number.clone();
            fixture.store.put(&sound[0].key(), entry.to_string());
            for _ in 0..4 {
                fixture.get("/a/x", 300);
            }
            assert!(fixture.is_ready(), "not ready after {field} = {number}");
        }
    }
    assert_serves(&fixture, "/a/x", "all registrations");
}
