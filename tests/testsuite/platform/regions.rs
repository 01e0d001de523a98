//! Requests of a route or a tenant that is restricted to regions reach leaves and other VMs of these
//! regions only.

use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Answer, Leaf, Store};
use serde_json::{Value, json};

use super::deployment::{Deployment, SHARDS, hang};
use super::fixture::{Fixture, document, exchange, leaf, request, service_route};

const REQUESTS: usize = 12;

/// Time in which a VM finds out that it has lost its links.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Starts a gateway that knows the regions of the failure domains.
fn start(domain: &str, store: Store, address: std::net::SocketAddr) -> Fixture {
    Fixture::start_with_options(domain, store, address, |options| {
        let regions = [("far", "us"), ("near", "eu"), ("near-b", "eu")];
        let regions = regions.map(|(domain, region)| (domain.to_string(), region.to_string()));
        options.regions = regions.to_vec();
    })
}

fn start_with_new_store(domain: &str) -> Fixture {
    let store = Store::start();
    let address = store.address();
    start(domain, store, address)
}

fn restricted(prefix: &str, service: &str, regions: &[&str]) -> Value {
    let mut route = service_route(prefix, "idempotent", service);
    route["allowedRegions"] = json!(regions);
    route
}

/// Guards against first attempts, hedges and retries at leaves of other regions.
#[test]
fn platform_regions_of_a_route_bind_first_attempts_hedges_and_retries() {
    let fixture = start_with_new_store("near");
    fixture.configure(
        1,
        &[
            restricted("/us/", "one", &["us"]),
            restricted("/asia/", "one", &["asia"]),
            service_route("/any/", "idempotent", "one"),
        ],
    );
    let near = leaf(&fixture, "one", b"one");
    let far = Leaf::start(&fixture.store, "one", "far", b"one");
    fixture.wait_for_leaf("/us/x");
    fixture.wait_for_leaf("/any/x");
    let before = near.arrivals().len();
    for answer in [
        Answer::Whole,
        Answer::Rejected,
        Answer::Failed,
        Answer::Lost,
        Answer::Late(Duration::from_millis(200)),
    ] {
        far.set_answer(answer);
        for _ in 0..REQUESTS {
            fixture.get("/us/x", 2000);
        }
    }
    let sent = Instant::now();
    let reply = fixture.get("/asia/x", 10_000);
    assert_eq!(reply.status, 503);
    assert!(reply.field("Retry-After").is_some());
    assert!(sent.elapsed() < Duration::from_secs(1));
    assert_eq!(near.arrivals().len(), before);
}

/// Guards against a restriction that is ignored because the settings name no regions.
#[test]
fn platform_regions_that_are_unknown_are_not_allowed() {
    let fixture = Fixture::start();
    let routes = [
        restricted("/eu/", "one", &["eu"]),
        service_route("/any/", "idempotent", "one"),
    ];
    fixture.configure(1, &routes);
    let _near = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/any/x");
    assert_eq!(fixture.get("/eu/x", 2000).status, 503);
}

/// Guards against a list of a route that hides that of a tenant, or the other way round.
#[test]
fn platform_regions_of_a_tenant_bind_in_addition() {
    let fixture = start_with_new_store("near");
    let routes = [
        service_route("/any/", "idempotent", "one"),
        restricted("/eu/", "one", &["eu"]),
    ];
    let mut document: Value = serde_json::from_str(&document(1, &routes)).unwrap();
    document["tenants"] = json!([
        {"name": "free", "apiKeys": ["free-key"]},
        {"name": "us-only", "apiKeys": ["us-key"], "allowedRegions": ["us"]},
    ]);
    fixture.store.put("op/config", document.to_string());
    let near = leaf(&fixture, "one", b"one");
    let far = Leaf::start(&fixture.store, "one", "far", b"one");
    let get = |path: &str, key: &str| {
        let mut bytes = request("GET", path, 2000, b"");
        let line_end = bytes.windows(2).position(|pair| pair == b"\r\n").unwrap() + 2;
        let field = format!("Authorization: Token {key}\r\n").into_bytes();
        bytes.splice(line_end..line_end, field);
        exchange(fixture.callers_address, &bytes).unwrap().status
    };
    fixture.wait_until(|_| get("/any/x", "us-key") == 200 && get("/any/x", "free-key") == 200);
    let (near_before, far_before) = (near.arrivals().len(), far.arrivals().len());
    for _ in 0..REQUESTS {
        assert_eq!(get("/any/x", "us-key"), 200);
        assert_eq!(get("/eu/x", "us-key"), 503);
    }
    assert_eq!(near.arrivals().len(), near_before);
    assert_eq!(far.arrivals().len(), far_before + REQUESTS);
}

/// Guards against requests that are passed to VMs of other regions, and against those that are
/// refused although a VM of an allowed region or of the own one would serve them.
#[test]
fn platform_regions_bind_the_vms_that_requests_are_delegated_to() {
    for (peer_domain, status) in [("far", 503), ("near-b", 200)] {
        let first = start_with_new_store("near");
        let address = first.store.address();
        let peer = start(peer_domain, Store::start(), address);
        let deployment = Deployment::start_with(vec![first, peer]);
        let routes = [
            service_route("/a/", "idempotent", SHARDS[0]),
            restricted("/eu/", SHARDS[0], &["eu"]),
        ];
        deployment.vms[0].configure(2, &routes);
        deployment.vms[1].wait_for_leaf("/eu/x");
        deployment.vms[0].wait_for_leaf("/eu/x");
        deployment.change_links(0, hang);
        deployment.send_for(0, DETECTION_TIME);
        deployment.vms[0].wait_until(|vm| vm.get("/a/x", 2000).status == 200);
        let served = |_| deployment.vms[0].get("/eu/x", 2000).status;
        let statuses: Vec<u16> = (0..REQUESTS).map(served).collect();
        assert!(
            statuses.iter().all(|found| *found == status),
            "{peer_domain}: {statuses:?}"
        );
    }
}
