//! Calls on the store stay few while everything changes, and what is read is
//! young enough for the platform's bounds.

use std::time::Duration;

use geraniummount::core::placement::UNREGISTERED_GRACE;
use geraniummount::core::poll_schedule::PollSchedule;

/// Longest answer of a store that counts as well, with the way to it.
const MAX_READ_TIME: Duration = Duration::from_millis(300);

/// Bounds of a platform with what a VM may call under them.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Time that a leaf still serves after it was registered as leaving.
    leaving_bound: Duration,
    /// Time in which a version has to be in force.
    apply_bound: Duration,
    /// Most calls for the leaves while one changes every 50 ms for a minute.
    max_calls: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "7 VMs, short bounds",
        leaving_bound: Duration::from_millis(3_000),
        apply_bound: Duration::from_millis(3_000),
        max_calls: 200,
    },
    Case {
        name: "70 VMs, longer bounds",
        leaving_bound: Duration::from_millis(5_000),
        apply_bound: Duration::from_millis(5_000),
        max_calls: 40,
    },
    Case {
        name: "no bounds to speak of",
        leaving_bound: Duration::from_secs(60),
        apply_bound: Duration::from_secs(60),
        max_calls: 40,
    },
];

/// Time between two changes of the leaves.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);

#[test]
fn poll_schedule_limits_calls_while_leaves_change_continuously() {
    for case in CASES {
        let schedule = PollSchedule::new(case.leaving_bound, case.apply_bound);
        let mut calls = 0;
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(60) {
            // The call ends with the next change; more of them wait meanwhile.
            now += CHANGE_INTERVAL + schedule.delay_after_change();
            calls += 1;
        }
        assert!(calls <= case.max_calls, "{}: {calls} calls", case.name);
    }
}

#[test]
fn poll_schedule_reads_within_the_platform_bounds() {
    for case in CASES {
        let delay = PollSchedule::new(case.leaving_bound, case.apply_bound).delay_after_change();
        // A leaf that was removed is used as the last choice while it lapses.
        let last_use_after = delay + MAX_READ_TIME + UNREGISTERED_GRACE;
        assert!(
            last_use_after < case.leaving_bound,
            "{}: {last_use_after:?}",
            case.name
        );
        let applied_after = delay + MAX_READ_TIME;
        assert!(
            applied_after * 2 < case.apply_bound,
            "{}: {applied_after:?}",
            case.name
        );
    }
}

/// A store that is away, and the calls that one VM makes meanwhile.
#[derive(Debug)]
struct Outage {
    name: &'static str,
    has_data: bool,
    duration: Duration,
    max_calls: u32,
    max_backoff: Duration,
}

const OUTAGES: &[Outage] = &[
    Outage {
        name: "while something is in force",
        has_data: true,
        duration: Duration::from_secs(9),
        max_calls: 14,
        max_backoff: Duration::from_secs(2),
    },
    Outage {
        name: "while nothing is known",
        has_data: false,
        duration: Duration::from_secs(9),
        max_calls: 28,
        max_backoff: Duration::from_millis(800),
    },
];

#[test]
fn poll_schedule_backs_off_while_the_store_is_unavailable() {
    for outage in OUTAGES {
        let mut schedule = PollSchedule::new(Duration::from_secs(5), Duration::from_secs(5));
        let mut calls = 0;
        let mut now = Duration::ZERO;
        while now < outage.duration {
            let backoff = schedule.on_failure(outage.has_data, 0.0);
            assert!(backoff <= outage.max_backoff, "{}", outage.name);
            now += backoff;
            calls += 1;
        }
        assert!(calls <= outage.max_calls, "{}: {calls}", outage.name);
        schedule.on_success();
        let first_backoff = schedule.on_failure(outage.has_data, 0.0);
        assert!(
            first_backoff < Duration::from_millis(100),
            "{}",
            outage.name
        );
    }
}
