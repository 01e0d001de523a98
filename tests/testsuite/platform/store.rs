//! Routes and leaves follow the store, whatever becomes of its connections.

use std::net::Ipv4Addr;

use geraniummount_test_support::platform::users::{Store, WatchDelivery};
use geraniummount_test_support::proxy::Proxy;

use super::scene::{Scene, document, leaf, service_route};

/// What happens to the store right before a version is written.
#[derive(Debug)]
struct Case {
    name: &'static str,
    before: fn(&Scene),
    after: fn(&Scene),
}

const CASES: &[Case] = &[
    Case {
        name: "nothing",
        before: |_| {},
        after: |_| {},
    },
    Case {
        name: "watches are cut",
        before: |scene| scene.store.disconnect_all(),
        after: |_| {},
    },
    Case {
        name: "the history is dropped after the change",
        before: |_| {},
        after: |scene| scene.store.compact(),
    },
    Case {
        name: "the change is lost with the connection, and new watches hear nothing",
        before: |scene| scene.store.set_watch_delivery(WatchDelivery::Nothing),
        after: |scene| scene.store.disconnect_all(),
    },
    Case {
        name: "the store refuses for a while",
        before: |scene| {
            scene.store.set_error_status(Some(503));
            scene.store.disconnect_all();
        },
        after: |scene| {
            std::thread::sleep(std::time::Duration::from_millis(300));
            scene.store.set_error_status(None);
        },
    },
];

#[test]
fn platform_store_versions_come_into_force() {
    for case in CASES {
        let scene = Scene::start();
        let routes = [service_route("/a/", "idempotent", "one")];
        scene.configure(1, &routes);
        (case.before)(&scene);
        scene.store.put("op/config", document(2, &routes));
        (case.after)(&scene);
        eprintln!("case: {}", case.name);
        scene.wait(|scene| scene.get("/v2/", 1000).status != 404);
    }
}

/// A proxy answers for the connection all along, so that only what comes over
/// it, or doesn't, shows its silence.
#[test]
fn platform_store_versions_come_into_force_though_the_watch_falls_silent() {
    const SEED: u64 = 1;
    let store = Store::start();
    let proxy = Proxy::start(Ipv4Addr::LOCALHOST, store.address(), SEED).unwrap();
    let scene = Scene::start_with(store, proxy.address());
    let routes = [service_route("/a/", "idempotent", "one")];
    scene.configure(1, &routes);
    let before = scene.store.calls();
    scene.store.put("servers/odd", "a change");
    // The call after the one that told of the change waits for the next.
    scene.wait(|scene| scene.store.calls() > before);
    proxy.blackhole_connections();
    scene.store.put("op/config", document(2, &routes));
    scene.wait(|scene| scene.get("/v2/", 1000).status != 404);
}

#[test]
fn platform_store_older_or_unreadable_versions_change_nothing() {
    let scene = Scene::start();
    let routes = [service_route("/a/", "idempotent", "one")];
    scene.configure(5, &routes);
    for value in [
        document(4, &routes),
        "{\"version\": 9".to_string(),
        "[]".to_string(),
    ] {
        scene.store.put("op/config", value);
        std::thread::sleep(std::time::Duration::from_millis(400));
        assert_ne!(scene.get("/v5/", 1000).status, 404);
        assert_eq!(scene.get("/v4/", 1000).status, 404);
    }
    scene.configure(6, &routes);
}

#[test]
fn platform_store_unreadable_entries_name_no_leaf_and_the_others_hold() {
    let scene = Scene::start();
    scene.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let good = leaf(&scene, "one", b"good");
    scene.wait_for("/a/x");
    let entries = [
        "no json",
        "{}",
        r#"{"backend":"one","address":"nowhere","zone":"near","concurrency":2,"state":"ready"}"#,
        r#"{"backend":"one","address":"127.0.0.1:1","zone":"near","concurrency":"2","state":"ready"}"#,
        r#"{"backend":"one","address":"127.0.0.1:1","zone":"near","concurrency":2,"state":"odd"}"#,
    ];
    for (number, entry) in entries.iter().enumerate() {
        scene.store.put(&format!("servers/odd-{number}"), *entry);
    }
    std::thread::sleep(std::time::Duration::from_millis(500));
    for _ in 0..20 {
        assert_eq!(scene.get("/a/x", 1000).status, 200);
    }
    assert!(good.runs().len() >= 20);
}

#[test]
fn platform_store_not_ready_and_503_until_routes_are_known() {
    let scene = Scene::start();
    assert!(!scene.is_ready());
    let reply = scene.get("/a/x", 1000);
    assert_eq!(reply.status, 503);
    assert!(reply.field("Retry-After").is_some());
    scene.configure(1, &[service_route("/a/", "idempotent", "one")]);
    scene.wait(Scene::is_ready);
}
