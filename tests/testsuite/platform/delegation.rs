//! A VM without links to leaves passes requests to other VMs, also to faulty ones, without losing,
//! repeating or mixing anything.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Answer, Leaf, Store};
use geraniummount_test_support::proxy::Proxy;

use super::deployment::{Deployment, SHARDS, hang, refuse, register_vm, restore, start_vm};
use super::fixture::{Fixture, WAIT_TIMEOUT, connect, gather_route, request, service_route};

/// Prefix of the fields between VMs.
const OWN_FIELDS: &str = "Geraniummount-";

/// Time in which a VM finds out that it has lost its links.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Time after which a gateway has not yet closed an idle connection to a leaf.
const MAX_IDLE_TIME: Duration = Duration::from_millis(350);

/// Maximum number of runs of a test that needs one in which the machine does not stall.
const MAX_RUNS: usize = 8;

/// Starts two VMs, of which the first has lost its links, as it knows.
fn deployment_with_cut_vm(domains: &[&str]) -> Deployment {
    let deployment = Deployment::start(domains);
    deployment.change_links(0, hang);
    deployment.send_for(0, DETECTION_TIME);
    deployment
}

/// Returns the number of runs of the request with an id at all leaves.
fn runs_of(deployment: &Deployment, id: &str) -> usize {
    let runs = deployment.leaves.iter().flat_map(|leaf| leaf.runs());
    runs.filter(|run| run == id).count()
}

/// Sends bytes to an address and reads one answer.
fn send(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    Reply::read(&mut stream).expect("whole answer")
}

#[test]
fn platform_delegation_passes_over_a_frozen_vm() {
    let deployment = Deployment::start(&["near", "near"]);
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = &deployment.vms[0].store;
    register_vm(store, "frozen", frozen.local_addr().unwrap());
    deployment.change_links(0, hang);
    deployment.send_for(0, DETECTION_TIME);
    assert_eq!(deployment.count_served(0, 40), 40);
}

#[test]
fn platform_delegation_passes_over_a_vm_that_is_gone() {
    let deployment = Deployment::start(&["near", "near"]);
    let gone = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .unwrap();
    register_vm(&deployment.vms[0].store, "gone", gone);
    deployment.change_links(0, hang);
    deployment.send_for(0, DETECTION_TIME);
    assert_eq!(deployment.count_served(0, 40), 40);
}

/// Answer of a VM that declines a request as overloaded.
const OVERLOADED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nGeraniummount-Decline: overloaded\r\n\
    Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

#[test]
fn platform_delegation_passes_over_a_full_vm() {
    let deployment = Deployment::start(&["near", "near"]);
    register_vm(&deployment.vms[0].store, "full", start_vm(OVERLOADED));
    deployment.change_links(0, hang);
    deployment.send_for(0, DETECTION_TIME);
    assert_eq!(deployment.count_served(0, 40), 40);
}

#[test]
fn platform_delegation_does_not_need_the_store() {
    let deployment = Deployment::start(&["near", "near"]);
    let store = &deployment.vms[0].store;
    store.set_error_status(Some(503));
    store.disconnect_all();
    deployment.change_links(0, hang);
    deployment.send_for(0, DETECTION_TIME);
    assert_eq!(deployment.count_served(0, 20), 20);
    assert!(deployment.vms[0].is_ready());
}

#[test]
fn platform_delegation_runs_a_request_that_is_not_idempotent_once() {
    let deployment = Deployment::start(&["near", "near"]);
    let routes = [
        service_route("/a/", "idempotent", SHARDS[0]),
        service_route("/o/", "non_idempotent", SHARDS[0]),
        gather_route("/q/", &SHARDS, 5, 0.9),
    ];
    deployment.vms[0].configure(2, &routes);
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = &deployment.vms[0].store;
    register_vm(store, "frozen", frozen.local_addr().unwrap());
    deployment.change_links(0, hang);
    deployment.send_for(0, DETECTION_TIME);
    let mut served = 0;
    for number in 0..20 {
        let id = format!("order-{number}");
        let head = format!("POST /o/{number} HTTP/1.1\r\nHost: shop.example\r\n");
        let fields = format!("Request-Id: {id}\r\nDeadline-Ms: 500\r\nContent-Length: 5\r\n\r\n");
        let bytes = format!("{head}{fields}order");
        let reply = send(deployment.vms[0].callers_address, bytes.as_bytes());
        let runs = runs_of(&deployment, &id);
        assert!(runs <= 1, "{id} ran {runs} times");
        match reply.status {
            200 => served += 1,
            503 => assert_eq!(runs, 0, "{id} was refused as not run"),
            status => assert!(matches!(status, 502 | 504), "{id}: {status}"),
        }
    }
    assert!(served >= 10, "{served} served");
}

/// Starts and registers a leaf of the first shard that closes each connection once it has read
/// something, like an address that accepts connections for a link that is lost.
fn register_closing_leaf(store: &Store) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut leaf = Leaf::unregistered(SHARDS[0], "near", b"");
    leaf.register_at(store, listener.local_addr().unwrap());
    thread::spawn(move || {
        for stream in listener.incoming() {
            // The gateway may have given the connection up.
            let _ = stream.unwrap().read(&mut [0; 4096]);
        }
    });
}

/// Starts and registers a leaf of service `unconnected` behind a proxy that closes all connections.
fn register_unconnected_leaf(vm: &Fixture) -> (Leaf, Proxy) {
    let mut leaf = Leaf::unregistered("unconnected", "near", b"");
    let proxy = Proxy::start(Ipv4Addr::LOCALHOST, leaf.address(), 1).unwrap();
    proxy.change_all(refuse);
    leaf.register_at(&vm.store, proxy.address());
    (leaf, proxy)
}

/// Sends a VM orders while only its open connections work; returns their statuses, or `None` if the
/// machine stalled meanwhile, so that the connections were closed as idle.
fn statuses_on_open_connections() -> Option<Vec<u16>> {
    let deployment = Deployment::start(&["near"]);
    let vm = &deployment.vms[0];
    let routes = [
        service_route("/a/", "idempotent", SHARDS[0]),
        service_route("/b/", "idempotent", "unconnected"),
        service_route("/o/", "non_idempotent", SHARDS[0]),
    ];
    vm.configure(2, &routes);
    // The VM finds the loss out by connections to these leaves, which are closed at once.
    let _unconnected: Vec<(Leaf, Proxy)> = (0..4).map(|_| register_unconnected_leaf(vm)).collect();
    vm.wait_for_leaf("/a/x");
    deployment.change_links(0, refuse);
    let began = Instant::now();
    let mut last = began;
    let mut is_stalled = || {
        last.elapsed() > MAX_IDLE_TIME || {
            last = Instant::now();
            false
        }
    };
    while began.elapsed() < DETECTION_TIME {
        vm.get("/b/x", 1000);
        let is_served = vm.get("/a/x", 1000).status == 200;
        if is_stalled() {
            return None;
        }
        assert!(is_served, "open connections are not used");
    }
    (0..8).for_each(|_| register_closing_leaf(&vm.store));
    let mut statuses = Vec::new();
    for number in 0..200 {
        let reply = vm.send("POST", &format!("/o/{number}"), 1000, b"order");
        if is_stalled() {
            return None;
        }
        statuses.push(reply.status);
        thread::sleep(Duration::from_millis(20));
    }
    Some(statuses)
}

/// While only new connections fail, open ones are used. A request that may run only once must not
/// be lost on a new one, as it can't be sent again.
#[test]
fn platform_delegation_opens_no_connection_for_a_request_that_runs_once() {
    let mut runs = (0..MAX_RUNS).filter_map(|_| statuses_on_open_connections());
    let statuses = runs.next().expect("the machine stalled in each run");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[test]
fn platform_delegation_ends_at_a_vm_without_links() {
    let deployment = Deployment::start(&["near", "near"]);
    deployment.change_links(0, hang);
    deployment.change_links(1, hang);
    deployment.send_for(0, DETECTION_TIME);
    deployment.send_for(1, DETECTION_TIME);
    for _ in 0..5 {
        let began = Instant::now();
        let reply = deployment.vms[0].get("/q/x", 2000);
        assert_eq!(reply.status, 503);
        assert!(reply.field("Retry-After").is_some());
        assert!(began.elapsed() < Duration::from_millis(500));
    }
}

#[test]
fn platform_delegation_of_requests_to_leaves_that_are_gone_is_refused_at_once() {
    let mut deployment = Deployment::start(&["near", "near", "far"]);
    deployment.leaves.clear();
    deployment.proxies.clear();
    for vm in 0..3 {
        deployment.send_for(vm, DETECTION_TIME);
    }
    for _ in 0..5 {
        let began = Instant::now();
        let reply = deployment.vms[0].get("/q/x", 2000);
        assert_eq!(reply.status, 503);
        assert!(began.elapsed() < Duration::from_millis(500));
    }
}

#[test]
fn platform_delegation_ends_soon_after_the_links_are_back() {
    let deployment = deployment_with_cut_vm(&["near", "near"]);
    deployment.change_links(0, restore);
    std::thread::sleep(Duration::from_secs(1));
    deployment.change_links(1, refuse);
    deployment.proxies.iter().for_each(Proxy::close_connections);
    assert_eq!(deployment.count_served(0, 20), 20);
}

#[test]
fn platform_delegation_passes_on_that_the_caller_has_left() {
    let deployment = deployment_with_cut_vm(&["near", "near"]);
    for leaf in &deployment.leaves {
        leaf.set_answer(Answer::Late(Duration::from_millis(1500)));
    }
    let mut stream = connect(deployment.vms[0].callers_address);
    stream
        .write_all(&request("GET", "/q/x", 5000, b""))
        .unwrap();
    std::thread::sleep(Duration::from_millis(200));
    drop(stream);
    let cancelled = |deployment: &Deployment| {
        let counts = deployment.leaves.iter().map(|leaf| leaf.cancelled());
        counts.sum::<u64>()
    };
    let end = Instant::now() + WAIT_TIMEOUT;
    while cancelled(&deployment) < SHARDS.len() as u64 {
        assert!(Instant::now() < end, "parts were not cancelled");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn platform_delegation_keeps_the_deadline() {
    let deployment = deployment_with_cut_vm(&["near", "near"]);
    for leaf in &deployment.leaves {
        leaf.set_answer(Answer::Late(Duration::from_secs(4)));
    }
    let began = Instant::now();
    let reply = deployment.vms[0].get("/a/x", 500);
    assert_eq!(reply.status, 504);
    assert!(began.elapsed() < Duration::from_millis(900));
}

#[test]
fn platform_delegation_requires_the_key_of_the_vm() {
    let deployment = Deployment::start(&["near", "near"]);
    let vm = &deployment.vms[1];
    let head = "GET /a/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: stranger\r\n";
    let terms = format!(
        "{OWN_FIELDS}From: vm\r\n{OWN_FIELDS}Min-Version: 1\r\n{OWN_FIELDS}Elapsed-Ms: 0\r\n\
         {OWN_FIELDS}Sends: 0\r\n"
    );
    let requests = [
        format!("{head}\r\n"),
        format!("{head}{terms}\r\n"),
        format!("{head}{terms}{OWN_FIELDS}Key: guess\r\n\r\n"),
    ];
    for request in requests {
        let reply = send(vm.peers_address, request.as_bytes());
        assert_eq!(reply.status, 503);
        let decline = reply.field("Geraniummount-Decline");
        assert_eq!(decline, Some("unauthorized"));
    }
    assert_eq!(runs_of(&deployment, "stranger"), 0);
    let unknown = b"GET /none/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: a\r\n\r\n";
    assert_eq!(send(vm.callers_address, unknown).status, 404);
}

#[test]
fn platform_delegation_hides_the_fields_between_vms_from_callers() {
    let deployment = deployment_with_cut_vm(&["near", "near"]);
    for path in ["/a/x", "/q/x", "/none/x"] {
        let reply = deployment.vms[0].get(path, 1000);
        let names = reply.field_names();
        let own = names.filter(|name| name.starts_with(OWN_FIELDS));
        assert_eq!(own.count(), 0, "{path}");
    }
}

/// An answer over several shards may be longer than a leaf's reply may be.
#[test]
fn platform_delegation_forwards_long_answers_whole() {
    let deployment = deployment_with_cut_vm(&["near", "near"]);
    let records = b"record-of-16-byt".repeat(80_000);
    for leaf in &deployment.leaves {
        leaf.set_records(&records);
    }
    let routes = [
        service_route("/a/", "idempotent", SHARDS[0]),
        gather_route("/long/", &SHARDS, 1_000_000, 1.0),
    ];
    deployment.vms[0].configure(2, &routes);
    deployment.vms[1].wait_for_leaf("/long/x");
    let direct = deployment.vms[1].get("/long/x", 5_000);
    assert_eq!(direct.status, 200);
    assert_eq!(direct.body.len(), SHARDS.len() * records.len());
    let delegated = deployment.vms[0].get("/long/x", 5_000);
    assert_eq!(delegated.status, 200);
    assert_eq!(delegated.body, direct.body);
}

#[test]
fn platform_delegation_does_not_go_back_to_older_routes() {
    let first = Fixture::start_with_new_store("near");
    let address = first.store.address();
    let proxy = Proxy::start(Ipv4Addr::LOCALHOST, address, 1).unwrap();
    // This VM reaches the store over a proxy, and so does no other.
    let outdated = Fixture::start_in("near", Store::start(), proxy.address());
    let deployment = Deployment::start_with(vec![
        first,
        outdated,
        Fixture::start_in("far", Store::start(), address),
    ]);
    proxy.change_all(hang);
    let routes = [
        service_route("/a/", "idempotent", SHARDS[0]),
        service_route("/new/", "idempotent", SHARDS[0]),
        gather_route("/q/", &SHARDS, 5, 0.9),
    ];
    deployment.vms[0].configure(2, &routes);
    deployment.vms[2].wait_for_leaf("/new/x");
    deployment.change_links(0, hang);
    deployment.send_for(0, DETECTION_TIME);
    for _ in 0..20 {
        assert_eq!(deployment.vms[0].get("/new/x", 1000).status, 200);
    }
    proxy.change_all(restore);
}

#[test]
fn platform_delegation_survives_the_planned_stop_of_either_vm() {
    for stopped in 0..2 {
        let mut deployment = deployment_with_cut_vm(&["near", "near", "far"]);
        for leaf in &deployment.leaves {
            leaf.set_answer(Answer::Late(Duration::from_millis(500)));
        }
        let mut streams: Vec<_> = (0..4)
            .map(|_| {
                let mut stream = connect(deployment.vms[0].callers_address);
                stream
                    .write_all(&request("GET", "/a/x", 3000, b""))
                    .unwrap();
                stream
            })
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        deployment.vms[stopped].stop();
        for stream in &mut streams {
            let reply = Reply::read(stream).expect("whole answer");
            assert_eq!(reply.status, 200, "VM {stopped} stops");
        }
        drop(streams);
        assert!(deployment.vms[stopped].join());
    }
}
