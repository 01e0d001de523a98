//! Calls on the store stay few while everything changes, and what is read is
//! young enough for the platform's bounds.

use std::time::Duration;

use geraniummount::core::placement::UNREGISTERED_GRACE;
use geraniummount::core::poll_schedule::PollSchedule;

/// Longest answer of a store that counts as well, with the way to it.
const READ: Duration = Duration::from_millis(300);

/// Bounds of a platform with what a VM may call under them.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Time that a leaf still serves after it was registered as leaving.
    leaving: Duration,
    /// Time in which a version has to be in force.
    apply: Duration,
    /// Most calls for the leaves while one changes every 50 ms for a minute.
    most_calls: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "7 VMs, short bounds",
        leaving: Duration::from_millis(3_000),
        apply: Duration::from_millis(3_000),
        most_calls: 200,
    },
    Case {
        name: "70 VMs, longer bounds",
        leaving: Duration::from_millis(5_000),
        apply: Duration::from_millis(5_000),
        most_calls: 40,
    },
    Case {
        name: "no bounds to speak of",
        leaving: Duration::from_secs(60),
        apply: Duration::from_secs(60),
        most_calls: 40,
    },
];

/// Time between two changes of the leaves.
const CHANGE: Duration = Duration::from_millis(50);

#[test]
fn pace_keeps_calls_few_while_leaves_change_all_the_time() {
    for case in CASES {
        let pace = PollSchedule::new(case.leaving, case.apply);
        let mut calls = 0;
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(60) {
            // The call ends with the next change; more of them wait meanwhile.
            now += CHANGE + pace.delay_after_change();
            calls += 1;
        }
        assert!(calls <= case.most_calls, "{}: {calls} calls", case.name);
    }
}

#[test]
fn pace_reads_in_time_for_the_bounds() {
    for case in CASES {
        let pause = PollSchedule::new(case.leaving, case.apply).delay_after_change();
        // A leaf that was removed is used as the last choice while it lapses.
        let last_use = pause + READ + UNREGISTERED_GRACE;
        assert!(last_use < case.leaving, "{}: {last_use:?}", case.name);
        let in_force = pause + READ;
        assert!(in_force * 2 < case.apply, "{}: {in_force:?}", case.name);
    }
}

/// A store that is away, and the calls that one VM makes meanwhile.
#[derive(Debug)]
struct Outage {
    name: &'static str,
    known: bool,
    away: Duration,
    most_calls: u32,
    longest_pause: Duration,
}

const OUTAGES: &[Outage] = &[
    Outage {
        name: "while something is in force",
        known: true,
        away: Duration::from_secs(9),
        most_calls: 14,
        longest_pause: Duration::from_secs(2),
    },
    Outage {
        name: "while nothing is known",
        known: false,
        away: Duration::from_secs(9),
        most_calls: 28,
        longest_pause: Duration::from_millis(800),
    },
];

#[test]
fn pace_tries_a_lost_store_ever_more_rarely() {
    for outage in OUTAGES {
        let mut pace = PollSchedule::new(Duration::from_secs(5), Duration::from_secs(5));
        let mut calls = 0;
        let mut now = Duration::ZERO;
        while now < outage.away {
            let pause = pace.on_failure(outage.known, 0.0);
            assert!(pause <= outage.longest_pause, "{}", outage.name);
            now += pause;
            calls += 1;
        }
        assert!(calls <= outage.most_calls, "{}: {calls}", outage.name);
        pace.on_success();
        let again = pace.on_failure(outage.known, 0.0);
        assert!(again < Duration::from_millis(100), "{}", outage.name);
    }
}
