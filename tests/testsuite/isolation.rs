//! A VM that is cut off says so, and one whose leaves fail does not.

use std::time::{Duration, Instant};

use geraniummount::core::isolation::Isolation;

/// What a VM sees during half a minute of 13 requests a second.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Whether leaves of other domains answer.
    far_answers: bool,
    /// Whether a request is served.
    served: bool,
    /// Whether the store can be reached.
    store: bool,
    isolated: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "all is well",
        far_answers: true,
        served: true,
        store: true,
        isolated: false,
    },
    Case {
        name: "cut off, with no leaf in its domain",
        far_answers: false,
        served: false,
        store: false,
        isolated: true,
    },
    Case {
        name: "cut off, but the leaves of its domain serve all requests",
        far_answers: false,
        served: true,
        store: false,
        isolated: false,
    },
    Case {
        name: "all leaves are down, for every VM alike",
        far_answers: false,
        served: false,
        store: true,
        isolated: false,
    },
    Case {
        name: "the store is down, and one shard",
        far_answers: true,
        served: false,
        store: false,
        isolated: false,
    },
];

#[test]
fn isolation_takes_a_vm_out_only_where_others_serve_better() {
    for case in CASES {
        let mut isolation = Isolation::default();
        let mut now = Instant::now();
        let mut first = None;
        for number in 0..400 {
            now += Duration::from_millis(77);
            isolation.on_attempt(case.far_answers);
            isolation.on_request(case.served);
            if isolation.begin_check_if_due(now) {
                isolation.on_check(case.store);
            }
            if isolation.is_isolated() {
                first.get_or_insert(number);
            }
        }
        assert_eq!(isolation.is_isolated(), case.isolated, "{}", case.name);
        assert!(
            first.unwrap_or(0) < 13,
            "{}: noticed after {first:?} requests",
            case.name
        );
    }
}

#[test]
fn isolation_ends_with_an_answer_or_with_the_store() {
    let cut = || {
        let mut isolation = Isolation::default();
        for _ in 0..20 {
            isolation.on_attempt(false);
            isolation.on_request(false);
        }
        assert!(isolation.begin_check_if_due(Instant::now()));
        assert!(isolation.on_check(false));
        isolation
    };
    let mut answered = cut();
    answered.on_attempt(true);
    assert!(!answered.is_isolated());
    let mut reached = cut();
    assert!(reached.begin_check_if_due(Instant::now() + Duration::from_secs(1)));
    assert!(reached.on_check(true));
    assert!(!reached.is_isolated());
}

/// A VM that is cut off at once, with requests that wait for their deadline.
#[test]
fn isolation_is_suspected_before_the_first_requests_end() {
    const PERIOD: Duration = Duration::from_millis(77);
    const DUE: Duration = Duration::from_millis(175);
    const END: Duration = Duration::from_millis(775);
    /// Parts at leaves of other domains that an answer lacks when it is due.
    const SILENT: u32 = 5;
    let start = Instant::now();
    let mut isolation = Isolation::default();
    let arrivals = (0..10).map(|number| PERIOD * number);
    let suspected = arrivals.map(|at| at + DUE).find(|due| {
        isolation.on_overdue(SILENT);
        isolation.begin_check_if_due(start + *due)
    });
    let suspected = suspected.expect("no check was wanted");
    assert!(suspected < END, "{suspected:?}");
}
