//! Tests that a VM without network reports its isolation, and that one whose leaves fail does not.

use std::time::{Duration, Instant};

use geraniummount::core::isolation::Isolation;

/// What a VM observes during about 30 seconds of 13 requests per second.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Whether the leaves of other failure domains answer.
    is_attempt_answered: bool,
    /// Whether the VM serves its requests.
    is_request_served: bool,
    /// Whether the store is reachable.
    is_store_reached: bool,
    is_isolated: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        is_attempt_answered: true,
        is_request_served: true,
        is_store_reached: true,
        is_isolated: false,
    },
    Case {
        name: "no network, and no leaf in its failure domain",
        is_attempt_answered: false,
        is_request_served: false,
        is_store_reached: false,
        is_isolated: true,
    },
    Case {
        name: "no network, but the leaves of its failure domain serve all requests",
        is_attempt_answered: false,
        is_request_served: true,
        is_store_reached: false,
        is_isolated: false,
    },
    Case {
        name: "all leaves are down for every VM",
        is_attempt_answered: false,
        is_request_served: false,
        is_store_reached: true,
        is_isolated: false,
    },
    Case {
        name: "the store and one shard are down",
        is_attempt_answered: true,
        is_request_served: false,
        is_store_reached: false,
        is_isolated: false,
    },
];

#[test]
fn isolation_is_detected_only_if_other_vms_serve_better() {
    for case in CASES {
        let mut isolation = Isolation::default();
        let mut now = Instant::now();
        let mut first_isolated = None;
        for number in 0..400 {
            now += Duration::from_millis(77);
            isolation.on_attempt(case.is_attempt_answered);
            isolation.on_request(case.is_request_served);
            if isolation.begin_check_if_due(now) {
                isolation.on_check(case.is_store_reached);
            }
            if isolation.is_isolated() {
                first_isolated.get_or_insert(number);
            }
        }
        assert_eq!(isolation.is_isolated(), case.is_isolated, "{}", case.name);
        assert!(
            first_isolated.unwrap_or(0) < 13,
            "{}: isolation detected after {first_isolated:?} requests",
            case.name
        );
    }
}

#[test]
fn isolation_ends_if_a_leaf_answers_or_the_store_is_reached() {
    let isolate = || {
        let mut isolation = Isolation::default();
        for _ in 0..20 {
            isolation.on_attempt(false);
            isolation.on_request(false);
        }
        assert!(isolation.begin_check_if_due(Instant::now()));
        assert!(isolation.on_check(false));
        isolation
    };
    let mut answered = isolate();
    answered.on_attempt(true);
    assert!(!answered.is_isolated());
    let mut reached = isolate();
    assert!(reached.begin_check_if_due(Instant::now() + Duration::from_secs(1)));
    assert!(reached.on_check(true));
    assert!(!reached.is_isolated());
}

/// A VM loses its network, and its requests would wait until they time out. If isolation were
/// suspected only then, callers would be sent to this VM for that much longer.
#[test]
fn isolation_is_suspected_before_the_first_requests_time_out() {
    const REQUEST_INTERVAL: Duration = Duration::from_millis(77);
    const TARGET_LATENCY: Duration = Duration::from_millis(175);
    const REQUEST_TIMEOUT: Duration = Duration::from_millis(775);
    /// Parts at leaves of other failure domains that are missing when an answer is due.
    const UNANSWERED_PARTS: u32 = 5;
    let start = Instant::now();
    let mut isolation = Isolation::default();
    let arrivals = (0..10).map(|number| REQUEST_INTERVAL * number);
    let suspected = arrivals.map(|at| at + TARGET_LATENCY).find(|due| {
        isolation.on_overdue(UNANSWERED_PARTS);
        isolation.begin_check_if_due(start + *due)
    });
    let suspected = suspected.expect("a check of the store is due");
    assert!(suspected < REQUEST_TIMEOUT, "{suspected:?}");
}
