//! Requests with keys: who is served, what leaves and other VMs are told, and what stays secret.

use std::time::Duration;

use geraniummount::core::tenant::KeyDigest;
use geraniummount_test_support::platform::users::{Answer, Leaf, Store};
use geraniummount_test_support::soak::Vm;
use serde_json::json;

use super::deployment::{Deployment, hang};
use super::fixture::{Fixture, HOST, leaf, service_route};
use super::tenants::{
    ACME_KEY, BOLT_KEY, authorization, configure_tenants, get, send, tenant_document, tenants,
    wait_for_status,
};

/// Starts a gateway with both tenants and a leaf of each of two services.
pub fn start() -> (Fixture, Leaf, Leaf) {
    let fixture = Fixture::start();
    let leaves = (leaf(&fixture, "one", b"one"), leaf(&fixture, "two", b"two"));
    configure_tenants(&fixture, 1);
    (fixture, leaves.0, leaves.1)
}

/// A request, and the status that it gets.
struct Case {
    path: &'static str,
    fields: &'static str,
    status: u16,
}

const CASES: &[Case] = &[
    Case {
        path: "/a/x",
        fields: "Authorization: Token acme-key-5f1c77\r\n",
        status: 200,
    },
    Case {
        path: "/a/x",
        fields: "AUTHORIZATION: token   bolt-key-2 \r\n",
        status: 200,
    },
    Case {
        path: "/a/x",
        fields: "",
        status: 401,
    },
    Case {
        path: "/a/x",
        fields: "Authorization: Token acme-key-5f1c78\r\n",
        status: 401,
    },
    Case {
        path: "/a/x",
        fields: "Authorization: Token acme-key-5f1c77\r\nauthorization: Token acme-key-5f1c77\r\n",
        status: 401,
    },
    Case {
        path: "/a/x",
        fields: "Authorization: Bearer acme-key-5f1c77\r\n",
        status: 401,
    },
    Case {
        path: "/a/x",
        fields: "Authorization: Token \r\n",
        status: 401,
    },
    Case {
        path: "/a/x",
        fields: "Authorization: acme-key-5f1c77\r\n",
        status: 401,
    },
    Case {
        path: "/a/x",
        fields: "Authorization: Token acme-key-5f1c77 bolt-key-2\r\n",
        status: 401,
    },
    Case {
        path: "/a/x",
        fields: "Tenant: acme\r\n",
        status: 401,
    },
    Case {
        path: "/open/x",
        fields: "",
        status: 200,
    },
    Case {
        path: "/open/x",
        fields: "Authorization: Token unknown\r\n",
        status: 401,
    },
    Case {
        path: "/none/x",
        fields: "Authorization: Token unknown\r\n",
        status: 404,
    },
    Case {
        path: "/none/x",
        fields: "",
        status: 404,
    },
];

#[test]
fn platform_api_keys_decide_who_is_served() {
    let (fixture, one, _two) = start();
    // A VM that has just started does not know its portion of the quotas yet.
    wait_for_status(&fixture, &authorization(BOLT_KEY), 200);
    for case in CASES {
        let before = one.arrivals().len();
        let reply = get(fixture.callers_address, case.path, case.fields);
        assert_eq!(reply.status, case.status, "{} {:?}", case.path, case.fields);
        let is_served = case.status == 200;
        assert_eq!(
            one.arrivals().len() > before,
            is_served,
            "{:?}",
            case.fields
        );
    }
}

/// Checks that leaves were told the tenant once and the key in no way. Returns the number of
/// requests.
fn check_heads(leaves: &[&Leaf], tenant: Option<&str>) -> usize {
    let heads: Vec<_> = leaves.iter().flat_map(|leaf| leaf.heads()).collect();
    let digest = KeyDigest::of(ACME_KEY.as_bytes()).to_string();
    for head in &heads {
        let named = head
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("tenant"));
        let named: Vec<&str> = named.map(|(_, value)| value.as_str()).collect();
        assert_eq!(named, Vec::from_iter(tenant), "{head:?}");
        for (name, value) in head {
            assert!(!name.eq_ignore_ascii_case("authorization"), "{head:?}");
            assert!(
                !value.contains(ACME_KEY) && !value.contains(&digest),
                "{head:?}"
            );
        }
    }
    heads.len()
}

/// Returns the ids of the requests that a leaf was sent.
fn ids(leaf: &Leaf) -> Vec<String> {
    let heads = leaf.heads();
    let fields = heads.into_iter().flatten();
    let ids = fields.filter(|(name, _)| name.eq_ignore_ascii_case("request-id"));
    ids.map(|(_, id)| id).collect()
}

/// Fields by which a caller names another tenant.
const SPOOFED: &str = "Tenant: evil\r\ntENANT: bolt\r\nTENANT: \r\nConnection: keep-alive\r\n";

/// A way in which requests reach leaves.
struct Way {
    name: &'static str,
    path: &'static str,
    answers: (Answer, Answer),
    /// Whether several leaves have to get the same request. Any request may be hedged.
    is_repeated: bool,
}

const WAYS: &[Way] = &[
    Way {
        name: "one leaf",
        path: "/a/x",
        answers: (Answer::Whole, Answer::Whole),
        is_repeated: false,
    },
    Way {
        name: "parts of a query",
        path: "/q/x",
        answers: (Answer::Whole, Answer::Whole),
        is_repeated: true,
    },
    Way {
        name: "retries",
        path: "/a/x",
        answers: (Answer::Rejected, Answer::Rejected),
        is_repeated: true,
    },
    Way {
        name: "hedges",
        path: "/a/x",
        answers: (
            Answer::Late(Duration::from_millis(900)),
            Answer::Late(Duration::from_millis(900)),
        ),
        is_repeated: true,
    },
];

#[test]
fn platform_api_keys_leaves_are_told_the_tenant_and_never_the_key() {
    let key = authorization(ACME_KEY);
    for case in WAYS {
        let (fixture, one, two) = start();
        let other = leaf(&fixture, "one", b"one");
        fixture.wait_until(|fixture| {
            get(fixture.callers_address, "/q/x", &key);
            !other.runs().is_empty() && !two.runs().is_empty()
        });
        one.set_answer(case.answers.0);
        other.set_answer(case.answers.1);
        let leaves = [&one, &other, &two];
        let is_repeated = || {
            let mut ids: Vec<String> = leaves.iter().flat_map(|leaf| ids(leaf)).collect();
            ids.sort();
            ids.windows(2).any(|pair| pair[0] == pair[1])
        };
        let before = check_heads(&leaves, Some("acme"));
        leaves.iter().for_each(|leaf| leaf.clear_heads());
        assert!(before > 0 && !is_repeated(), "{}", case.name);
        let fields = format!("{SPOOFED}{key}");
        for _ in 0..20 {
            get(fixture.callers_address, case.path, &fields);
            if is_repeated() {
                break;
            }
            // Leaves that reject requests are passed over for a moment.
            std::thread::sleep(Duration::from_millis(100));
        }
        assert!(check_heads(&leaves, Some("acme")) > 0, "{}", case.name);
        assert!(is_repeated() || !case.is_repeated, "{}", case.name);
    }
}

#[test]
fn platform_api_keys_trailers_name_no_tenant_and_anonymous_requests_have_none() {
    let (fixture, one, _two) = start();
    let body = "5\r\nrope!\r\n0\r\nTenant: evil\r\nAuthorization: Token acme-key-5f1c77\r\n\r\n";
    let request = |path: &str, key: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nDeadline-Ms: 2000\r\n\
             {key}Trailer: Tenant\r\nTransfer-Encoding: chunked\r\n\r\n{body}"
        )
    };
    let by_key = request("/a/x", &authorization(ACME_KEY));
    assert_eq!(send(fixture.callers_address, by_key.as_bytes()).status, 200);
    assert!(check_heads(&[&one], Some("acme")) > 0);
    let without_key = request("/a/x", "");
    assert_eq!(
        send(fixture.callers_address, without_key.as_bytes()).status,
        401
    );
    let fixture = Fixture::start();
    let one = leaf(&fixture, "one", b"one");
    fixture
        .store
        .put("op/config", tenant_document(1, tenants()));
    fixture.wait_for_leaf("/open/x");
    let anonymous = request("/open/x", SPOOFED);
    assert_eq!(
        send(fixture.callers_address, anonymous.as_bytes()).status,
        200
    );
    assert!(check_heads(&[&one], None) > 1);
}

#[test]
fn platform_api_keys_requests_that_another_vm_serves_keep_their_tenant() {
    let deployment = Deployment::start(&["near", "near"]);
    for vm in &deployment.vms {
        let store = &deployment.vms[0].store;
        store.put("op/config", tenant_document(2, tenants()));
        // The first version has no tenants.
        wait_for_status(vm, "", 401);
    }
    let cut = deployment.vms[0].callers_address;
    let heads = |leaf: &Leaf| leaf.heads().len();
    let known: Vec<usize> = deployment.leaves.iter().map(heads).collect();
    deployment.change_links(0, hang);
    let fields = format!("{SPOOFED}{}", authorization(ACME_KEY));
    let end = std::time::Instant::now() + Duration::from_secs(3);
    let mut served = 0;
    while std::time::Instant::now() < end {
        served += usize::from(get(cut, "/a/x", &fields).status == 200);
        assert_ne!(get(cut, "/a/x", &authorization("unknown")).status, 200);
    }
    assert!(served > 0, "no request was served by the other VM");
    for (leaf, known) in deployment.leaves.iter().zip(known) {
        for head in leaf.heads().drain(known..) {
            let tenants = head.iter().filter(|(name, _)| name == "Tenant");
            let tenants: Vec<&str> = tenants.map(|(_, value)| value.as_str()).collect();
            assert_eq!(tenants, ["acme"], "{head:?}");
            let is_key = |(name, value): &(String, String)| {
                name.eq_ignore_ascii_case("authorization")
                    || value.contains(ACME_KEY)
                    || name.to_lowercase().contains("digest")
            };
            assert!(!head.iter().any(is_key), "{head:?}");
        }
    }
}

/// A request that is held until its trial is sent as it was received, so that the key has to be
/// removed then.
#[test]
fn platform_api_keys_requests_that_waited_for_a_trial_keep_their_tenant() {
    let (fixture, one, two) = start();
    let others = ["a", "b"].map(|_| leaf(&fixture, "one", b"one"));
    let leaves = [&one, &others[0], &others[1]];
    let key = authorization(ACME_KEY);
    fixture.wait_until(|fixture| {
        get(fixture.callers_address, "/q/x", &key);
        leaves.iter().all(|leaf| !leaf.runs().is_empty()) && !two.runs().is_empty()
    });
    let send = || {
        let id: u64 = rand::random();
        let head = format!("POST /a/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id:016x}\r\n");
        let fields = format!("Deadline-Ms: 1000\r\nContent-Length: 6\r\n{SPOOFED}{key}");
        let bytes = format!("{head}{fields}\r\nbeside");
        send(fixture.callers_address, bytes.as_bytes())
    };
    leaves.iter().for_each(|leaf| leaf.set_answer(Answer::Lost));
    fixture.wait_until(|fixture| {
        get(fixture.callers_address, "/two/x", &key);
        let reply = send();
        let is_withheld = reply
            .body
            .starts_with(b"it has not run, because leaves crashed");
        reply.status == 503 && is_withheld
    });
    leaves
        .iter()
        .for_each(|leaf| leaf.set_answer(Answer::Whole));
    leaves.iter().for_each(|leaf| leaf.clear_heads());
    fixture.wait_until(|_| send().status == 200);
    assert!(check_heads(&leaves, Some("acme")) > 0);
}

#[test]
fn platform_api_keys_never_appear_in_log_lines() {
    let store = Store::start();
    store.put("op/config", tenant_document(1, tenants()));
    let _one = Leaf::start(&store, "one", "near", b"one");
    let folder = tempfile::tempdir().unwrap();
    let binary = env!("CARGO_BIN_EXE_geraniummount").as_ref();
    let sections = "[bounds]\nrevoke_ms = 5000\n[log]\nlevel = debug\n";
    let address = store.address();
    let vm = Vm::start_with(binary, folder.path(), 31, address, sections).unwrap();
    let end = std::time::Instant::now() + super::fixture::WAIT_TIMEOUT;
    let is_served = || {
        std::net::TcpStream::connect(vm.caller_address).is_ok()
            && get(vm.caller_address, "/a/x", &authorization(ACME_KEY)).status == 200
    };
    while !is_served() {
        assert!(std::time::Instant::now() < end, "{}", vm.log());
        std::thread::sleep(Duration::from_millis(20));
    }
    for fields in [
        authorization("unknown-key-77"),
        format!("{}{}", authorization(ACME_KEY), authorization(BOLT_KEY)),
        format!("Authorization: Bearer {BOLT_KEY}\r\n"),
    ] {
        assert_eq!(get(vm.caller_address, "/a/x", &fields).status, 401);
    }
    let invalid =
        json!([{"name": "x", "apiKeys": ["secret-1"]}, {"name": "y", "apiKeys": ["secret-1"]}]);
    store.put("op/config", tenant_document(2, invalid));
    while !vm.log().contains("outcome=kept-last") {
        assert!(std::time::Instant::now() < end, "{}", vm.log());
        std::thread::sleep(Duration::from_millis(20));
    }
    let log = vm.log();
    for key in [ACME_KEY, BOLT_KEY, "unknown-key-77", "secret-1"] {
        let digest = KeyDigest::of(key.as_bytes()).to_string();
        assert!(
            !log.contains(key) && !log.contains(&digest),
            "{key} in {log}"
        );
    }
}

#[test]
fn platform_api_keys_without_a_configuration_requests_get_503() {
    let fixture = Fixture::start();
    for fields in ["", &authorization(ACME_KEY), "Authorization: nonsense\r\n"] {
        let reply = get(fixture.callers_address, "/a/x", fields);
        assert_eq!(reply.status, 503, "{fields:?}");
        assert!(reply.field("Retry-After").is_some());
    }
}

#[test]
fn platform_api_keys_of_100_kb_get_an_error_and_nothing_is_lost() {
    let (fixture, one, _two) = start();
    let before = one.arrivals().len();
    let long = authorization(&"k".repeat(100_000));
    for _ in 0..20 {
        assert_eq!(get(fixture.callers_address, "/a/x", &long).status, 431);
    }
    assert_eq!(one.arrivals().len(), before);
    let reply = get(fixture.callers_address, "/a/x", &authorization(ACME_KEY));
    assert_eq!(reply.status, 200);
}

/// Guards deployments without tenants: their leaves may use the field themselves.
#[test]
fn platform_api_keys_without_tenants_fields_are_passed_on() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let one = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    assert_eq!(
        get(
            fixture.callers_address,
            "/a/x",
            "Authorization: Basic abc\r\n"
        )
        .status,
        200
    );
    let head = one.heads().pop().unwrap();
    assert!(
        head.iter()
            .any(|(name, value)| name == "Authorization" && value == "Basic abc")
    );
}
