//! Guards against calls on the store, each of which is paid for, that the key lease does not need.

use std::ops::Range;
use std::time::{Duration, Instant};

use geraniummount_test_support::platform::users::{Entrance, Leaf, Store};
use serde_json::Value;

use super::fixture::{Fixture, service_route};
use super::tenants::{ACME_KEY, authorization, get, tenant_document, tenants, wait_for_status};

const REVOKE: Duration = Duration::from_millis(5_000);

/// Number of VMs, all of one failure domain.
const VMS: usize = 8;

/// Time in which calls are counted.
const PERIOD: Duration = Duration::from_secs(8);

/// Prefixes of the reads of the store's revision and of the configuration.
const PREFIXES: [&str; 2] = ["none/", "op/config"];

/// VMs that share a store.
struct Domain {
    store: Store,
    entrances: Vec<Entrance>,
    vms: Vec<Fixture>,
    _leaf: Leaf,
}

/// Reads by the lease: of the revision, of the configuration, and those turned away.
#[derive(Clone, Copy, Debug, Default)]
struct Reads {
    revision: u64,
    document: u64,
    refused: u64,
}

struct Case {
    name: &'static str,
    /// Numbers of the VMs that the store turns away.
    turned_away: Range<usize>,
    /// Time for which the store holds each answer back.
    delay: Duration,
    /// What is written after each round of requests.
    write: fn(&Store, u64),
    /// Maximum number of reads a second of the domain.
    max_per_second: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "calm",
        turned_away: 0..0,
        delay: Duration::ZERO,
        write: |_, _| {},
        max_per_second: 2.5,
    },
    Case {
        name: "a registration changes 5 times a second",
        turned_away: 0..0,
        delay: Duration::ZERO,
        write: |store, _| store.put("servers/odd", "a change"),
        max_per_second: 2.5,
    },
    Case {
        name: "a registration changes 5 times a second, and the store answers after 60 ms",
        turned_away: 0..0,
        delay: Duration::from_millis(60),
        write: |store, _| store.put("servers/odd", "a change"),
        max_per_second: 2.5,
    },
    Case {
        name: "one VM is turned away",
        turned_away: 0..1,
        delay: Duration::ZERO,
        write: |_, _| {},
        max_per_second: 2.5,
    },
    Case {
        name: "all VMs but one are turned away",
        turned_away: 0..VMS - 1,
        delay: Duration::ZERO,
        write: |_, _| {},
        max_per_second: 4.0,
    },
    Case {
        name: "registrations change faster than a watch delivers",
        turned_away: 0..0,
        delay: Duration::ZERO,
        write: |store, _| (0..450).for_each(|_| store.put("servers/odd", "a change")),
        max_per_second: 2.5,
    },
    Case {
        name: "a configuration of 2,000 routes changes twice a second",
        turned_away: 0..0,
        delay: Duration::ZERO,
        write: |store, round| match round % 2 {
            0 => store.put("op/config", large_document(2 + round)),
            _ => store.put("servers/odd", "a change"),
        },
        max_per_second: 2.5,
    },
];

/// Returns a configuration with tenants and 2,000 further routes.
fn large_document(version: u64) -> String {
    let mut document: Value = serde_json::from_str(&tenant_document(version, tenants())).unwrap();
    let routes = document["routes"].as_array_mut().unwrap();
    let more = (0..2_000).map(|id| service_route(&format!("/large/{id}/"), "idempotent", "one"));
    routes.extend(more);
    document.to_string()
}

impl Domain {
    fn start() -> Domain {
        let store = Store::start();
        store.put("op/config", tenant_document(1, tenants()));
        let leaf = Leaf::start(&store, "one", "near", b"one");
        let entrances: Vec<Entrance> = (0..VMS).map(|_| store.open_entrance()).collect();
        let vms = entrances.iter().enumerate().map(Domain::start_vm).collect();
        Domain {
            store,
            entrances,
            vms,
            _leaf: leaf,
        }
    }

    /// Starts a VM. Which ones are asked follows from the names, so these are fixed.
    fn start_vm((number, entrance): (usize, &Entrance)) -> Fixture {
        Fixture::start_with_options("near", Store::start(), entrance.address(), |options| {
            options.name = format!("calls{number}");
            options.revoke = Some(REVOKE);
        })
    }

    fn reads(&self) -> Reads {
        let [revision, document] = PREFIXES.map(|prefix| self.store.current_reads_of(prefix));
        let refused = |entrance: &Entrance| -> u64 {
            PREFIXES
                .map(|prefix| entrance.refused_reads_of(prefix))
                .iter()
                .sum()
        };
        Reads {
            revision,
            document,
            refused: self.entrances.iter().map(refused).sum(),
        }
    }

    /// Sends requests with a key to all VMs for the period; returns the reads a second.
    fn count(&self, name: &str, write: fn(&Store, u64)) -> f64 {
        let (begun_at, before) = (Instant::now(), self.reads());
        let mut round = 0;
        while begun_at.elapsed() < PERIOD {
            for vm in &self.vms {
                let reply = get(vm.callers_address, "/a/x", &authorization(ACME_KEY));
                assert_eq!(reply.status, 200, "{name}, after {:?}", begun_at.elapsed());
            }
            write(&self.store, round);
            round += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
        let (after, seconds) = (self.reads(), begun_at.elapsed().as_secs_f64());
        let revision = after.revision - before.revision;
        let document = after.document - before.document;
        let refused = after.refused - before.refused;
        println!(
            "{name}: revision={revision} document={document} refused={refused} in {seconds:.1} s"
        );
        (revision + document + refused) as f64 / seconds
    }
}

#[test]
fn platform_key_lease_calls_are_few_whatever_fails() {
    let domain = Domain::start();
    for vm in &domain.vms {
        wait_for_status(vm, &authorization(ACME_KEY), 200);
    }
    let after_start = domain.count("after the start of all VMs", |_, _| {});
    assert!(
        after_start <= 3.0,
        "after the start: {after_start:.1} a second"
    );
    let mut too_many = Vec::new();
    for case in CASES {
        let turned_away = &domain.entrances[case.turned_away.clone()];
        turned_away
            .iter()
            .for_each(|entrance| entrance.set_error_status(Some(503)));
        let entrances = domain.entrances.iter();
        entrances.for_each(|entrance| entrance.set_delay(case.delay));
        let per_second = domain.count(case.name, case.write);
        turned_away
            .iter()
            .for_each(|entrance| entrance.set_error_status(None));
        if per_second > case.max_per_second {
            too_many.push((case.name, per_second));
        }
    }
    assert!(too_many.is_empty(), "{too_many:?}");
}
