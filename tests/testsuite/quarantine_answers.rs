//! A VM whose leaves answer a request tells the VMs that withhold it.

use std::time::{Duration, Instant};

use geraniummount::core::fingerprint::Fingerprint;
use geraniummount::core::quarantine::{Admission, Crash, Quarantine, Record, merge_records};

const REQUEST: Fingerprint = 1;

/// Time of day at the first crash.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Time of day at which the shared list is read.
const READ_MS: u64 = EPOCH_MS + 10_000;

/// Returns the list of a VM that has seen three crashes and no answer.
fn list_of_withholding_vm(now: Instant) -> Vec<Record> {
    let mut withholding = Quarantine::default();
    let crashes = (0..3).map(|number| {
        let at_ms = EPOCH_MS + number * 1_000;
        let leaf = format!("leaf-{number}");
        Crash::after(leaf, "vm0", Duration::from_millis(10), at_ms)
    });
    withholding.record_crashes(REQUEST, crashes, now);
    withholding.unshared(now)
}

/// Answers of another VM, in milliseconds before and after it reads the list.
struct Case {
    name: &'static str,
    before: &'static [u64],
    after: &'static [u64],
}

const CASES: &[Case] = &[
    Case {
        name: "the last answer is older than the list",
        before: &[10],
        after: &[],
    },
    Case {
        name: "the request is answered all the time",
        before: &[20, 10],
        after: &[10, 20, 30],
    },
    Case {
        name: "the first answer is later than the list",
        before: &[],
        after: &[10],
    },
    Case {
        name: "the first answers are later than the list",
        before: &[],
        after: &[10, 20, 30],
    },
];

/// The answers at one VM are the only sign that the request is harmless. If they are not shared, the
/// other VM withholds it for minutes.
#[test]
fn quarantine_answers_are_shared_while_another_vm_withholds_the_request() {
    for case in CASES {
        let name = case.name;
        let now = Instant::now();
        let list = list_of_withholding_vm(now);
        let mut answering = Quarantine::default();
        for age_ms in case.before {
            answering.record_answer(REQUEST, READ_MS - age_ms);
        }
        answering.merge(list.clone(), READ_MS, now);
        for delay_ms in case.after {
            answering.record_answer(REQUEST, READ_MS + delay_ms);
        }
        let admission = answering.admission(REQUEST, now);
        assert_eq!(admission, Admission::Admitted(0), "{name}");
        let shared = merge_records(list.clone(), &answering.unshared(now), READ_MS);
        let mut withholding = Quarantine::default();
        withholding.merge(list, READ_MS, now);
        withholding.merge(shared.clone(), READ_MS, now);
        let admission = withholding.admission(REQUEST, now);
        assert_eq!(admission, Admission::Admitted(0), "{name}");
        answering.merge(shared, READ_MS, now);
        assert!(answering.unshared(now).is_empty(), "{name}");
    }
}
