//! Tests that a VM makes few calls to the store while leaves change continuously, and that its data
//! is recent enough for the platform's bounds.

use std::time::Duration;

use geraniummount::core::placement::UNREGISTERED_GRACE;
use geraniummount::core::store::poll_schedule::PollSchedule;

/// Greatest random number that spreads the calls of VMs.
const MAX_JITTER: f64 = 0.999;

/// Maximum time of a read from a healthy store, including the network delay.
const MAX_READ_TIME: Duration = Duration::from_millis(300);

/// Bounds of a platform, and the number of calls that a VM may make under them.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Time for which a leaf still serves after it was registered as leaving.
    leaving_bound: Duration,
    /// Time within which a version of the routes has to take effect.
    apply_bound: Duration,
    /// Maximum number of calls for the leaves while one leaf changes every 50 ms for a minute.
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
        name: "very long bounds",
        leaving_bound: Duration::from_secs(60),
        apply_bound: Duration::from_secs(60),
        max_calls: 40,
    },
];

/// Interval between two changes of the leaves.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);

#[test]
fn poll_schedule_limits_calls_while_leaves_change_continuously() {
    for case in CASES {
        let schedule = PollSchedule::new(case.leaving_bound, case.apply_bound);
        let mut calls = 0;
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(60) {
            // The call ends with the next change. Further changes are batched during the delay.
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
        // A removed leaf is kept as the last choice for the grace period.
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

/// An outage of the store, and the calls that one VM may make during it.
#[derive(Debug)]
struct Outage {
    name: &'static str,
    /// Whether the VM has data to continue with.
    has_data: bool,
    duration: Duration,
    max_calls: u32,
    max_backoff: Duration,
}

const OUTAGES: &[Outage] = &[
    Outage {
        name: "the VM has data",
        has_data: true,
        duration: Duration::from_secs(9),
        max_calls: 14,
        max_backoff: Duration::from_secs(2),
    },
    Outage {
        name: "the VM has no data",
        has_data: false,
        duration: Duration::from_secs(9),
        max_calls: 28,
        max_backoff: Duration::from_millis(800),
    },
];

/// Time after which a call fails whose packet was lost.
const LOST_CALL_TIME: Duration = Duration::from_secs(1);

/// The store is back just after a call has failed, the packet of the next call is lost, and the one
/// after it succeeds. The two backoffs and the lost call together kept a VM from a new version of
/// the routes for longer than the platform permits.
#[test]
fn poll_schedule_reads_in_time_after_an_outage_even_if_a_packet_is_lost() {
    for case in CASES {
        let mut schedule = PollSchedule::new(case.leaving_bound, case.apply_bound);
        let mut last_backoff = Duration::ZERO;
        for _ in 0..20 {
            last_backoff = schedule.on_failure(true, MAX_JITTER, Duration::ZERO);
        }
        let after_lost_call = schedule.on_failure(true, MAX_JITTER, LOST_CALL_TIME);
        let read_after = last_backoff + LOST_CALL_TIME + after_lost_call;
        assert!(
            read_after <= case.apply_bound,
            "{}: {read_after:?}",
            case.name
        );
    }
}

/// A watch fails after a long time. All VMs' watches fail at the same moment, so the next calls have
/// to be spread.
#[test]
fn poll_schedule_waits_after_a_call_that_took_long() {
    let mut schedule = PollSchedule::new(Duration::from_secs(3), Duration::from_secs(3));
    let delays = [0.0, 0.5, MAX_JITTER].map(|jitter| {
        schedule.on_success();
        schedule.on_failure(true, jitter, Duration::from_secs(25))
    });
    assert!(delays.is_sorted() && delays[0] < delays[2], "{delays:?}");
    assert!(delays[0] > Duration::ZERO, "{delays:?}");
}

#[test]
fn poll_schedule_backs_off_while_the_store_is_unavailable() {
    for outage in OUTAGES {
        let mut schedule = PollSchedule::new(Duration::from_secs(5), Duration::from_secs(5));
        let mut calls = 0;
        let mut now = Duration::ZERO;
        while now < outage.duration {
            let backoff = schedule.on_failure(outage.has_data, 0.0, Duration::ZERO);
            assert!(backoff <= outage.max_backoff, "{}", outage.name);
            now += backoff;
            calls += 1;
        }
        assert!(calls <= outage.max_calls, "{}: {calls} calls", outage.name);
        schedule.on_success();
        let first_backoff = schedule.on_failure(outage.has_data, 0.0, Duration::ZERO);
        assert!(
            first_backoff < Duration::from_millis(100),
            "{}",
            outage.name
        );
    }
}
