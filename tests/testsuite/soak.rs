//! Runs the fault-injection soak with a few seeds: random faults affect gateway processes, and all
//! promises are checked. `cargo bench --bench soak` runs more seeds.

use std::time::Duration;

use geraniummount_test_support::soak::{self, Options};

/// A soak run.
#[derive(Debug)]
struct Case {
    /// What the run covers; for a seed that once failed, the cause of the failure.
    name: &'static str,
    seed: u64,
    vms: usize,
    shards: usize,
    mean_fault_interval: Duration,
    fault_duration: Duration,
    has_platform_faults: bool,
    has_limits: bool,
    has_lost_links: bool,
    has_crashes: bool,
    has_tenants: bool,
}

/// A small fleet with faults that rarely overlap. Each case states how it differs.
const BASE: Case = Case {
    name: "",
    seed: 0,
    vms: 3,
    shards: 4,
    mean_fault_interval: SPARSE_FAULT_INTERVAL,
    fault_duration: LONG_FAULT_DURATION,
    has_platform_faults: false,
    has_limits: false,
    has_lost_links: false,
    has_crashes: false,
    has_tenants: false,
};

const CASES: &[Case] = &[
    Case {
        name: "a small fleet",
        seed: 1,
        mean_fault_interval: DENSE_FAULT_INTERVAL,
        fault_duration: SHORT_FAULT_DURATION,
        ..BASE
    },
    Case {
        name: "more gateways than callers",
        seed: 2,
        vms: 8,
        shards: 3,
        mean_fault_interval: DENSE_FAULT_INTERVAL,
        fault_duration: SHORT_FAULT_DURATION,
        ..BASE
    },
    Case {
        name: "a stand-in leaf without Content-Length replied with a body other than the order's",
        seed: 2006,
        mean_fault_interval: DENSE_FAULT_INTERVAL,
        fault_duration: SHORT_FAULT_DURATION,
        ..BASE
    },
    Case {
        name: "faults far enough apart for time bounds to be checked",
        seed: 3,
        fault_duration: SHORT_FAULT_DURATION,
        ..BASE
    },
    Case {
        name: "a store that goes back, and leaves that ask for something",
        seed: 4,
        has_platform_faults: true,
        ..BASE
    },
    Case {
        name: "an unresponsive store connection hid that a leaf had left",
        seed: 10_208,
        ..BASE
    },
    Case {
        name: "leaves that name limits, beside other faults",
        seed: 95_001,
        shards: 2,
        has_limits: true,
        ..BASE
    },
    Case {
        name: "a request that crashes leaves, beside other faults",
        seed: 97_001,
        shards: 2,
        has_crashes: true,
        ..BASE
    },
    Case {
        name: "gateways that lose their links to all leaves, beside few other faults",
        seed: 31_001,
        shards: 2,
        mean_fault_interval: RARE_FAULT_INTERVAL,
        has_lost_links: true,
        ..BASE
    },
    Case {
        name: "keys that are revoked, quotas that are lowered, and domains that are evacuated",
        seed: 46_001,
        shards: 2,
        has_platform_faults: true,
        has_tenants: true,
        ..BASE
    },
];

/// Mean interval at which faults overlap.
const DENSE_FAULT_INTERVAL: Duration = Duration::from_millis(350);

/// Mean interval at which faults rarely overlap.
const SPARSE_FAULT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Mean interval at which most faults have long ended before the next one.
const RARE_FAULT_INTERVAL: Duration = Duration::from_secs(4);

/// Time during which faults begin in most runs.
const SHORT_FAULT_DURATION: Duration = Duration::from_secs(6);

/// Time during which faults begin in a run whose decisive fault is late in the schedule.
const LONG_FAULT_DURATION: Duration = Duration::from_secs(10);

const CALLERS: usize = 6;
const MANY_CALLERS: usize = 10;

/// A run in which all kinds of faults occur, with tenants.
const OLDER_COPY: Case = Case {
    name: "a gateway that restarts cut off from the store, which comes back from an older copy, runs \
           requests with a key that was revoked 2.9 s before",
    seed: 46_303,
    vms: 6,
    shards: 2,
    has_platform_faults: true,
    has_limits: true,
    has_lost_links: true,
    has_crashes: true,
    has_tenants: true,
    ..BASE
};

#[test]
fn soak_breaks_no_promise() {
    CASES.iter().for_each(|case| run(case, CALLERS));
}

/// Guards against keys that a restarted process takes from an older copy of the store.
#[test]
fn soak_observes_revoked_keys_after_an_older_copy() {
    run(&OLDER_COPY, MANY_CALLERS);
}

fn run(case: &Case, callers: usize) {
    let report = soak::run(&Options {
        other_binary: None,
        binary: env!("CARGO_BIN_EXE_geraniummount").into(),
        seed: case.seed,
        vms: case.vms,
        shards: case.shards,
        callers,
        fault_duration: case.fault_duration,
        mean_fault_interval: case.mean_fault_interval,
        has_platform_faults: case.has_platform_faults,
        has_limits: case.has_limits,
        has_lost_links: case.has_lost_links,
        has_crashes: case.has_crashes,
        has_tenants: case.has_tenants,
    });
    let report = report.expect("cluster starts");
    eprintln!("{}: {report}", case.name);
    assert!(
        report.violations.is_empty(),
        "{}: promises were broken",
        case.name
    );
}
