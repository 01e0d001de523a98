//! Pages of the store that do not lead to the next one, come twice or overlap, and entries that can't
//! be read at the end of a page. A read must end, what was read holds, and what is known of the
//! other keys holds as well.

use std::time::{Duration, Instant};

use geraniummount::core::store::freshness::Freshness;
use geraniummount::platform::{self, Item, Store as Client};
use geraniummount_test_support::platform::users::{Leaf, Paging, Store, WatchDelivery};

use super::fixture::{Fixture, document, leaf, service_route};

/// Pages that a store returns for a while.
#[derive(Debug)]
struct Case {
    paging: Paging,
    /// Whether a read under them is complete.
    is_complete: bool,
}

const CASES: &[Case] = &[
    Case {
        paging: Paging::Sound,
        is_complete: true,
    },
    Case {
        paging: Paging::Overlapping,
        is_complete: true,
    },
    Case {
        paging: Paging::Repeated,
        is_complete: false,
    },
    Case {
        paging: Paging::Empty,
        is_complete: false,
    },
];

/// Maximum number of items on a page of the stand-in store.
const PAGE_ITEMS: usize = 4;

/// Number of leaves, which take several pages.
const LEAVES: usize = 11;

/// Time for which a store returns odd pages.
const FAULT_TIME: Duration = Duration::from_secs(2);

/// Minimum delay between two calls that a VM makes because the one before failed or was answered
/// without changes, and calls that it makes at once.
const MIN_DELAY: Duration = Duration::from_millis(25);
const PROMPT_CALLS: u64 = 40;

/// An entry that can't be read.
#[derive(Debug)]
struct Odd {
    /// Text before the key; empty if there is no key.
    start: &'static str,
    /// Text after the key.
    end: &'static [u8],
    /// Whether the key can be read, so that a page of such entries leads to the next one.
    is_key_readable: bool,
}

const KEY: &str = r#"{"key":""#;

const ODD_ENTRIES: &[Odd] = &[
    Odd {
        start: KEY,
        end: br#"","value":5,"revision":3}"#,
        is_key_readable: true,
    },
    Odd {
        start: KEY,
        end: br#"","value":"e30="}"#,
        is_key_readable: true,
    },
    Odd {
        start: KEY,
        end: br#""}"#,
        is_key_readable: true,
    },
    Odd {
        start: KEY,
        end: br#"\ud800","value":"e30=","revision":3}"#,
        is_key_readable: false,
    },
    Odd {
        start: KEY,
        end: b"\xff\xfe\",\"value\":\"e30=\",\"revision\":3}",
        is_key_readable: true,
    },
    Odd {
        start: "",
        end: br#"{"key":7,"value":"e30=","revision":3}"#,
        is_key_readable: false,
    },
    Odd {
        start: "",
        end: br#"{"value":"e30=","revision":3}"#,
        is_key_readable: false,
    },
    Odd {
        start: "",
        end: b"null",
        is_key_readable: false,
    },
];

impl Odd {
    /// Returns the text of the entry at the place of a key.
    fn text(&self, key: &str) -> Vec<u8> {
        let key = if self.start.is_empty() { "" } else { key };
        [self.start.as_bytes(), key.as_bytes(), self.end].concat()
    }
}

/// Starts one leaf of each of the services `s0`, `s1` and so on, and writes routes to them.
fn start_leaves(store: &Store) -> Vec<Leaf> {
    let names = (0..LEAVES).map(|number| format!("s{number}"));
    let names: Vec<String> = names.collect();
    let routes = names.iter();
    let routes = routes.map(|name| service_route(&format!("/{name}/"), "idempotent", name));
    store.put("op/config", document(1, &routes.collect::<Vec<_>>()));
    let start = |name: &String| Leaf::start(store, name, "near", b"record-of-16-byt");
    names.iter().map(start).collect()
}

/// Returns the number of services whose requests are served.
fn served(vm: &Fixture) -> usize {
    let is_served = |number: &usize| vm.get(&format!("/s{number}/x"), 1_000).status == 200;
    (0..LEAVES).filter(is_served).count()
}

/// Runs for a time, and checks that the VM makes no call after the other without a delay.
fn check_calls(store: &Store, run: impl FnOnce()) {
    let (before, began) = (store.calls(), Instant::now());
    run();
    let calls = store.calls() - before;
    let most = began.elapsed().as_millis() / MIN_DELAY.as_millis();
    assert!(
        u128::from(calls) <= most + u128::from(PROMPT_CALLS),
        "{calls} calls, {most} allowed"
    );
}

#[test]
fn platform_pages_that_lead_no_further_take_nothing_away() {
    for case in CASES {
        eprintln!("case: {case:?}");
        let vm = Fixture::start();
        let _leaves = start_leaves(&vm.store);
        vm.wait_until(|vm| served(vm) == LEAVES);
        vm.store.set_paging(case.paging);
        // All keys are read again.
        vm.store.compact();
        check_calls(&vm.store, || std::thread::sleep(FAULT_TIME));
        assert_eq!(served(&vm), LEAVES, "{case:?}");
        vm.store.set_paging(Paging::Sound);
        vm.configure(2, &[service_route("/b/", "idempotent", "other")]);
        let _other = leaf(&vm, "other", b"record-of-16-byt");
        vm.wait_for_leaf("/b/x");
    }
}

#[test]
fn platform_pages_that_lead_no_further_are_served_from_by_a_vm_that_starts() {
    for case in CASES {
        eprintln!("case: {case:?}");
        let store = Store::start();
        let _leaves = start_leaves(&store);
        store.set_paging(case.paging);
        let address = store.address();
        let vm = Fixture::start_with(store, address);
        // The first page contains the routes and some of the leaves.
        let wanted = if case.is_complete { LEAVES } else { 2 };
        check_calls(&vm.store, || vm.wait_until(|vm| served(vm) >= wanted));
        vm.store.set_paging(Paging::Sound);
        vm.wait_until(|vm| served(vm) == LEAVES);
    }
}

#[test]
fn platform_pages_end_with_entries_that_cannot_be_read() {
    for odd in ODD_ENTRIES {
        // With one of these numbers of sound keys before it, an odd one is the last of a page.
        for before in 0..PAGE_ITEMS {
            let name = String::from_utf8_lossy(odd.end);
            eprintln!("case: {}{name}, {before} keys", odd.start);
            let store = Store::start();
            let _leaves = start_leaves(&store);
            for number in 0..before {
                store.put(&format!("servers/a-{number}"), "sound, but no leaf");
            }
            let count = match odd.is_key_readable {
                true => 2 * PAGE_ITEMS,
                false => PAGE_ITEMS - 1,
            };
            for number in 0..count {
                let key = format!("servers/b-{number}");
                store.put_odd(&key, &odd.text(&key));
            }
            let mut client = Client::new(store.address());
            let read = client.read_all(platform::REGISTRATION_PREFIX, Freshness::Current);
            let read = read.expect("the list is complete");
            let is_leaf = |item: &&Item| item.key.starts_with("servers/i-");
            assert_eq!(read.iter().filter(is_leaf).count(), LEAVES);
            let address = store.address();
            let vm = Fixture::start_with(store, address);
            vm.wait_until(|vm| served(vm) == LEAVES);
        }
    }
}

/// A reason for which answers to watches change nothing.
struct Fault {
    name: &'static str,
    /// Runs for [`FAULT_TIME`].
    run: fn(&Store),
}

const FAULTS: &[Fault] = &[
    Fault {
        name: "answers without changes",
        run: |store| deliver(store, WatchDelivery::NothingAtOnce),
    },
    Fault {
        name: "an old change again and again",
        run: |store| deliver(store, WatchDelivery::First),
    },
    Fault {
        name: "changes that can't be read",
        run: |store| {
            let end = Instant::now() + FAULT_TIME;
            while Instant::now() < end {
                store.put_odd("servers/i-odd", b"null");
                std::thread::sleep(Duration::from_millis(1));
            }
        },
    },
];

/// Delivers odd changes for a while.
fn deliver(store: &Store, delivery: WatchDelivery) {
    store.set_watch_delivery(delivery);
    store.disconnect_all();
    std::thread::sleep(FAULT_TIME);
    store.set_watch_delivery(WatchDelivery::All);
}

/// A store in trouble, or another writer whose entries can't be read, must not make all VMs call
/// again and again.
#[test]
fn platform_pages_of_changes_without_any_are_not_asked_for_without_delay() {
    for fault in FAULTS {
        eprintln!("case: {}", fault.name);
        let vm = Fixture::start();
        let _leaves = start_leaves(&vm.store);
        vm.wait_until(|vm| served(vm) == LEAVES);
        check_calls(&vm.store, || (fault.run)(&vm.store));
        vm.configure(2, &[service_route("/b/", "idempotent", "s1")]);
        vm.wait_for_leaf("/b/x");
    }
}

/// A change that comes again, after the key was removed, must not bring a leaf back.
#[test]
fn platform_pages_of_changes_that_come_again_bring_no_leaf_back() {
    let store = Store::start();
    let gone = Leaf::start(&store, "one", "near", b"record-of-16-byt");
    let address = store.address();
    let vm = Fixture::start_with(store, address);
    vm.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let _stays = leaf(&vm, "one", b"record-of-16-byt");
    vm.wait_for_leaf("/a/x");
    vm.store.remove(&gone.key());
    let sends = |vm: &Fixture| {
        let before = gone.arrivals().len();
        (0..10).for_each(|number| drop(vm.get(&format!("/a/{number}"), 1_000)));
        gone.arrivals().len() - before
    };
    vm.wait_until(|vm| sends(vm) == 0);
    vm.store.set_watch_delivery(WatchDelivery::First);
    // Ends the watch that waits for a further change.
    vm.store.put("servers/i-odd", "a change");
    std::thread::sleep(FAULT_TIME);
    assert_eq!(sends(&vm), 0, "a leaf that was removed is used again");
}
