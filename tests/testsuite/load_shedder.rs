//! More queries than the leaves can do: enough are turned away for the rest to
//! be in time, and none once it is over.

use std::time::{Duration, Instant};

use geraniummount::core::load_shedder::LoadShedder;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SEEDS: std::ops::Range<u64> = 11..19;
const VMS: usize = 9;
const TARGET_LATENCY: Duration = Duration::from_millis(175);
/// Shards whose leaves are short of room; the others always answer in time.
const OVERLOADED_SHARDS: usize = 7;
/// Parts that an answer may lack.
const MAX_MISSING: usize = 2;
/// Work of a part at a shard that is short of room.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Length of a span of one load.
const PHASE_DURATION: Duration = Duration::from_secs(10);

/// A replayed load: offered work as a share of what the shards can do, for a
/// span each.
#[derive(Debug)]
struct Case {
    name: &'static str,
    loads: &'static [f64],
    /// Least share of what the shards can do that is served in time, in the
    /// second half of each span.
    min_served: &'static [f64],
}

const CASES: &[Case] = &[
    Case {
        name: "half load",
        loads: &[0.5],
        min_served: &[0.45],
    },
    Case {
        name: "a quarter too much",
        loads: &[1.25],
        min_served: &[0.6],
    },
    Case {
        name: "twice too much, then half load",
        loads: &[2.0, 0.5],
        min_served: &[0.65, 0.45],
    },
];

/// An admitted query.
struct Query {
    due: Instant,
    vm: usize,
    overdue: usize,
}

/// Returns the share of capacity that was served in time in the second half of
/// each span, on average over all seeds.
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
            // A leaf rejects what its queue has no room for.
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
        eprintln!("{name}: {without:.2?} without, {with:.2?} with");
        for (served, min_served) in with.iter().zip(case.min_served) {
            assert!(served >= min_served, "{name}: {with:.2?} served in time");
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
    assert!(urgent > other + 20, "{urgent} urgent, {other} others");
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
            "one overdue part in every second answer"
        );
    }
}
