//! Tests the learned cost of requests, and the work that is left at leaves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniummount::core::call::{Action, Call, Plan, Reply, Response};
use geraniummount::core::cost::{Costs, MAX_ENTRIES, Profile, Running, backlog};
use geraniummount::core::placement::{Ending, Placement, Policy, Start};
use geraniummount::core::route::Repeat;
use geraniummount::core::scope::Scope;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::instances;

const SERVICE: &str = "service";
const SEEDS: [u64; 3] = [1, 2, 3];

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against work that is counted twice, or kept after its attempt has ended in any way.
#[test]
fn work_is_counted_once_and_removed_at_each_ending() {
    let endings = [
        Ending::Answered,
        Ending::Failed,
        Ending::Rejected,
        Ending::Misdirected,
        Ending::Unreachable,
        Ending::Lost,
        Ending::Abandoned,
        Ending::Withheld,
    ];
    let start = Instant::now();
    let profile = Arc::new(Profile::default());
    for seed in SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut placement = Placement::new("a", Start::First, SmallRng::seed_from_u64(seed));
        placement.set_policy(Policy::Cost);
        let ids = ["x", "y"].map(|id| instances::instance(SERVICE, id, "a"));
        placement.update(&ids, start);
        let replicas = placement.group(SERVICE).unwrap().replicas().iter();
        let keys: Vec<u64> = replicas.map(|replica| replica.key).collect();
        let mut open: Vec<(u64, u64)> = Vec::new();
        for step in 0..2_000 {
            let now = start + millis(step);
            if rng.random_bool(0.5) {
                let key = keys[rng.random_range(0..keys.len())];
                let attempt = placement.begin_attempt_for(&profile, SERVICE, key, now);
                open.push((key, attempt));
            } else if !open.is_empty() {
                let (key, attempt) = open.swap_remove(rng.random_range(0..open.len()));
                let ending = endings[rng.random_range(0..endings.len())];
                // The second end of the same attempt must change nothing.
                for _ in 0..2 {
                    placement.end_attempt(SERVICE, key, attempt, ending, now);
                }
            }
            for key in &keys {
                let expected = open.iter().filter(|(at, _)| at == key).count();
                let replica = placement.replica(SERVICE, *key).unwrap();
                assert_eq!(replica.open_work(), expected);
                assert_eq!(replica.open_attempts(), expected);
            }
        }
    }
}

/// Guards against a table that grows with the callers, or loses its estimate by an eviction.
#[test]
fn costs_take_few_entries_and_fall_back_to_the_route() {
    let now = Instant::now();
    let mut costs = Costs::default();
    for tenant in 0..5_000_u32 {
        let profile = Profile::new("route".to_string(), Some(format!("t{tenant}")), 0);
        costs.record(SERVICE, &profile, millis(50), now + millis(tenant.into()));
        assert!(costs.len() <= MAX_ENTRIES);
    }
    let unknown = Profile::new("route".to_string(), Some("new".to_string()), 0);
    let expected = costs.expected(SERVICE, &unknown, now + millis(5_000));
    assert!(
        (millis(45)..=millis(50)).contains(&expected),
        "{expected:?}"
    );
}

/// Guards against a mean that one pause distorts, or that does not follow a lasting change.
#[test]
fn estimate_is_robust_and_follows_changes() {
    let now = Instant::now();
    let profile = Profile::new("route".to_string(), None, 0);
    let mut costs = Costs::default();
    for _ in 0..64 {
        costs.record(SERVICE, &profile, millis(10), now);
    }
    costs.record(SERVICE, &profile, millis(5_000), now);
    let expected = costs.expected(SERVICE, &profile, now);
    assert!(expected < millis(12), "{expected:?}");
    for _ in 0..200 {
        costs.record(SERVICE, &profile, millis(100), now);
    }
    let expected = costs.expected(SERVICE, &profile, now);
    assert!(expected > millis(85), "{expected:?}");
}

/// Guards against work that vanishes before its request has ended, or that passes while it waits.
#[test]
fn backlog_is_reduced_by_the_time_of_requests_that_run() {
    struct Case {
        ages: &'static [u64],
        slowness: f64,
        expected: u64,
    }
    let cases = [
        Case {
            ages: &[],
            slowness: 1.0,
            expected: 0,
        },
        Case {
            ages: &[10],
            slowness: 1.0,
            expected: 90,
        },
        Case {
            ages: &[10],
            slowness: 2.0,
            expected: 95,
        },
        Case {
            ages: &[900],
            slowness: 1.0,
            expected: 80,
        },
        Case {
            ages: &[50, 10, 30],
            slowness: 1.0,
            expected: 80 + 90 + 100,
        },
    ];
    for case in cases {
        let running = case.ages.iter().map(|age| Running {
            work: millis(100),
            age: millis(*age),
        });
        let left = backlog(running, 2, case.slowness);
        assert_eq!(
            left.as_millis(),
            u128::from(case.expected),
            "{:?}",
            case.ages
        );
    }
}

/// Guards against a part that is hedged as early as the cheap requests of its route, and against work
/// that is kept after the other attempt at a hedged part was answered, or its caller has left.
#[test]
fn hedged_and_cancelled_calls_leave_no_work_behind() {
    for is_cancelled in [false, true] {
        let start = Instant::now();
        let mut placement = Placement::new("a", Start::First, SmallRng::seed_from_u64(1));
        placement.set_policy(Policy::Cost);
        placement.update(
            &["x", "y"].map(|id| instances::instance(SERVICE, id, "a")),
            start,
        );
        let expensive = Profile::new("route".to_string(), None, 5_000);
        let cheap = Profile::new("route".to_string(), None, 0);
        for index in 0..96 {
            let (profile, took) = match index % 4 {
                0 => (&expensive, millis(100)),
                _ => (&cheap, millis(10)),
            };
            let profile = Arc::new(profile.clone());
            let key = placement.choose(SERVICE, &[], start).unwrap();
            let attempt = placement.begin_attempt_for(&profile, SERVICE, key, start);
            placement.end_attempt(SERVICE, key, attempt, Ending::Answered, start + took);
            placement.record_latency("route", took);
            placement.record_request(SERVICE, start);
        }
        let plan = Plan {
            route: "route".to_string(),
            services: vec![SERVICE.to_string()],
            gather: None,
            repeat: Repeat::Idempotent,
            max_attempts: 2,
            answer_by: start + millis(900),
            end_by: start + millis(1_000),
            min_attempt_time: Duration::ZERO,
            is_counted: false,
            scope: Scope::ANY,
        };
        let mut call = Call::new(plan, start).with_profile(expensive);
        let mut actions = call.start(&mut placement, start);
        // By the median of the route, the hedge would be sent after 24 ms.
        let hedged_at = call.next_wake().unwrap();
        assert!(hedged_at >= start + millis(50), "{:?}", hedged_at - start);
        actions.extend(call.tick(&mut placement, hedged_at));
        let open = |placement: &Placement| -> Vec<usize> {
            let replicas = placement.group(SERVICE).unwrap().replicas().iter();
            replicas.map(|replica| replica.open_work()).collect()
        };
        assert_eq!(open(&placement), [1, 1]);
        let sends = actions.iter().filter_map(|action| match action {
            Action::Send { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let last = sends.max().unwrap();
        if is_cancelled {
            call.caller_gone(&mut placement, hedged_at);
        } else {
            let reply = Reply::Success(Response::default());
            call.on_reply(last, reply, &mut placement, hedged_at + millis(20));
        }
        assert_eq!(open(&placement), [0, 0]);
    }
}
