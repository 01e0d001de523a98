//! Guards against requests that are admitted with a key that was revoked longer ago than allowed,
//! whatever is late, lost or frozen, and against calls on the store by every VM.

use std::time::Duration;

use geraniummount::core::boot_time::BootTime;
use geraniummount::core::key_lease::{Lease, Read, Renewal, Responder, Statement, Step};

pub const REVOKE_MS: u64 = 5_000;

pub fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

pub fn lease() -> Lease {
    Lease::new(Duration::from_millis(REVOKE_MS))
}

/// What a VM learns.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A read that was begun at a time, with its era and its revision.
    Read(u64, u64, u64),
    /// Changes up to a revision of an era are in force.
    Applied(u64, u64),
    Restored(u64),
    /// An answer to a question of a time, with the version, the era and the age of the other VM.
    Statement(u64, u64, u64, Option<u64>),
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    /// Age of the newest confirmation 60 s after the start, in milliseconds.
    age_ms: Option<u64>,
    is_valid: bool,
}

/// Version in force at the VM.
const VERSION: u64 = 3;
const NOW_MS: u64 = 60_000;

const CASES: &[Case] = &[
    Case {
        name: "a process that has just started has no lease",
        events: &[],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "a read whose revision is in force",
        events: &[Event::Applied(0, 7), Event::Read(59_000, 0, 7)],
        age_ms: Some(1_000),
        is_valid: true,
    },
    Case {
        name: "a read whose revision is not in force",
        events: &[Event::Applied(0, 6), Event::Read(59_000, 0, 7)],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "a read whose revision is in force later",
        events: &[
            Event::Applied(0, 6),
            Event::Read(59_000, 0, 7),
            Event::Applied(0, 8),
        ],
        age_ms: Some(1_000),
        is_valid: true,
    },
    Case {
        name: "a late answer counts from the begin of its read",
        events: &[Event::Applied(0, 7), Event::Read(54_999, 0, 7)],
        age_ms: Some(5_001),
        is_valid: false,
    },
    Case {
        name: "the last moment",
        events: &[Event::Applied(0, 7), Event::Read(55_000, 0, 7)],
        age_ms: Some(5_000),
        is_valid: true,
    },
    Case {
        name: "an older answer that comes last",
        events: &[
            Event::Applied(0, 7),
            Event::Read(59_500, 0, 7),
            Event::Read(58_000, 0, 7),
        ],
        age_ms: Some(500),
        is_valid: true,
    },
    Case {
        name: "the store came back from an older copy",
        events: &[
            Event::Applied(0, 7),
            Event::Read(59_500, 0, 7),
            Event::Restored(1),
        ],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "a read of the new era, before everything was read",
        events: &[Event::Applied(0, 7), Event::Read(59_500, 1, 2)],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "a read of the new era, after everything was read",
        events: &[
            Event::Applied(0, 7),
            Event::Read(59_500, 1, 2),
            Event::Applied(1, 2),
        ],
        age_ms: Some(500),
        is_valid: true,
    },
    Case {
        name: "a late answer of the old era",
        events: &[Event::Applied(1, 7), Event::Read(59_500, 0, 7)],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "late progress of the old era",
        events: &[Event::Read(59_500, 1, 7), Event::Applied(0, 9)],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "another VM with the same version",
        events: &[
            Event::Applied(0, 7),
            Event::Statement(59_900, VERSION, 0, Some(300)),
        ],
        age_ms: Some(400),
        is_valid: true,
    },
    Case {
        name: "another VM whose confirmation is too old",
        events: &[Event::Statement(59_900, VERSION, 0, Some(5_001))],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "another VM without a confirmation",
        events: &[Event::Statement(59_900, VERSION, 0, None)],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "another VM with a newer version",
        events: &[Event::Statement(59_900, VERSION + 1, 0, Some(0))],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "another VM with an older version",
        events: &[Event::Statement(59_900, VERSION - 1, 0, Some(0))],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "another VM that does not know that the store came back",
        events: &[
            Event::Restored(1),
            Event::Statement(59_900, VERSION, 0, Some(0)),
        ],
        age_ms: None,
        is_valid: false,
    },
    Case {
        name: "another VM knows that the store came back, and this one does not",
        events: &[
            Event::Applied(0, 7),
            Event::Read(59_500, 0, 7),
            Event::Statement(59_900, VERSION, 1, Some(0)),
        ],
        age_ms: Some(500),
        is_valid: true,
    },
    Case {
        name: "another VM has a version that the store has lost",
        events: &[
            Event::Applied(1, 7),
            Event::Read(59_500, 1, 7),
            Event::Statement(59_900, VERSION + 1, 1, None),
        ],
        age_ms: Some(500),
        is_valid: false,
    },
    Case {
        name: "an age of before the start of the machine",
        events: &[Event::Statement(1_000, VERSION, 0, Some(1_001))],
        age_ms: None,
        is_valid: false,
    },
];

pub fn apply(lease: &mut Lease, event: Event) {
    match event {
        Event::Read(began_ms, era, revision) => {
            let began = at(began_ms);
            lease.on_read(Read {
                began,
                era,
                revision,
            });
        }
        Event::Applied(era, revision) => {
            lease.on_applied(era, revision);
        }
        Event::Restored(era) => lease.on_era(era),
        Event::Statement(asked_ms, version, era, age_ms) => {
            let age = age_ms.map(Duration::from_millis);
            lease.on_statement(at(asked_ms), Statement { version, era, age }, VERSION);
        }
    }
}

#[test]
fn key_lease_confirmations_count_from_their_begin() {
    for case in CASES {
        let mut lease = lease();
        for event in case.events {
            apply(&mut lease, *event);
        }
        let age = lease.age(at(NOW_MS));
        assert_eq!(age, case.age_ms.map(Duration::from_millis), "{}", case.name);
        assert_eq!(
            lease.is_valid(VERSION, at(NOW_MS)),
            case.is_valid,
            "{}",
            case.name
        );
    }
}

/// The steps of a VM that gets no answer, until it pauses.
fn round(own: (&str, &str), peers: &[(&str, &str)]) -> Vec<Step> {
    let mut renewal = Renewal::new(own.0, own.1, Duration::from_millis(REVOKE_MS));
    let mut now = at(10_000);
    let mut steps = Vec::new();
    while let Some(step) = renewal.next(None, peers.iter().copied(), now) {
        assert_eq!(renewal.next(None, peers.iter().copied(), now), None);
        now = renewal.wake_at(None, now);
        steps.push(step);
    }
    assert!(now < renewal.wake_at(None, now), "the VM pauses");
    steps
}

#[test]
fn key_lease_vms_of_a_domain_ask_the_same_vm_first_and_few_read_the_store() {
    let names: Vec<String> = (0..26).map(|number| format!("vm{number}")).collect();
    let all: Vec<(&str, &str)> = names
        .iter()
        .map(|name| (name.as_str(), "near"))
        .chain([("far1", "far"), ("far2", "far")])
        .collect();
    let mut first = Vec::new();
    for own in &all[..26] {
        let peers: Vec<_> = all.iter().copied().filter(|peer| peer != own).collect();
        let steps = round(*own, &peers);
        assert!(steps.contains(&Step::Read), "{own:?}: {steps:?}");
        let far = |step: &Step| matches!(step, Step::Ask(name) if name.starts_with("far"));
        assert_eq!(steps.iter().filter(|step| far(step)).count(), 1);
        assert_eq!(steps.len(), 4, "{own:?}: {steps:?}");
        first.push(steps[0].clone());
    }
    first.sort_by_key(|step| format!("{step:?}"));
    first.dedup();
    assert_eq!(first.len(), 2, "{first:?}");
    assert!(first.contains(&Step::Read));
    assert_eq!(round(("vm0", "near"), &[]), [Step::Read]);
}

#[test]
fn key_lease_is_renewed_early_and_failures_are_passed_over() {
    let peers = [("b", "near")];
    let mut renewal = Renewal::new("a", "near", Duration::from_millis(REVOKE_MS));
    let began = Some(at(10_000));
    assert_eq!(renewal.next(began, peers.into_iter(), at(11_499)), None);
    assert_eq!(renewal.wake_at(began, at(11_000)), at(11_500));
    let first = renewal.next(began, peers.into_iter(), at(11_500)).unwrap();
    renewal.on_failed(&first);
    let second = renewal.next(began, peers.into_iter(), at(11_501)).unwrap();
    assert_ne!(first, second);
    renewal.on_failed(&first);
    assert_eq!(renewal.next(began, peers.into_iter(), at(11_502)), None);
    let renewed = Some(at(11_400));
    assert_eq!(renewal.next(renewed, peers.into_iter(), at(11_503)), None);
    assert_eq!(renewal.wake_at(renewed, at(11_503)), at(12_900));
}

#[test]
fn key_lease_questions_share_a_read() {
    let mut responder = Responder::default();
    let old = Some(at(9_000));
    responder.on_question("a", 1, at(10_000));
    assert!(responder.needs_read(old, at(10_000)));
    assert!(responder.begin_read(at(10_000)));
    responder.on_question("b", 2, at(10_010));
    assert!(!responder.needs_read(old, at(10_010)) && !responder.begin_read(at(10_010)));
    assert!(responder.take_due(old, false, at(10_010)).is_empty());
    responder.end_read();
    let answered = responder.take_due(Some(at(10_000)), false, at(10_020));
    assert_eq!(answered.len(), 2);
    responder.on_question("c", 3, at(10_400));
    assert!(!responder.needs_read(Some(at(10_000)), at(10_400)));
    assert_eq!(
        responder
            .take_due(Some(at(10_000)), false, at(10_400))
            .len(),
        1
    );
    // The read is under way for too long, and the VM that asks would pass this one over.
    responder.on_question("d", 4, at(10_600));
    assert!(responder.needs_read(old, at(10_600)) && responder.begin_read(at(10_600)));
    assert_eq!(responder.take_due(old, false, at(10_670)).len(), 1);
}

/// The steps of a VM whose confirmations began at 10 s, while all answers are late, with the time in
/// milliseconds at which the first read of the store is begun.
fn first_read(own: (&str, &str), peers: &[(&str, &str)]) -> u64 {
    let mut renewal = Renewal::new(own.0, own.1, Duration::from_millis(REVOKE_MS));
    let began = Some(at(10_000));
    let mut now = at(11_500);
    loop {
        if renewal.next(began, peers.iter().copied(), now) == Some(Step::Read) {
            let after = now.saturating_duration_since(at(10_000));
            return u64::try_from(after.as_millis()).unwrap();
        }
        now = renewal.wake_at(began, now);
    }
}

/// VMs that have different versions for a moment can't confirm anything for each other, and would
/// all read the store.
#[test]
fn key_lease_vms_of_a_domain_read_the_store_late_and_in_time() {
    let names: Vec<String> = (0..26).map(|number| format!("vm{number}")).collect();
    let all: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "near")).collect();
    let reads = all.iter().map(|own| {
        let peers: Vec<_> = all.iter().copied().filter(|peer| peer != own).collect();
        first_read(*own, &peers)
    });
    let (early, late): (Vec<u64>, Vec<u64>) = reads.partition(|ms| *ms < 3_000);
    assert_eq!((early.len(), late.len()), (2, 24));
    assert!(late.iter().all(|ms| *ms <= 3_300), "{late:?}");
}

#[test]
fn key_lease_reads_that_are_turned_away_are_repeated_less_and_less() {
    let mut responder = Responder::default();
    let mut begun = Vec::new();
    for ms in (10_000..20_000).step_by(50) {
        if responder.begin_read(at(ms)) {
            begun.push(ms - 10_000);
            responder.end_read();
            responder.on_failure(at(ms));
        }
    }
    assert_eq!(begun, [0, 500, 1_500, 3_500, 5_500, 7_500, 9_500]);
    assert!(!responder.begin_read(at(20_000)));
    responder.on_answered();
    assert!(responder.begin_read(at(20_000)));
}
