//! Crashes that may be failures of this VM's own links count on other VMs only once a leaf has
//! responded to a later request.

use std::time::{Duration, Instant};

use geraniummount::core::fingerprint::Fingerprint;
use geraniummount::core::quarantine::{Admission, Crash, Quarantine};

const REQUEST: Fingerprint = 1;
const OTHER_REQUEST: Fingerprint = 2;

/// Time of day at the first crash.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Returns the crashes of three leaves, each during a request of its own.
fn crashes() -> impl Iterator<Item = Crash> {
    (0..3).map(|number| {
        let at_ms = EPOCH_MS + number * 1_000;
        Crash::after(
            format!("leaf-{number}"),
            "vm",
            Duration::from_millis(10),
            at_ms,
        )
    })
}

fn is_withheld(quarantine: &Quarantine, now: Instant) -> bool {
    matches!(quarantine.admission(REQUEST, now), Admission::Withheld(_))
}

#[test]
fn quarantine_unconfirmed_crashes_count_on_this_vm_and_are_not_shared() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_unconfirmed(REQUEST, crashes(), now);
    assert!(is_withheld(&quarantine, now));
    assert!(quarantine.unshared(now).is_empty());
    assert_eq!(
        quarantine.admission(OTHER_REQUEST, now),
        Admission::Admitted(0)
    );
}

#[test]
fn quarantine_unconfirmed_crashes_are_shared_once_a_leaf_responds_to_a_later_request() {
    let now = Instant::now();
    let later = now + Duration::from_millis(20);
    let mut quarantine = Quarantine::default();
    quarantine.record_unconfirmed(REQUEST, crashes(), now);
    assert!(quarantine.confirm(now, later).is_empty());
    let confirmed = quarantine.confirm(later, later);
    assert_eq!(confirmed.last(), Some(&(REQUEST, 3)));
    assert!(!quarantine.has_unconfirmed());
    assert_eq!(quarantine.unshared(later).len(), 1);
    assert!(is_withheld(&quarantine, later));
}

#[test]
fn quarantine_unconfirmed_crashes_are_forgotten_when_the_links_were_lost() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_unconfirmed(REQUEST, crashes(), now);
    assert_eq!(quarantine.discard_unconfirmed(), 3);
    assert_eq!(quarantine.admission(REQUEST, now), Admission::Admitted(0));
    assert!(
        quarantine
            .confirm(now + Duration::from_secs(1), now)
            .is_empty()
    );
    assert!(quarantine.unshared(now).is_empty());
}

#[test]
fn quarantine_unconfirmed_crashes_are_cleared_by_an_answer() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_unconfirmed(REQUEST, crashes(), now);
    quarantine.record_answer(REQUEST, EPOCH_MS + 5_000);
    assert!(!quarantine.has_unconfirmed());
    assert_eq!(quarantine.admission(REQUEST, now), Admission::Admitted(0));
}

#[test]
fn quarantine_unconfirmed_crashes_are_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..10_000 {
        let crash = Crash::after("leaf", "vm", Duration::ZERO, EPOCH_MS + number);
        quarantine.record_unconfirmed(Fingerprint::from(number), [crash], now);
    }
    assert!(quarantine.discard_unconfirmed() <= 128);
}
