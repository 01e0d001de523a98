//! A gateway whose process was paused keeps its calls to the store.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Leaf, Store};
use geraniummount_test_support::soak::Vm;

use super::fixture::{WAIT_TIMEOUT, connect, document, exchange, request, service_route};

/// Time for which the process is paused.
const PAUSE: Duration = Duration::from_millis(300);

/// Time in which the gateway would detect a lost call.
const DETECTION_DELAY: Duration = Duration::from_millis(300);

/// Waits until the log of the gateway contains `text`.
fn wait_for_log(vm: &Vm, text: &str) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !vm.log().contains(text) {
        assert!(
            Instant::now() < end,
            "timed out waiting for '{text}' in the log:\n{}",
            vm.log()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until the gateway has read all keys and watches for changes, which takes two calls.
fn wait_for_watch(store: &Store) {
    const MIN_CALLS: u64 = 2;
    let end = Instant::now() + WAIT_TIMEOUT;
    while store.calls() < MIN_CALLS {
        assert!(Instant::now() < end, "timed out waiting for the watch");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn platform_pause_loses_no_call_on_the_store() {
    let store = Store::start();
    store.put("op/config", document(1, &[]));
    let folder = tempfile::tempdir().unwrap();
    let binary = env!("CARGO_BIN_EXE_geraniummount").as_ref();
    let vm = Vm::start(binary, folder.path(), 1, "near", store.address(), 1).unwrap();
    wait_for_log(&vm, "version=1");
    wait_for_watch(&store);
    vm.pause();
    std::thread::sleep(PAUSE);
    vm.resume();
    std::thread::sleep(DETECTION_DELAY);
    store.put("op/config", document(2, &[]));
    wait_for_log(&vm, "version=2");
    assert!(!vm.log().contains("event=lost"), "{}", vm.log());
}

/// Waits until a request is served by the leaf.
fn wait_until_used(vm: &Vm, leaf: &Leaf) {
    let end = Instant::now() + WAIT_TIMEOUT;
    let before = leaf.arrivals().len();
    while leaf.arrivals().len() == before {
        assert!(Instant::now() < end, "timed out waiting for the leaf");
        let _ = exchange(vm.caller_address, &request("GET", "/a/x", 1000, b""));
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against requests that arrived while the process was paused, and are sent to an evacuated
/// domain before the evacuation is read.
#[test]
fn platform_pause_sends_nothing_to_a_domain_that_was_evacuated_meanwhile() {
    const LONG_PAUSE: Duration = Duration::from_millis(2_500);
    const REQUESTS: usize = 10;
    const ROUNDS: usize = 4;
    let store = Store::start();
    let routes = [service_route("/a/", "idempotent", "one")];
    store.put("op/config", document(1, &routes));
    let near = Leaf::start(&store, "one", "near", b"one");
    let _far = Leaf::start(&store, "one", "far", b"one");
    let folder = tempfile::tempdir().unwrap();
    let binary = env!("CARGO_BIN_EXE_geraniummount").as_ref();
    let vm = Vm::start(binary, folder.path(), 1, "near", store.address(), 1).unwrap();
    wait_for_log(&vm, "version=1");
    for _ in 0..ROUNDS {
        wait_until_used(&vm, &near);
        // The pause after the last change is over, and the gateway waits for the next one.
        std::thread::sleep(LONG_PAUSE);
        let before = near.arrivals().len();
        vm.pause();
        store.put("op/evacuate/near", "{}");
        std::thread::sleep(LONG_PAUSE);
        let send = |_| {
            let mut stream = connect(vm.caller_address);
            let bytes = request("GET", "/a/x", 5000, b"");
            stream.write_all(&bytes).unwrap();
            stream
        };
        let streams: Vec<TcpStream> = (0..REQUESTS).map(send).collect();
        vm.resume();
        for mut stream in streams {
            assert_eq!(Reply::read(&mut stream).unwrap().status, 200);
        }
        assert_eq!(near.arrivals().len(), before);
        store.remove("op/evacuate/near");
    }
}
