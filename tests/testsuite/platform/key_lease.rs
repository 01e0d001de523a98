//! Gateways with stand-ins serve no request with a key that was revoked longer ago than allowed, and
//! serve the others. Each test brings one failure about.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Leaf, Store, WatchDelivery};
use geraniummount_test_support::proxy::{Link, Proxy};
use geraniummount_test_support::soak::Vm;
use serde_json::{Value, json};

use super::deployment::{hang, refuse, restore};
use super::fixture::{Fixture, WAIT_TIMEOUT, leaf};
use super::tenants::{
    ACME_KEY, BOLT_KEY, authorization, configure_tenants, get, tenant_document, tenants,
    wait_for_status,
};

/// Time after which a revoked key must not be used any more.
const REVOKE: Duration = Duration::from_millis(2_000);

/// A gateway behind a proxy to its store, with a leaf of its own.
struct Site {
    fixture: Fixture,
    proxy: Proxy,
    leaf: Leaf,
}

impl Site {
    fn start() -> Site {
        let store = Store::start();
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, store.address(), 1).unwrap();
        let address = proxy.address();
        let fixture = Fixture::start_with_revocation("near", store, address, REVOKE);
        let leaf = leaf(&fixture, "one", b"one");
        configure_tenants(&fixture, 1);
        Site {
            fixture,
            proxy,
            leaf,
        }
    }

    fn cut(&self, change: impl Fn(&mut Link)) {
        self.proxy.change_all(change);
    }
}

/// Returns a list of tenants without the key of `acme`.
fn without_acme() -> Value {
    json!([{"name": "acme"}, {"name": "bolt", "apiKeys": [BOLT_KEY]}])
}

/// Sends requests with the key of `acme`, and without a key on an anonymous route, until a time
/// after the revocation. Returns how many requests with the key were served.
fn check_revoked(address: SocketAddr, revoked_at: Instant, name: &str) -> usize {
    let mut served = 0;
    while revoked_at.elapsed() < REVOKE * 2 {
        let sent_after = revoked_at.elapsed();
        let reply = get(address, "/a/x", &authorization(ACME_KEY));
        served += usize::from(reply.status == 200);
        let is_late = sent_after > REVOKE;
        assert!(
            !is_late || reply.status != 200,
            "{name}: served after {sent_after:?}"
        );
        assert!(
            matches!(reply.status, 200 | 401 | 503),
            "{name}: {}",
            reply.status
        );
        if reply.status == 503 {
            assert!(reply.field("Retry-After").is_some(), "{name}");
        }
        assert_eq!(get(address, "/open/x", "").status, 200, "{name}: anonymous");
        std::thread::sleep(Duration::from_millis(15));
    }
    served
}

/// An outage of the store, as a gateway sees it.
struct Outage {
    name: &'static str,
    begin: fn(&Site),
    end: fn(&Site),
}

const OUTAGES: &[Outage] = &[
    Outage {
        name: "connections are refused",
        begin: |site| {
            site.cut(refuse);
            site.proxy.close_connections();
        },
        end: |site| site.cut(restore),
    },
    Outage {
        name: "silence",
        begin: |site| site.cut(hang),
        end: |site| {
            site.cut(restore);
            site.proxy.close_connections();
        },
    },
    Outage {
        name: "turned away with 503",
        begin: |site| {
            site.fixture.store.set_error_status(Some(503));
            site.fixture.store.disconnect_all();
        },
        end: |site| site.fixture.store.set_error_status(None),
    },
    Outage {
        name: "turned away with 429",
        begin: |site| {
            site.fixture.store.set_error_status(Some(429));
            site.fixture.store.disconnect_all();
        },
        end: |site| site.fixture.store.set_error_status(None),
    },
];

#[test]
fn platform_key_lease_ends_while_the_store_is_away() {
    for outage in OUTAGES {
        let site = Site::start();
        let address = site.fixture.callers_address;
        (outage.begin)(&site);
        site.fixture
            .store
            .put("op/config", tenant_document(2, without_acme()));
        let revoked_at = Instant::now();
        let served = check_revoked(address, revoked_at, outage.name);
        assert!(
            served > 0,
            "{}: served nothing before the lease was over",
            outage.name
        );
        let unknown = get(address, "/a/x", &authorization("unknown"));
        assert_eq!(unknown.status, 503, "{}", outage.name);
        assert_eq!(get(address, "/a/x", "").status, 401, "{}", outage.name);
        let before = site.leaf.runs().len();
        assert_eq!(get(address, "/a/x", &authorization(BOLT_KEY)).status, 503);
        assert_eq!(
            site.leaf.runs().len(),
            before,
            "{}: refused and ran",
            outage.name
        );
        (outage.end)(&site);
        wait_for_status(&site.fixture, &authorization(BOLT_KEY), 200);
        wait_for_status(&site.fixture, &authorization(ACME_KEY), 401);
    }
}

#[test]
fn platform_key_lease_lasts_while_the_store_answers() {
    let site = Site::start();
    let end = Instant::now() + REVOKE * 3;
    let reads = site.fixture.store.current_reads();
    while Instant::now() < end {
        let reply = get(
            site.fixture.callers_address,
            "/a/x",
            &authorization(ACME_KEY),
        );
        assert_eq!(reply.status, 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    let reads = site.fixture.store.current_reads() - reads;
    // Ten renewals, each with one read, or two if the watch pauses.
    assert!((5..=20).contains(&reads), "{reads} reads");
}

/// An answer of the store that takes longer than the lease confirms nothing.
#[test]
fn platform_key_lease_late_answers_do_not_count() {
    let site = Site::start();
    site.proxy
        .change_all(|link| *link = Link::delayed(REVOKE * 6 / 10));
    let delayed_at = Instant::now();
    std::thread::sleep(REVOKE);
    while delayed_at.elapsed() < REVOKE * 3 {
        let reply = get(
            site.fixture.callers_address,
            "/a/x",
            &authorization(ACME_KEY),
        );
        assert_eq!(reply.status, 503, "after {:?}", delayed_at.elapsed());
        assert_eq!(get(site.fixture.callers_address, "/open/x", "").status, 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    site.cut(restore);
    site.proxy.close_connections();
    wait_for_status(&site.fixture, &authorization(ACME_KEY), 200);
}

/// Registrations change all the time while the watch hears nothing, so the store's revision is never
/// in force. A key that is revoked meanwhile must not be confirmed by that.
#[test]
fn platform_key_lease_depends_on_the_configuration_while_watches_hear_nothing() {
    let site = Site::start();
    let (address, store) = (site.fixture.callers_address, &site.fixture.store);
    store.set_watch_delivery(WatchDelivery::Nothing);
    let begun_at = Instant::now();
    while begun_at.elapsed() < REVOKE * 2 {
        store.put("servers/odd", "a change");
        let reply = get(address, "/a/x", &authorization(ACME_KEY));
        assert_eq!(reply.status, 200, "after {:?}", begun_at.elapsed());
        std::thread::sleep(Duration::from_millis(30));
    }
    store.put("op/config", tenant_document(2, without_acme()));
    check_revoked(address, Instant::now(), "watches hear nothing");
    store.set_watch_delivery(WatchDelivery::All);
    wait_for_status(&site.fixture, &authorization(ACME_KEY), 401);
}

/// Each VM by itself would read the store every 0.3 of the bound, five VMs 8 times a second. A VM
/// that is stalled for 100 ms is passed over, so one run without a stall is needed.
#[test]
fn platform_key_lease_of_a_failure_domain_takes_few_reads_of_the_store() {
    const VMS: usize = 5;
    const MAX_READS_PER_SECOND: f64 = 2.5;
    const MAX_RUNS: usize = 8;
    let (site, second) = pair(["near", "near"]);
    let store = &site.fixture.store;
    let start = |_| Fixture::start_with_revocation("near", Store::start(), store.address(), REVOKE);
    let others: Vec<Fixture> = (2..VMS).map(start).collect();
    for other in &others {
        wait_for_status(other, &authorization(ACME_KEY), 200);
    }
    let is_registered = |fixture: &Fixture| fixture.store.keys("peers/").len() == VMS;
    site.fixture.wait_until(is_registered);
    std::thread::sleep(REVOKE);
    let count_reads = || {
        // Each VM also reads its watch's progress every 2 s, with reads that may be outdated.
        let (begun_at, reads) = (Instant::now(), store.current_reads());
        while begun_at.elapsed() < REVOKE {
            for fixture in others.iter().chain([&site.fixture, &second]) {
                let reply = get(fixture.callers_address, "/a/x", &authorization(ACME_KEY));
                assert_eq!(reply.status, 200);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        (store.current_reads() - reads) as f64 / begun_at.elapsed().as_secs_f64()
    };
    let mut runs = (0..MAX_RUNS).map(|_| count_reads());
    assert!(runs.any(|per_second| per_second <= MAX_READS_PER_SECOND));
}

/// Two gateways that share a store; the first one reaches it over a proxy.
fn pair(domains: [&str; 2]) -> (Site, Fixture) {
    let site = {
        let store = Store::start();
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, store.address(), 1).unwrap();
        let address = proxy.address();
        let fixture = Fixture::start_with_revocation(domains[0], store, address, REVOKE);
        let leaf = leaf(&fixture, "one", b"one");
        Site {
            fixture,
            proxy,
            leaf,
        }
    };
    let address = site.fixture.store.address();
    let other = Fixture::start_with_revocation(domains[1], Store::start(), address, REVOKE);
    configure_tenants(&site.fixture, 1);
    wait_for_status(&other, &authorization(ACME_KEY), 200);
    // Both VMs know each other once they have paused after their registrations.
    site.fixture
        .wait_until(|fixture| fixture.store.keys("peers/").len() == 2);
    std::thread::sleep(Duration::from_millis(1_500));
    (site, other)
}

#[test]
fn platform_key_lease_lasts_while_another_vm_reaches_the_store() {
    for domains in [["near", "near"], ["near", "far"]] {
        let (site, _other) = pair(domains);
        site.cut(refuse);
        site.proxy.close_connections();
        let cut_at = Instant::now();
        let address = site.fixture.callers_address;
        while cut_at.elapsed() < REVOKE * 3 {
            let reply = get(address, "/a/x", &authorization(ACME_KEY));
            assert_eq!(
                reply.status,
                200,
                "{domains:?}, after {:?}",
                cut_at.elapsed()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        // The cut VM keeps its version, so the other one can't confirm it any more and serves.
        site.fixture
            .store
            .put("op/config", tenant_document(2, without_acme()));
        check_revoked(address, Instant::now(), "revoked while cut off");
        assert_eq!(get(address, "/a/x", &authorization(ACME_KEY)).status, 401);
        assert_eq!(get(address, "/a/x", &authorization(BOLT_KEY)).status, 200);
    }
}

#[test]
fn platform_key_lease_of_all_vms_ends_while_none_reaches_the_store() {
    let (site, other) = pair(["near", "near"]);
    site.fixture.store.set_error_status(Some(503));
    site.fixture.store.disconnect_all();
    std::thread::sleep(REVOKE + Duration::from_millis(200));
    for fixture in [&site.fixture, &other] {
        let asked_at = Instant::now();
        let reply = get(fixture.callers_address, "/a/x", &authorization(ACME_KEY));
        assert_eq!(reply.status, 503);
        assert!(reply.field("Retry-After").is_some());
        assert!(
            asked_at.elapsed() < Duration::from_secs(1),
            "refused at once"
        );
        assert_eq!(get(fixture.callers_address, "/open/x", "").status, 200);
    }
    site.fixture.store.set_error_status(None);
    wait_for_status(&site.fixture, &authorization(ACME_KEY), 200);
    wait_for_status(&other, &authorization(ACME_KEY), 200);
}

#[test]
fn platform_key_lease_starts_anew_when_the_store_comes_back_from_an_older_copy() {
    let site = Site::start();
    let backup = site.fixture.store.back_up();
    for number in 0..40 {
        site.fixture
            .store
            .put("servers/odd", format!("change {number}"));
    }
    site.fixture
        .store
        .put("op/config", tenant_document(2, without_acme()));
    wait_for_status(&site.fixture, &authorization(ACME_KEY), 401);
    site.fixture.store.restore(&backup);
    let end = Instant::now() + REVOKE * 2;
    while Instant::now() < end {
        let reply = get(
            site.fixture.callers_address,
            "/a/x",
            &authorization(ACME_KEY),
        );
        assert!(matches!(reply.status, 401 | 503), "{}", reply.status);
        std::thread::sleep(Duration::from_millis(20));
    }
    wait_for_status(&site.fixture, &authorization(BOLT_KEY), 200);
    // The operator knows only the older copy, and gives out the number of the lost version again.
    let none = json!([{"name": "acme"}]);
    site.fixture
        .store
        .put("op/config", tenant_document(2, none));
    let revoked_at = Instant::now();
    wait_for_status(&site.fixture, &authorization(BOLT_KEY), 401);
    assert!(revoked_at.elapsed() <= REVOKE * 2);
}

/// Waits until a process serves the key of `acme`.
fn wait_until_served(vm: &Vm) {
    let end = Instant::now() + WAIT_TIMEOUT;
    let is_served = || {
        std::net::TcpStream::connect(vm.caller_address).is_ok()
            && get(vm.caller_address, "/a/x", &authorization(ACME_KEY)).status == 200
    };
    while !is_served() {
        assert!(Instant::now() < end, "{}", vm.log());
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn start_process(store: &Store, folder: &std::path::Path, number: usize) -> Vm {
    let binary = env!("CARGO_BIN_EXE_geraniummount").as_ref();
    let sections = format!("[bounds]\nrevoke_ms = {}\n", REVOKE.as_millis());
    let address = store.address();
    let vm = Vm::start_with(binary, folder, number, address, &sections).unwrap();
    wait_until_served(&vm);
    vm
}

/// A process that was frozen still has its lease in memory, and answers that were sent before.
#[test]
fn platform_key_lease_is_over_after_a_freeze() {
    let store = Store::start();
    store.put("op/config", tenant_document(1, tenants()));
    let _one = Leaf::start(&store, "one", "near", b"one");
    let folder = tempfile::tempdir().unwrap();
    let vm = start_process(&store, folder.path(), 41);
    vm.pause();
    store.put("op/config", tenant_document(2, without_acme()));
    std::thread::sleep(REVOKE + Duration::from_millis(100));
    vm.store_proxy.change_all(hang);
    vm.resume();
    for _ in 0..50 {
        let reply = get(vm.caller_address, "/a/x", &authorization(ACME_KEY));
        assert!(matches!(reply.status, 401 | 503), "{}", reply.status);
        assert_eq!(get(vm.caller_address, "/open/x", "").status, 200);
    }
    assert!(vm.log().contains("keys event=ended") || vm.log().contains("event=unconfirmed"));
}

#[test]
fn platform_key_lease_does_not_outlive_its_process() {
    let store = Store::start();
    store.put("op/config", tenant_document(1, tenants()));
    let _one = Leaf::start(&store, "one", "near", b"one");
    let folder = tempfile::tempdir().unwrap();
    let mut vm = start_process(&store, folder.path(), 42);
    vm.kill();
    while vm.take_exit_status().is_none() {
        std::thread::sleep(Duration::from_millis(10));
    }
    vm.store_proxy.change_all(hang);
    store.put("op/config", tenant_document(2, without_acme()));
    vm.launch().unwrap();
    let end = Instant::now() + Duration::from_secs(1);
    while Instant::now() < end {
        if std::net::TcpStream::connect(vm.caller_address).is_ok() {
            let reply = get(vm.caller_address, "/a/x", &authorization(ACME_KEY));
            assert_eq!(reply.status, 503);
        }
    }
    vm.store_proxy.change_all(restore);
    let end = Instant::now() + WAIT_TIMEOUT;
    while get(vm.caller_address, "/a/x", &authorization(ACME_KEY)).status != 401 {
        assert!(Instant::now() < end, "{}", vm.log());
    }
}
