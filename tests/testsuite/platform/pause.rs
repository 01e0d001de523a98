//! A gateway whose process was paused keeps its calls to the store.

use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::Store;
use geraniummount_test_support::soak::Vm;

use super::fixture::{WAIT_TIMEOUT, document};

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
