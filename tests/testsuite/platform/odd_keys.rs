//! Entries of another writer in the list of leaves whose names contain characters that mean
//! something in a call on the store, in a head or in a log line. They stand before a VM starts, in a
//! list of several pages, so that the VM asks for the page after each of them. They name no leaf,
//! whether their values can be read or not, and the other entries hold.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use geraniummount::platform::{self, registration};
use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Leaf, Store};
use geraniummount_test_support::process::binary_path;
use geraniummount_test_support::raw_server::RawServer;
use geraniummount_test_support::soak::Vm;
use geraniummount_test_support::usage;
use serde_json::{Value, json};

use super::deployment::{Deployment, hang};
use super::fixture::{
    Fixture, WAIT_TIMEOUT, document, gather_route, quiet_ip, request, service_route,
};

/// Maximum number of items on a page of the stand-in store. Of as many keys in a row, one is the
/// last of a page.
const PAGE_ITEMS: usize = 4;

/// Names of entries after the prefix.
const NAMES: &[&str] = &[
    "i-1&after=zzzz",
    "i-2&allowStale=1",
    "i-3+more",
    "i-4#fragment",
    "i-5%",
    "i-6%2Fi-7",
    "i-7%zz",
    "i-8 with blanks ",
    "i-9?prefix=op/",
    "i-a=b;c,d",
    "i-b\"quoted\\",
    "i-c\r\nX-Smuggled: 1",
    "i-d\u{0}\u{7f}\t",
    "i-e/f/g",
    "i-f\u{fc}\u{2028}\u{1f33a}",
    "",
    " ",
    "&",
    "%",
    "../op/config",
];

/// Value of an odd entry.
#[derive(Clone, Copy, Debug)]
enum Content {
    /// Bytes that can't be read.
    Unreadable,
    /// A registration that would be valid under another name.
    Registration,
}

const CONTENTS: [Content; 2] = [Content::Unreadable, Content::Registration];

/// Writes entries with a name and the same name with suffixes, so that one is the last of a page.
fn put_odd_entries(store: &Store, name: &str, content: Content, address: SocketAddr) {
    let registration = json!({
        "backend": "one", "address": address.to_string(), "zone": "near", "version": "v1",
        "concurrency": 100, "state": "ready", "warmupLeftMs": 0, "seq": 1,
    });
    let value = match content {
        Content::Unreadable => "\u{0}{&".to_string(),
        Content::Registration => registration.to_string(),
    };
    store.put(&format!("servers/{name}"), value.as_str());
    for suffix in 1..PAGE_ITEMS {
        let suffix = "~&".repeat(suffix);
        store.put(&format!("servers/{name}{suffix}"), value.as_str());
    }
}

/// Writes the routes, and starts leaves of two services.
fn put_sound_entries(store: &Store) -> Vec<Leaf> {
    let routes = [
        service_route("/a/", "idempotent", "one"),
        gather_route("/g/", &["one", "two"], 5, 1.0),
    ];
    store.put("op/config", document(1, &routes));
    let services = ["one", "two"].into_iter().cycle();
    let start = |service| Leaf::start(store, service, "near", b"record-of-16-byt");
    services.take(2 * PAGE_ITEMS).map(start).collect()
}

/// Starts a server that nobody has a reason to call, on an address of its own.
fn start_stranger() -> RawServer {
    RawServer::start_at(quiet_ip(), |_| b"HTTP/1.1 404 No\r\n\r\n".to_vec())
}

/// Returns whether a request to a VM is served.
fn is_served(address: SocketAddr, path: &str) -> bool {
    let reply = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        stream.write_all(&request("GET", path, 1_000, b""))?;
        Reply::read(&mut stream)
    });
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Waits until a VM serves both routes.
fn wait_until_served(address: SocketAddr) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !["/a/x", "/g/x"].iter().all(|path| is_served(address, path)) {
        assert!(Instant::now() < end, "requests are not served");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn platform_odd_keys_before_the_start_keep_no_vm_from_serving() {
    for name in NAMES {
        for content in CONTENTS {
            eprintln!("case: {name:?}, {content:?}");
            let stranger = start_stranger();
            let store = Store::start();
            let _leaves = put_sound_entries(&store);
            put_odd_entries(&store, name, content, stranger.address());
            let address = store.address();
            let vm = Fixture::start_with(store, address);
            wait_until_served(vm.callers_address);
            for number in 0..10 {
                assert!(is_served(vm.callers_address, &format!("/a/{number}")));
                assert!(is_served(vm.callers_address, &format!("/g/{number}")));
            }
            // Later changes are followed, too.
            vm.configure(2, &[service_route("/b/", "idempotent", "three")]);
            let _third = Leaf::start(&vm.store, "three", "near", b"record-of-16-byt");
            vm.wait_for_leaf("/b/x");
            assert_eq!(stranger.arrivals().len(), 0, "{name:?} names no leaf");
        }
    }
}

/// Replays the incident: all processes are restarted while an odd entry stands.
#[test]
fn platform_odd_keys_do_not_stop_the_service_when_all_processes_are_restarted() {
    const VMS: usize = 3;
    let stranger = start_stranger();
    let store = Store::start();
    let _leaves = put_sound_entries(&store);
    let folder = tempfile::tempdir().unwrap();
    let binary = binary_path("geraniummount");
    let start = |number| {
        let limits = "[limits]\nlinger_ms = 0\n";
        Vm::start_with(&binary, folder.path(), number, store.address(), limits).unwrap()
    };
    let mut vms: Vec<Vm> = (0..VMS).map(start).collect();
    vms.iter()
        .for_each(|vm| wait_until_served(vm.caller_address));
    for content in CONTENTS {
        put_odd_entries(&store, "i-0 & +#%", content, stranger.address());
        for vm in &mut vms {
            vm.kill();
            while vm.take_exit_status().is_none() {
                thread::yield_now();
            }
            vm.launch().unwrap();
        }
        for vm in &vms {
            wait_until_served(vm.caller_address);
            assert!((0..20).all(|number| is_served(vm.caller_address, &format!("/g/{number}"))));
        }
    }
    assert_eq!(stranger.arrivals().len(), 0, "odd entries name no leaf");
}

/// Values of another writer may be as large as the store permits. A VM must not keep them: it has little
/// memory, and so have all others.
#[test]
fn platform_odd_keys_with_large_values_do_not_fill_the_memory() {
    // That of the smallest VMs.
    const MEMORY_MB: u64 = 112;
    const VALUE_BYTES: usize = 1024 * 1024;
    const PER_PREFIX: usize = 30;
    let store = Store::start();
    let _leaves = put_sound_entries(&store);
    for prefix in ["servers/a-", "peers/a-", "another/a-"] {
        for number in 0..PER_PREFIX {
            store.put(&format!("{prefix}{number}"), vec![b'x'; VALUE_BYTES]);
        }
    }
    let folder = tempfile::tempdir().unwrap();
    let binary = binary_path("geraniummount");
    let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\nlinger_ms = 0\n");
    let mut vm = Vm::start_with(&binary, folder.path(), 9, store.address(), &limits).unwrap();
    wait_until_served(vm.caller_address);
    for number in 0..PER_PREFIX {
        store.put(&format!("servers/b-{number}"), vec![b'x'; VALUE_BYTES]);
    }
    // The last change shows that the ones before were received.
    store.put(
        "op/config",
        document(2, &[service_route("/c/", "idempotent", "one")]),
    );
    let end = Instant::now() + WAIT_TIMEOUT;
    while !is_served(vm.caller_address, "/c/x") {
        assert!(Instant::now() < end, "the new version is not applied");
        thread::sleep(Duration::from_millis(20));
    }
    let pid = vm.process_id().unwrap();
    let peak = usage::peak_resident_bytes(pid) / (1024 * 1024);
    assert!(vm.take_exit_status().is_none(), "the process has ended");
    assert!(peak <= MEMORY_MB, "{peak} MB of {MEMORY_MB} MB");
}

#[test]
fn platform_odd_keys_are_no_names_of_leaves() {
    let value = json!({
        "backend": "one", "address": "127.0.0.1:9", "zone": "near", "concurrency": 3,
        "state": "ready",
    });
    let read = |key: &str| registration::read(key, value.to_string().as_bytes());
    for name in NAMES {
        assert!(read(&format!("servers/{name}")).is_err(), "{name:?}");
    }
    for name in ["i-7f3a91c2", "a", "A_b.c~d-9", "host:8080", "leaf@host"] {
        let instance = read(&format!("servers/{name}")).expect(name);
        assert_eq!(instance.id, name);
    }
    let long = format!("servers/{}", "i".repeat(300));
    assert!(read(&long).is_err(), "a name that no key can have");
}

/// An entry of a VM that another writer has written.
#[derive(Debug)]
struct OddVm {
    name: &'static str,
    secret: &'static str,
}

const ODD_VMS: &[OddVm] = &[
    OddVm {
        name: "odd",
        secret: "secret\r\nX-Smuggled: 1",
    },
    OddVm {
        name: "odd",
        secret: "",
    },
    OddVm {
        name: "odd",
        secret: "\u{fc}\u{0}",
    },
    OddVm {
        name: "odd & +#%\r\n",
        secret: "secret",
    },
    OddVm {
        name: "",
        secret: "secret",
    },
];

/// A VM writes the secret of another one into the requests that it passes to it.
#[test]
fn platform_odd_keys_of_vms_name_no_vm() {
    let deployment = Deployment::start(&["near", "near"]);
    let stranger = start_stranger();
    let store = &deployment.vms[0].store;
    for (number, vm) in ODD_VMS.iter().enumerate() {
        let entry = json!({
            "address": stranger.address(), "domain": "near", "key": vm.secret,
            "written_at_ms": 4_000_000_000_000_u64,
        });
        let suffix = if vm.name == "odd" {
            number.to_string()
        } else {
            String::new()
        };
        store.put(&format!("peers/{}{suffix}", vm.name), entry.to_string());
    }
    deployment.change_links(0, hang);
    deployment.send_for(0, Duration::from_secs(2));
    assert_eq!(deployment.count_served(0, 40), 40);
    let heads = stranger.arrivals();
    assert_eq!(heads.len(), 0, "{:?}", heads.first());
}

/// A VM takes over the secret of its own entry when it starts.
#[test]
fn platform_odd_keys_of_its_own_entry_are_written_anew() {
    let vm = Fixture::start();
    vm.wait_until(|vm| !vm.store.keys("peers/").is_empty());
    let key = vm.store.keys("peers/").remove(0);
    let mut entry: Value = serde_json::from_slice(&vm.store.value(&key).unwrap()).unwrap();
    entry["key"] = json!("secret\r\nX-Smuggled: 1");
    let odd = entry.to_string().into_bytes();
    vm.store.put(&key, odd.clone());
    vm.wait_until(|vm| {
        // A VM writes its entry after an answer of the store.
        vm.store.put("servers/i-changes", "a change");
        vm.store.value(&key) != Some(odd.clone())
    });
}

/// A health path of the operator's configuration, and the target of the requests to it.
struct HealthPath {
    path: &'static str,
    target: &'static str,
}

const HEALTH_PATHS: &[HealthPath] = &[
    HealthPath {
        path: "/health",
        target: "/health",
    },
    HealthPath {
        path: "/a%20b/c?d=e&f=+",
        target: "/a%20b/c?d=e&f=+",
    },
    HealthPath {
        path: "/a b#c",
        target: "/a%20b%23c",
    },
    HealthPath {
        path: "/a HTTP/1.1\r\nX-Smuggled: 1\r\n\r\n",
        target: "/a%20HTTP/1.1%0D%0AX-Smuggled:%201%0D%0A%0D%0A",
    },
    HealthPath {
        path: "health/\u{fc}",
        target: "/health/%C3%BC",
    },
    HealthPath {
        path: "",
        target: "/",
    },
];

#[test]
fn platform_odd_keys_and_paths_of_the_operator_are_encoded() {
    for case in HEALTH_PATHS {
        let routes = [service_route("/a/", "idempotent", "one")];
        let mut value: Value = serde_json::from_str(&document(1, &routes)).unwrap();
        value["services"][0]["healthPath"] = json!(case.path);
        let service = value["services"][0]["name"].as_str().unwrap();
        let table = platform::document::read(value.to_string().as_bytes()).unwrap();
        assert_eq!(
            table.health_path(service),
            Some(case.target),
            "{}",
            case.path
        );
    }
}
