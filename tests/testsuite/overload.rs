//! More queries than the leaves can do: enough are turned away for the rest to
//! be in time, and none once it is over.

use std::time::{Duration, Instant};

use geraniummount::core::load_shedder::LoadShedder;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SEEDS: std::ops::Range<u64> = 11..19;
const VMS: usize = 9;
const AIM: Duration = Duration::from_millis(175);
/// Shards whose leaves are short of room; the others always answer in time.
const SHORT: usize = 7;
/// Parts that an answer may lack.
const MAY_LACK: usize = 2;
/// Work of a part at a shard that is short of room.
const WORK: Duration = Duration::from_millis(10);
/// Length of a span of one load.
const SPAN: Duration = Duration::from_secs(10);

/// A replayed load: offered work as a share of what the shards can do, for a
/// span each.
#[derive(Debug)]
struct Case {
    name: &'static str,
    loads: &'static [f64],
    /// Least share of what the shards can do that is served in time, in the
    /// second half of each span.
    least: &'static [f64],
}

const CASES: &[Case] = &[
    Case {
        name: "half load",
        loads: &[0.5],
        least: &[0.45],
    },
    Case {
        name: "a quarter too much",
        loads: &[1.25],
        least: &[0.6],
    },
    Case {
        name: "twice too much, then half load",
        loads: &[2.0, 0.5],
        least: &[0.65, 0.45],
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
fn replay(case: &Case, with_control: bool) -> Vec<f64> {
    let played: Vec<Vec<f64>> = SEEDS
        .map(|seed| replay_seed(case, with_control, seed))
        .collect();
    let spans = 0..case.loads.len();
    let mean = |span: usize| played.iter().map(|served| served[span]).sum::<f64>();
    spans.map(|span| mean(span) / played.len() as f64).collect()
}

fn replay_seed(case: &Case, with_control: bool, seed: u64) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut vms: Vec<LoadShedder> = (0..VMS).map(|_| LoadShedder::new(start)).collect();
    let mut free = [start; SHORT];
    let mut now = start;
    let mut open: Vec<Query> = Vec::new();
    let mut served = vec![0.0; case.loads.len()];
    loop {
        let place = ((now - start).as_secs_f64() / SPAN.as_secs_f64()) as usize;
        let Some(load) = case.loads.get(place) else {
            return served;
        };
        let rate = load / WORK.as_secs_f64();
        now += Duration::from_secs_f64(-rng.random_range(0.000_1_f64..1.0).ln() / rate);
        let due = open.partition_point(|query| query.due <= now);
        for query in open.drain(..due) {
            vms[query.vm].on_answer(query.overdue, MAY_LACK, query.due);
        }
        let vm = rng.random_range(0..VMS);
        let is_urgent = rng.random_bool(0.75);
        if with_control && !vms[vm].admits(is_urgent, now) {
            continue;
        }
        let mut overdue = 0;
        for shard in &mut free {
            let work = WORK.mul_f64(rng.random_range(0.5..1.5));
            let wait = shard.saturating_duration_since(now);
            // A leaf rejects what its queue has no room for.
            if wait > 2 * AIM {
                overdue += 1;
                continue;
            }
            *shard = (*shard).max(now) + work;
            overdue += usize::from(wait + work > AIM);
        }
        let in_second_half = (now - start).as_secs_f64() % SPAN.as_secs_f64() >= 5.0;
        if overdue <= MAY_LACK && in_second_half {
            served[place] += WORK.as_secs_f64() / 5.0;
        }
        let due = now + AIM;
        open.push(Query { due, vm, overdue });
    }
}

#[test]
fn overload_turns_away_what_makes_the_rest_late() {
    for case in CASES {
        let (plain, controlled) = (replay(case, false), replay(case, true));
        let name = case.name;
        eprintln!("{name}: {plain:.2?} without, {controlled:.2?} with");
        for (served, least) in controlled.iter().zip(case.least) {
            assert!(served >= least, "{name}: {controlled:.2?} served in time");
        }
    }
}

#[test]
fn overload_turns_away_less_urgent_queries_first() {
    let now = Instant::now();
    let mut overload = LoadShedder::new(now);
    for _ in 0..15 {
        overload.on_answer(5, MAY_LACK, now);
    }
    assert!(overload.is_shedding());
    let mut admitted = |is_urgent| {
        (0..1000)
            .filter(|_| overload.admits(is_urgent, now))
            .count()
    };
    let (urgent, other) = (admitted(true), admitted(false));
    assert!(urgent > other + 20, "{urgent} urgent, {other} others");
}

#[test]
fn overload_ignores_what_an_answer_may_lack() {
    let mut now = Instant::now();
    let mut overload = LoadShedder::new(now);
    for number in 0..500 {
        now += Duration::from_millis(77);
        overload.on_answer(usize::from(number % 2 == 0), MAY_LACK, now);
        assert!(
            overload.admits(false, now),
            "one overdue part in every second answer"
        );
    }
}
