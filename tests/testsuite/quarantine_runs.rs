//! A run of a leaf crashes once, however often its address accepts and closes connections after.

use std::time::{Duration, Instant};

use geraniummount::core::fingerprint::Fingerprint;
use geraniummount::core::quarantine::{Admission, Crash, Quarantine, Record};

const REQUEST: Fingerprint = 1;

/// Time of day at the first crash.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Time from one crash to the next.
const INTERVAL_MS: u64 = 10_000;

/// Crashes that VMs saw, each with the VM, the leaf and the number of the leaf's run.
struct Case {
    name: &'static str,
    crashes: &'static [(&'static str, &'static str, Option<u64>)],
    is_withheld: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "VMs that have just started find the same two leaves gone",
        crashes: &[
            ("vm0", "a", Some(1)),
            ("vm0", "b", Some(1)),
            ("vm0", "a", Some(1)),
            ("vm1", "b", Some(1)),
            ("vm1", "a", Some(1)),
        ],
        is_withheld: false,
    },
    Case {
        name: "a leaf crashes each time it is started",
        crashes: &[
            ("vm0", "a", Some(1)),
            ("vm0", "a", Some(2)),
            ("vm0", "a", Some(3)),
        ],
        is_withheld: true,
    },
    Case {
        name: "three leaves crash",
        crashes: &[
            ("vm0", "a", Some(1)),
            ("vm1", "b", Some(1)),
            ("vm2", "c", Some(1)),
        ],
        is_withheld: true,
    },
    Case {
        name: "it is not known when a leaf was started",
        crashes: &[("vm0", "a", None), ("vm0", "a", None), ("vm0", "a", None)],
        is_withheld: true,
    },
];

#[test]
fn quarantine_runs_of_leaves_count_once() {
    for case in CASES {
        let now = Instant::now();
        let mut quarantine = Quarantine::default();
        for (number, (vm, leaf, run)) in (0..).zip(case.crashes) {
            let at_ms = EPOCH_MS + number * INTERVAL_MS;
            let crash = Crash::after(*leaf, *vm, Duration::from_millis(10), at_ms);
            quarantine.record_crashes(REQUEST, [crash.of_run(*run)], now);
        }
        let admission = quarantine.admission(REQUEST, now);
        let is_withheld = matches!(admission, Admission::Withheld(_));
        assert_eq!(is_withheld, case.is_withheld, "{}", case.name);
    }
}

#[test]
fn quarantine_runs_are_read_from_lists_that_do_not_name_them() {
    let text = r#"{"fingerprint":"1","crashes":[{"leaf":"a","vm":"v","arrived_ms":1,"at_ms":2}],
        "last_crash_ms":2,"answered_ms":0}"#;
    let record: Record = serde_json::from_str(text).expect("a record");
    assert_eq!(record.crashes[0].started_at_ms, None);
}
