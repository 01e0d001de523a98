//! Guards against requests that are handled by older routes than an earlier one: a VM has lost its
//! links to the leaves, the store turns it away while the routes change, and another VM serves a
//! request of its callers by the newer routes.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Leaf, Store};
use geraniummount_test_support::proxy::{Link, Proxy};
use serde_json::Value;

use super::deployment::{Deployment, SHARDS, hang, refuse, register_vm, restore, start_vm};
use super::fixture::{Fixture, document, gather_route, service_route};

/// Time for which requests are sent after the effect of the newer routes was seen.
const OBSERVED_TIME: Duration = Duration::from_secs(2);

/// Time in which a VM finds out that it has lost its links, or has got them back.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);

/// Time for which requests are sent once the newer routes are in force.
const SHORT_TIME: Duration = Duration::from_millis(300);

const MOVED: &[u8] = b"record-of-moved.";

/// Two VMs, of which the one that is cut off reaches the store through a proxy.
struct Stage {
    deployment: Deployment,
    store_link: Proxy,
    /// Leaf of the service that routes move to.
    moved: Leaf,
}

/// Returns the routes before (version 2) and after a change (version 3): `/a/` and `/b/` move to the
/// service `moved`, and `/n/` is added.
fn changed_routes(version: u64) -> Vec<Value> {
    let service = |before| if version < 3 { before } else { "moved" };
    let mut routes = vec![
        service_route("/a/", "idempotent", service(SHARDS[1])),
        service_route("/b/", "idempotent", service(SHARDS[3])),
        service_route("/c/", "idempotent", SHARDS[2]),
        gather_route("/q/", &SHARDS, 5, 0.9),
    ];
    if version >= 3 {
        routes.push(service_route("/n/", "idempotent", "moved"));
    }
    routes
}

impl Stage {
    fn start() -> Stage {
        let store = Store::start();
        let store_link = Proxy::start(Ipv4Addr::LOCALHOST, store.address(), 1).unwrap();
        let address = store.address();
        let other = Fixture::start_in("near", store, address);
        let cut = Fixture::start_in("near", Store::start(), store_link.address());
        // The deployment writes to the store of its first VM.
        let mut deployment = Deployment::start_with(vec![other, cut]);
        let mut moved = Leaf::unregistered("moved", "near", MOVED);
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, moved.address(), 2).unwrap();
        moved.register_at(&deployment.vms[0].store, proxy.address());
        deployment.proxies.push(proxy);
        let stage = Stage {
            deployment,
            store_link,
            moved,
        };
        stage.other().configure(2, &changed_routes(2));
        for path in ["/a/x", "/b/x", "/c/x"] {
            stage.cut().wait_for_leaf(path);
        }
        stage
    }

    /// The VM that loses its links and the store.
    fn cut(&self) -> &Fixture {
        &self.deployment.vms[1]
    }

    fn other(&self) -> &Fixture {
        &self.deployment.vms[0]
    }

    /// Cuts a VM off from the leaves and the store, and changes the routes meanwhile.
    fn change_routes_while_cut(&self, cut: fn(&mut Link)) {
        self.store_link.change_all(refuse);
        self.store_link.close_connections();
        self.deployment.change_links(1, cut);
        self.send_until_detected();
        let routes = document(3, &changed_routes(3));
        self.other().store.put("op/config", routes);
        self.other().wait_until(|other| {
            self.cut().get("/b/x", 300);
            other.get("/n/x", 300).status == 200
        });
    }

    /// Sends requests until the VM has noticed a change of its links. Those for `/b/` keep their
    /// connection open.
    fn send_until_detected(&self) {
        let end = Instant::now() + DETECTION_TIME;
        while Instant::now() < end {
            self.cut().get("/c/x", 300);
            self.cut().get("/b/x", 300);
        }
    }

    /// Returns whether a request was handled by the newer routes. If an earlier one was
    /// (`has_seen`), asserts that this one was not handled by the older ones.
    fn is_newer(&self, path: &str, has_seen: bool) -> bool {
        let reply = self.cut().get(path, 500);
        let is_newer = reply.status == 200 && reply.body == MOVED;
        let is_older = reply.status == 404 || (reply.status == 200 && !is_newer);
        assert!(
            !(has_seen && is_older),
            "{path} was handled by older routes: {}",
            reply.status
        );
        is_newer
    }

    /// Waits until a request for the first path is handled by the newer routes, then asserts for a
    /// while that none is handled by the older ones; returns how many were served by the newer ones.
    fn observe(&self, paths: &[&str]) -> usize {
        self.cut().wait_until(|_| {
            self.cut().get("/b/x", 300);
            self.is_newer(paths[0], false)
        });
        self.count_newer(paths, OBSERVED_TIME)
    }

    /// Asserts for a while that no request is handled by the older routes; returns how many were
    /// served by the newer ones.
    fn count_newer(&self, paths: &[&str], time: Duration) -> usize {
        let end = Instant::now() + time;
        let mut newer = 0;
        while Instant::now() < end {
            for path in paths {
                newer += usize::from(self.is_newer(path, true));
            }
        }
        newer
    }
}

#[test]
fn platform_older_routes_are_not_used_after_newer_ones_were_seen() {
    struct Case {
        name: &'static str,
        cut: fn(&mut Link),
        /// Paths of the requests that are observed.
        paths: &'static [&'static str],
    }
    const CASES: &[Case] = &[
        Case {
            name: "connections hang",
            cut: hang,
            paths: &["/a/x", "/b/x", "/n/x"],
        },
        Case {
            name: "open connections of one route live on, and new ones are refused",
            cut: refuse,
            paths: &["/a/x", "/b/x"],
        },
    ];
    for case in CASES {
        let stage = Stage::start();
        stage.change_routes_while_cut(case.cut);
        assert!(
            stage.observe(case.paths) > 0,
            "{}: none was served",
            case.name
        );
        // The links come back before the store does.
        stage.deployment.change_links(1, restore);
        assert!(
            stage.count_newer(case.paths, DETECTION_TIME) > 0,
            "{}: none was served after the links were back",
            case.name
        );
        // The store comes back.
        stage.store_link.change_all(restore);
        let unknown = |_: &Fixture| stage.cut().get("/none/x", 500).status == 404;
        stage.cut().wait_until(unknown);
        assert!(stage.count_newer(case.paths, SHORT_TIME) > 0);
        assert!(!stage.moved.runs().is_empty());
    }
}

#[test]
fn platform_older_routes_are_not_used_while_no_other_vm_can_be_asked() {
    let mut stage = Stage::start();
    stage.change_routes_while_cut(hang);
    assert!(stage.observe(&["/n/x"]) > 0);
    stage.deployment.change_links(1, restore);
    stage.send_until_detected();
    stage.other().stop();
    assert!(stage.deployment.vms[0].join());
    let end = Instant::now() + OBSERVED_TIME;
    while Instant::now() < end {
        let began = Instant::now();
        let reply = stage.cut().get("/a/x", 2_000);
        let status = reply.status;
        assert!(
            matches!(status, 502..=504),
            "handled by older routes: {status}"
        );
        let is_waiting = reply.status == 503 && began.elapsed() > Duration::from_secs(1);
        assert!(!is_waiting, "a request that can't be served waits");
    }
}

/// What a VM sends that handles a request by version 9 of the routes, before its answer.
const ACKNOWLEDGEMENT: &[u8] = b"HTTP/1.1 102 Processing\r\nGeraniummount-Version: 9\r\n\r\n";

#[test]
fn platform_older_routes_are_not_used_after_another_vm_has_lost_its_answer() {
    let deployment = Deployment::start(&["near"]);
    let vm = &deployment.vms[0];
    register_vm(&vm.store, "ending", start_vm(ACKNOWLEDGEMENT));
    deployment.change_links(0, hang);
    vm.wait_until(|vm| vm.get("/a/x", 500).status == 502);
    deployment.change_links(0, restore);
    let end = Instant::now() + OBSERVED_TIME;
    while Instant::now() < end {
        let status = vm.get("/a/x", 500).status;
        assert!(
            matches!(status, 502..=504),
            "handled by older routes: {status}"
        );
    }
}
