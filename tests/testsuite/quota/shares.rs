//! What share of a quota is granted while a tenant sends more, and just after a restart.

use super::replay::{Case, Change, HOT, Replay, TENANTS};

struct Grants {
    case: Case,
    tenant: usize,
    /// Span in milliseconds.
    span: std::ops::Range<u64>,
    /// Minimum of what runs, as a share of the quota's rate times the span.
    min_share: f64,
}

const CASES: &[Grants] = &[
    Grants {
        case: Case {
            name: "a hot tenant whose burst is used up",
            changes: &[],
            min_served: 0.0,
        },
        tenant: HOT,
        span: 10_000..14_000,
        min_share: 0.99,
    },
    Grants {
        // A lost answer is asked for again, which must take no second token.
        case: Case {
            name: "a hot tenant while 10 % of the messages are lost",
            changes: &[(0, Change::SetLoss(0.1))],
            min_served: 0.0,
        },
        tenant: HOT,
        span: 10_000..14_000,
        min_share: 0.95,
    },
    Grants {
        case: Case {
            name: "a hot tenant while messages take up to 25 ms",
            changes: &[(0, Change::SetDelay(25_000))],
            min_served: 0.0,
        },
        tenant: HOT,
        span: 10_000..14_000,
        min_share: 0.79,
    },
    Grants {
        // The usual rate is 0.625 of the quota.
        case: Case {
            name: "a small tenant in the 2 s after a restart of all VMs",
            changes: &[(10_000, Change::RestartAll)],
            min_served: 0.0,
        },
        tenant: 2,
        span: 10_000..12_000,
        min_share: 0.45,
    },
    Grants {
        case: Case {
            name: "a large tenant in the 2 s after a restart of all VMs",
            changes: &[(10_000, Change::RestartAll)],
            min_served: 0.0,
        },
        tenant: 4,
        span: 10_000..12_000,
        min_share: 0.16,
    },
];

/// Guards against tokens that are lost with repeated questions, and a long wait after a restart.
#[test]
fn quota_of_a_tenant_is_granted_in_full() {
    let mut failures = Vec::new();
    for (grants, seed) in CASES
        .iter()
        .flat_map(|case| (1..=3).map(move |seed| (case, seed)))
    {
        let replay = Replay::run(&grants.case, seed);
        let seconds = (grants.span.end - grants.span.start) as f64 / 1e3;
        let owed = TENANTS[grants.tenant].1 * seconds;
        let share = replay.admitted(grants.tenant, grants.span.clone()) / owed;
        let line = format!("{} seed={seed} share={share:.3}", grants.case.name);
        println!("{line}");
        if share < grants.min_share {
            failures.push(line);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
