//! A short run of the fault soak: gateways as processes, random faults, all
//! promises checked. `cargo bench --bench soak` plays more seeds.

use std::time::Duration;

use geraniummount_test_support::soak::{self, Options};

/// A run that is played each time.
#[derive(Debug)]
struct Case {
    /// Why it is here; for a seed that once failed, the cause.
    name: &'static str,
    seed: u64,
    vms: usize,
    shards: usize,
    /// Mean time between the beginnings of two faults.
    gap: Duration,
    /// Time with faults.
    faulty: Duration,
}

const CASES: &[Case] = &[
    Case {
        name: "a small fleet",
        seed: 1,
        vms: 3,
        shards: 4,
        gap: DENSE,
        faulty: SHORT,
    },
    Case {
        name: "more gateways than callers",
        seed: 2,
        vms: 8,
        shards: 3,
        gap: DENSE,
        faulty: SHORT,
    },
    Case {
        name: "a leaf without lengths sent another body than the order's: the stand-in's fault",
        seed: 2006,
        vms: 3,
        shards: 4,
        gap: DENSE,
        faulty: SHORT,
    },
    Case {
        name: "few faults, so that the bounds of time are tried",
        seed: 3,
        vms: 3,
        shards: 4,
        gap: SPARSE,
        faulty: SHORT,
    },
    Case {
        name: "a silent connection to the store hid that a leaf had left",
        seed: 10_208,
        vms: 3,
        shards: 4,
        gap: SPARSE,
        faulty: LONG,
    },
];

/// Gap between faults that overlap.
const DENSE: Duration = Duration::from_millis(350);

/// Gap between faults that mostly come one by one.
const SPARSE: Duration = Duration::from_millis(1_500);

/// Time with faults of most runs.
const SHORT: Duration = Duration::from_secs(6);

/// Time with faults of a run whose fault comes late.
const LONG: Duration = Duration::from_secs(10);

const CALLERS: usize = 6;

#[test]
fn soak_breaks_no_promise() {
    for case in CASES {
        let report = soak::run(&Options {
            binary: env!("CARGO_BIN_EXE_geraniummount").into(),
            seed: case.seed,
            vms: case.vms,
            shards: case.shards,
            callers: CALLERS,
            fault_duration: case.faulty,
            mean_fault_interval: case.gap,
        });
        let report = report.expect("the world starts");
        eprintln!("{}: {report}", case.name);
        assert!(report.violations.is_empty(), "{}", case.name);
    }
}
