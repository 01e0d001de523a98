//! Tests load shedding: during overload enough queries are shed for the others to be answered in
//! time, and no query is shed once the overload is over.

use std::time::{Duration, Instant};

use geraniummount::core::load_shedder::LoadShedder;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SEEDS: std::ops::Range<u64> = 11..19;
const VMS: usize = 9;
const TARGET_LATENCY: Duration = Duration::from_millis(175);
/// Number of shards whose leaves get all the simulated load; the others always answer in time.
const OVERLOADED_SHARDS: usize = 7;
/// Maximum number of parts that an answer may lack.
const MAX_MISSING: usize = 2;
/// Mean service time of a part at an overloaded shard.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Duration of a phase of constant load.
const PHASE_DURATION: Duration = Duration::from_secs(10);

/// A simulated load.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Offered load of each phase, as a ratio to the capacity of the shards.
    loads: &'static [f64],
    /// Minimum share of the capacity that is served in time in the second half of each phase.
    min_served: &'static [f64],
}

const CASES: &[Case] = &[
    Case {
        name: "half load",
        loads: &[0.5],
        min_served: &[0.45],
    },
    Case {
        name: "a quarter above capacity",
        loads: &[1.25],
        min_served: &[0.6],
    },
    Case {
        name: "twice the capacity, then half load",
        loads: &[2.0, 0.5],
        min_served: &[0.65, 0.45],
    },
];

/// An admitted query.
struct Query {
    /// When the answer is due.
    due: Instant,
    vm: usize,
    /// Number of its parts that are late or rejected.
    overdue: usize,
}

/// Returns the share of the capacity that was served in time in the second half of each phase,
/// averaged over all seeds.
fn simulate(case: &Case, is_shedding_enabled: bool) -> Vec<f64> {
    let runs: Vec<Vec<f64>> = SEEDS
        .map(|seed| simulate_seed(case, is_shedding_enabled, seed))
        .collect();
    let phases = 0..case.loads.len();
    let mean = |phase: usize| runs.iter().map(|served| served[phase]).sum::<f64>();
    phases
        .map(|phase| mean(phase) / runs.len() as f64)
        .collect()
}

/// Simulates a load with one seed.
fn simulate_seed(case: &Case, is_shedding_enabled: bool, seed: u64) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut vms: Vec<LoadShedder> = (0..VMS).map(|_| LoadShedder::new(start)).collect();
    let mut free_at = [start; OVERLOADED_SHARDS];
    let mut now = start;
    let mut in_flight: Vec<Query> = Vec::new();
    let mut served = vec![0.0; case.loads.len()];
    loop {
        let phase = ((now - start).as_secs_f64() / PHASE_DURATION.as_secs_f64()) as usize;
        let Some(load) = case.loads.get(phase) else {
            return served;
        };
        let rate = load / SERVICE_TIME.as_secs_f64();
        now += Duration::from_secs_f64(-rng.random_range(0.000_1_f64..1.0).ln() / rate);
        let due = in_flight.partition_point(|query| query.due <= now);
        for query in in_flight.drain(..due) {
            vms[query.vm].on_answer(query.overdue, MAX_MISSING, query.due);
        }
        let vm = rng.random_range(0..VMS);
        let is_urgent = rng.random_bool(0.75);
        if is_shedding_enabled && !vms[vm].admits(is_urgent, now) {
            continue;
        }
        let mut overdue = 0;
        for shard in &mut free_at {
            let service_time = SERVICE_TIME.mul_f64(rng.random_range(0.5..1.5));
            let wait = shard.saturating_duration_since(now);
            // A leaf rejects a part that its queue has no capacity for.
            if wait > 2 * TARGET_LATENCY {
                overdue += 1;
                continue;
            }
            *shard = (*shard).max(now) + service_time;
            overdue += usize::from(wait + service_time > TARGET_LATENCY);
        }
        let in_second_half = (now - start).as_secs_f64() % PHASE_DURATION.as_secs_f64() >= 5.0;
        if overdue <= MAX_MISSING && in_second_half {
            served[phase] += SERVICE_TIME.as_secs_f64() / 5.0;
        }
        let due = now + TARGET_LATENCY;
        in_flight.push(Query { due, vm, overdue });
    }
}

#[test]
fn load_shedder_keeps_the_admitted_queries_in_time() {
    for case in CASES {
        let (without, with) = (simulate(case, false), simulate(case, true));
        let name = case.name;
        eprintln!(
            "{name}: {without:.2?} served in time without shedding, {with:.2?} with shedding"
        );
        for (served, min_served) in with.iter().zip(case.min_served) {
            assert!(
                served >= min_served,
                "{name}: only {with:.2?} of the capacity served in time"
            );
        }
    }
}

#[test]
fn load_shedder_sheds_less_urgent_queries_first() {
    let now = Instant::now();
    let mut shedder = LoadShedder::new(now);
    for _ in 0..15 {
        shedder.on_answer(5, MAX_MISSING, now);
    }
    assert!(shedder.is_shedding());
    let mut admitted = |is_urgent| (0..1000).filter(|_| shedder.admits(is_urgent, now)).count();
    let (urgent, other) = (admitted(true), admitted(false));
    assert!(
        urgent > other + 20,
        "admitted {urgent} urgent and {other} other queries"
    );
}

#[test]
fn load_shedder_ignores_parts_that_an_answer_may_lack() {
    let mut now = Instant::now();
    let mut shedder = LoadShedder::new(now);
    for number in 0..500 {
        now += Duration::from_millis(77);
        shedder.on_answer(usize::from(number % 2 == 0), MAX_MISSING, now);
        assert!(
            shedder.admits(false, now),
            "a query is shed for one overdue part in every second answer"
        );
    }
}
