//! Tests when the limit of a leaf begins, and when it is over.

use std::time::{Duration, Instant};

use geraniummount::core::placement::{NamedLimit, Placement, Start};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::instances;

const SERVICE: &str = "shard";

/// A response of the leaf.
#[derive(Clone, Copy, Debug)]
struct Said {
    named: NamedLimit,
    /// When the request was sent and when it was answered, in milliseconds.
    sent: u64,
    answered: u64,
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    said: &'static [Said],
    /// When the leaf is looked at, in milliseconds.
    at: u64,
    is_limited: bool,
}

const LIMITED: Said = Said {
    named: NamedLimit::PerSecond(5.0),
    sent: 0,
    answered: 10,
};

const CASES: &[Case] = &[
    Case {
        name: "no response",
        said: &[],
        at: 20,
        is_limited: false,
    },
    Case {
        name: "a limit",
        said: &[LIMITED],
        at: 20,
        is_limited: true,
    },
    Case {
        name: "a later request is answered without a limit",
        said: &[
            LIMITED,
            Said {
                named: NamedLimit::Absent,
                sent: 11,
                answered: 20,
            },
        ],
        at: 30,
        is_limited: false,
    },
    Case {
        name: "an earlier request is answered late, without a limit",
        said: &[
            LIMITED,
            Said {
                named: NamedLimit::Absent,
                sent: 5,
                answered: 20,
            },
        ],
        at: 30,
        is_limited: true,
    },
    Case {
        name: "a later limit is unreadable",
        said: &[
            LIMITED,
            Said {
                named: NamedLimit::Unreadable,
                sent: 11,
                answered: 20,
            },
        ],
        at: 30,
        is_limited: true,
    },
    Case {
        name: "only an unreadable limit",
        said: &[Said {
            named: NamedLimit::Unreadable,
            ..LIMITED
        }],
        at: 20,
        is_limited: false,
    },
    Case {
        name: "a limit that was not named again for minutes",
        said: &[LIMITED],
        at: 200_000,
        is_limited: false,
    },
];

fn placement(start: Instant) -> Placement {
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(7));
    let leaf = instances::instance(SERVICE, "leaf-1", "near");
    placement.update(&[leaf], start);
    placement
}

#[test]
fn placement_limit_holds_until_a_later_request_is_answered_without_it() {
    for case in CASES {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut placement = placement(start);
        let key = placement.choose(SERVICE, &[], start).unwrap();
        for said in case.said {
            let (sent, answered) = (at(said.sent), at(said.answered));
            placement.on_limit(SERVICE, key, said.named, sent, answered);
        }
        let is_limited = placement.has_limits(at(case.at));
        assert_eq!(is_limited, case.is_limited, "{}", case.name);
    }
}

#[test]
fn placement_limit_tells_when_to_come_back() {
    let start = Instant::now();
    let mut placement = placement(start);
    let key = placement.choose(SERVICE, &[], start).unwrap();
    let limit = NamedLimit::PerSecond(5.0);
    placement.on_limit(SERVICE, key, limit, start, start);
    assert_eq!(placement.choose(SERVICE, &[], start), None);
    let usable_at = placement.usable_at(SERVICE, start).unwrap();
    assert!(usable_at > start);
    assert!(usable_at <= start + Duration::from_secs(1));
}
