//! With how many tokens a bucket begins, and what a new version of the configuration changes.

use std::time::Duration;

use geraniummount::core::boot_time::BootTime;
use geraniummount::core::quota::{Quotas, Setup};
use geraniummount::core::tenant::Quota;

use super::fleet::{TOLERANCE, WINDOW};

/// Capacity with a rate of 10: the burst, and half of what is tolerated beyond 60 requests.
const CAPACITY: f64 = 10.0 + (60.0 * 0.1 + 20.0) / 2.0;

struct Case {
    name: &'static str,
    /// Rates in the versions of the configuration, one a second from the start of the process on.
    rates: &'static [Option<f64>],
    /// Tokens when the last version has just come into force, and how far they may be off.
    tokens: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "a process starts, and its portion is not usable yet",
        rates: &[Some(10.0)],
        tokens: 0.0,
    },
    Case {
        name: "a process accrues tokens once its portion is usable, after 1.5 s",
        rates: &[Some(10.0), Some(10.0), Some(10.0)],
        tokens: 5.0,
    },
    Case {
        name: "a quota is introduced",
        rates: &[None, None, None, Some(10.0)],
        tokens: CAPACITY,
    },
    Case {
        name: "a quota is raised",
        rates: &[Some(10.0), Some(10.0), Some(10.0), Some(100.0)],
        tokens: 15.0,
    },
    Case {
        name: "a quota is lowered, which removes what its bucket does not hold",
        rates: &[None, None, None, Some(10.0), Some(1.0)],
        tokens: 1.0 + (6.0 * 0.1 + 20.0) / 2.0,
    },
];

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

/// Guards against a restart, or a new version, that refills a burst.
#[test]
fn quota_buckets_begin_with_the_tokens_that_nobody_can_have_used() {
    for case in CASES {
        let setup = Setup {
            name: "vm".to_string(),
            domain: "near".to_string(),
            is_first_start: false,
            window: WINDOW,
            tolerance: TOLERANCE,
            seed: 1,
        };
        let mut quotas = Quotas::new(setup, at(1_000));
        quotas.set_vms(&[("vm".to_string(), "near".to_string())], at(1_000));
        for (number, rate) in (1..).zip(case.rates) {
            let quota = rate.map(|rate| Quota {
                per_second: rate,
                burst: rate,
            });
            let quota: Vec<_> = quota
                .map(|quota| ("a".to_string(), quota))
                .into_iter()
                .collect();
            quotas.set_tenants(&quota, at(number * 1_000));
        }
        let tokens = quotas.tokens("a");
        let is_near = (tokens - case.tokens).abs() < 0.01;
        assert!(
            is_near,
            "{}: {tokens} tokens, not {}",
            case.name, case.tokens
        );
    }
}
