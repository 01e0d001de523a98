//! Which leaf gets a request, when leaves shed, pause, slow down or lapse.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use geraniummount::core::instance::Instance;
use geraniummount::core::placement::{Ending, Placement, ReplicaKey, Start, UNREGISTERED_GRACE};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 7;
const SERVICE: &str = "shard";

fn instance(id: &str, domain: &str) -> Instance {
    Instance {
        id: id.to_string(),
        started_at_ms: None,
        service: SERVICE.to_string(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_string(),
        slots: 2,
        is_leaving: false,
        warm_up_left: Duration::ZERO,
    }
}

/// How a leaf behaves in a replayed load.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    work: Duration,
    /// Share of the requests that it rejects at once.
    sheds: f64,
}

/// A load on two leaves of one service, open loop.
#[derive(Debug)]
struct Case {
    name: &'static str,
    behaviours: [Behaviour; 2],
    /// Requests a second.
    rate: f64,
    /// Bounds of the share of the answers that the second leaf gives.
    share: RangeInclusive<f64>,
    /// Largest 95th percentile of the time until an answer, in times of that
    /// where all requests go to the first leaf.
    time: f64,
}

const GOOD: Behaviour = Behaviour {
    work: Duration::from_millis(20),
    sheds: 0.0,
};

const CASES: &[Case] = &[
    Case {
        name: "both alike",
        behaviours: [GOOD, GOOD],
        rate: 80.0,
        share: 0.35..=0.65,
        time: 0.5,
    },
    Case {
        name: "the second sheds three in five while the first is nearly full",
        behaviours: [GOOD, Behaviour { sheds: 0.6, ..GOOD }],
        rate: 95.0,
        share: 0.03..=0.3,
        time: 0.6,
    },
    Case {
        name: "the second is ten times slower",
        behaviours: [
            GOOD,
            Behaviour {
                work: Duration::from_millis(200),
                sheds: 0.0,
            },
        ],
        rate: 40.0,
        share: 0.000_1..=0.1,
        time: 1.2,
    },
];

/// Requests that a leaf works on at once.
const SLOTS: usize = 2;

/// What a replayed load came to.
struct Outcome {
    /// Share of the answers that the second leaf gave.
    share: f64,
    /// 95th percentile of the time until an answer.
    time: Duration,
}

/// Seeds whose answers are taken together: the 95th percentile of one alone
/// moves by a tenth with the order of the first few requests.
const SEEDS: RangeInclusive<u64> = SEED..=SEED + 4;

/// Plays a load with all seeds.
fn replay_all(case: &Case, only_first: bool) -> Outcome {
    let played: Vec<Played> = SEEDS.map(|seed| replay(case, seed, only_first)).collect();
    let answers =
        |leaf: usize| -> f64 { played.iter().map(|p| p.answers[leaf]).sum::<u32>().into() };
    let mut times: Vec<Duration> = played.iter().flat_map(|p| &p.times).copied().collect();
    times.sort_unstable();
    Outcome {
        share: answers(1) / (answers(0) + answers(1)),
        time: times[times.len() * 95 / 100],
    }
}

/// The answers of one played load.
struct Played {
    /// Answers of each leaf.
    answers: [u32; 2],
    /// Time until each answer.
    times: Vec<Duration>,
}

/// Sends requests for 30 seconds. A rejected one goes to the other leaf if the
/// budget allows, else it waits for the budget.
fn replay(case: &Case, seed: u64, only_first: bool) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(seed));
    let start = Instant::now();
    placement.update(&[instance("a", "near"), instance("b", "near")], start);
    let replicas = placement.group(SERVICE).unwrap().replicas();
    let keys: Vec<ReplicaKey> = replicas.iter().map(|replica| replica.key).collect();
    let mut slots = [[start; SLOTS]; 2];
    let mut ends: Vec<(Instant, ReplicaKey, u64, Ending)> = Vec::new();
    let mut times = Vec::new();
    let mut answers = [0_u32; 2];
    let mut now = start;
    while now < start + Duration::from_secs(30) {
        now += Duration::from_secs_f64(-rng.random_range(0.000_1_f64..1.0).ln() / case.rate);
        ends.sort_by_key(|end| end.0);
        let due = ends.partition_point(|end| end.0 <= now);
        for (at, key, attempt, ending) in ends.drain(..due) {
            placement.end_attempt(SERVICE, key, attempt, ending, at);
        }
        placement.record_request(SERVICE, now);
        let mut tried = Vec::new();
        let mut sent = now;
        while let Some(key) = match only_first {
            true => Some(keys[0]),
            false => placement.choose(SERVICE, &tried, now),
        } {
            let place = keys.iter().position(|known| *known == key).unwrap();
            let behaviour = case.behaviours[place];
            let attempt = placement.begin_attempt(SERVICE, key, now);
            if rng.random_bool(behaviour.sheds) {
                ends.push((
                    sent + Duration::from_millis(1),
                    key,
                    attempt,
                    Ending::Rejected,
                ));
                tried.push(key);
                sent += Duration::from_millis(if placement.take_extra_attempt(SERVICE) {
                    1
                } else {
                    50
                });
                continue;
            }
            let slot = slots[place].iter_mut().min().unwrap();
            let work = behaviour.work.mul_f64(rng.random_range(0.7..1.3));
            let end = sent.max(*slot) + work;
            *slot = end;
            ends.push((end, key, attempt, Ending::Answered));
            times.push(end.saturating_duration_since(now));
            answers[place] += 1;
            break;
        }
    }
    Played { answers, times }
}

#[test]
fn placement_uses_a_worse_replica_as_far_as_it_helps() {
    for case in CASES {
        let (plain, chosen) = (replay_all(case, true), replay_all(case, false));
        let ratio = chosen.time.as_secs_f64() / plain.time.as_secs_f64();
        let (name, share) = (case.name, chosen.share);
        eprintln!(
            "{name}: share {share:.3}, time {ratio:.2} of {:?}",
            plain.time
        );
        assert!(case.share.contains(&share), "{name}: share {share:.3}");
        assert!(ratio <= case.time, "{name}: time {ratio:.2}");
    }
}

#[test]
fn placement_keeps_a_lapsed_leaf_as_the_last_choice_for_a_while() {
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
    let start = Instant::now();
    placement.update(&[instance("a", "near"), instance("b", "far")], start);
    let lapsed = placement.update(&[instance("b", "far")], start);
    assert!(lapsed);
    let listed = placement.choose(SERVICE, &[], start).unwrap();

    assert_eq!(id_of(&placement, listed), "b");
    let other = placement.choose(SERVICE, &[listed], start).unwrap();
    assert_eq!(id_of(&placement, other), "a");
    assert_eq!(
        placement.remove_unregistered(start + UNREGISTERED_GRACE),
        vec![other]
    );
    assert_eq!(
        placement.choose(SERVICE, &[listed], start + UNREGISTERED_GRACE),
        None
    );
}

fn id_of(placement: &Placement, key: ReplicaKey) -> String {
    placement.replica(SERVICE, key).unwrap().instance.id.clone()
}

#[test]
fn placement_back_in_the_registry_is_the_same_leaf() {
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
    let start = Instant::now();
    let all = [instance("a", "near")];
    placement.update(&all, start);
    let key = placement.choose(SERVICE, &[], start);
    placement.update(&[], start);
    placement.update(&all, start + Duration::from_secs(1));
    assert!(
        placement
            .remove_unregistered(start + 2 * UNREGISTERED_GRACE)
            .is_empty()
    );
    assert_eq!(
        placement.choose(SERVICE, &[], start + 2 * UNREGISTERED_GRACE),
        key
    );
}

#[test]
fn placement_gives_no_new_work_to_a_leaving_leaf() {
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
    let start = Instant::now();
    let mut leaf = instance("a", "near");
    placement.update(std::slice::from_ref(&leaf), start);
    leaf.is_leaving = true;
    placement.update(std::slice::from_ref(&leaf), start);
    assert_eq!(placement.choose(SERVICE, &[], start), None);
    assert!(placement.update(&[], start));
    assert_eq!(
        placement.remove_unregistered(start).len(),
        1,
        "it said that it leaves: gone at once"
    );
}

/// A VM that sends a service few requests, while one of its leaves is bad.
#[derive(Debug)]
struct Sparse {
    name: &'static str,
    /// Time between two requests of this VM to the service.
    period: Duration,
    /// How a request to the bad leaf ends, and after how long.
    ending: Ending,
    took: Duration,
    /// Largest share of the requests that meet the bad leaf first.
    most: f64,
}

const SPARSE: &[Sparse] = &[
    Sparse {
        name: "the near leaf is silent",
        period: Duration::from_millis(1_500),
        ending: Ending::Abandoned,
        took: Duration::from_millis(400),
        most: 0.2,
    },
    Sparse {
        name: "the near leaf can't be reached",
        period: Duration::from_millis(1_500),
        ending: Ending::Unreachable,
        took: Duration::from_millis(300),
        most: 0.2,
    },
    Sparse {
        name: "the near leaf is nine times slower",
        period: Duration::from_millis(1_500),
        ending: Ending::Answered,
        took: Duration::from_millis(100),
        most: 0.2,
    },
    Sparse {
        name: "the near leaf is silent, and there are more requests",
        period: Duration::from_millis(80),
        ending: Ending::Abandoned,
        took: Duration::from_millis(400),
        most: 0.2,
    },
];

/// Time of an answer of a good near leaf, and of a far one.
const SPARSE_TIMES: [Duration; 2] = [Duration::from_millis(11), Duration::from_millis(20)];

#[test]
fn placement_seldom_meets_a_bad_leaf_again_however_few_the_requests() {
    for case in SPARSE {
        let share = case.replay();
        eprintln!("{}: share {share:.2}", case.name);
        assert!(share <= case.most, "{}: share {share:.2}", case.name);
    }
}

impl Sparse {
    /// Plays ten seconds in which all is well and thirty in which the near
    /// leaf is bad; returns the share of the latter's requests that met it.
    fn replay(&self) -> f64 {
        const WELL: Duration = Duration::from_secs(10);
        const ALL: Duration = Duration::from_secs(40);
        let start = Instant::now();
        let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
        let leaves = [
            instance("a", "near"),
            instance("b", "far"),
            instance("c", "far"),
        ];
        placement.update(&leaves, start);
        let near = placement.group(SERVICE).unwrap().replicas()[0].key;
        let (mut met, mut sent) = (0, 0);
        let mut at = Duration::ZERO;
        while at < ALL {
            let now = start + at;
            let is_bad = at >= WELL;
            placement.record_request(SERVICE, now);
            let key = placement.choose(SERVICE, &[], now).unwrap();
            let attempt = placement.begin_attempt(SERVICE, key, now);
            let (ending, took) = match (key == near, is_bad) {
                (true, true) => (self.ending, self.took),
                (true, false) => (Ending::Answered, SPARSE_TIMES[0]),
                (false, _) => (Ending::Answered, SPARSE_TIMES[1]),
            };
            placement.end_attempt(SERVICE, key, attempt, ending, now + took);
            if ending == Ending::Abandoned {
                placement.record_unresponsive(SERVICE, key, now + took);
            }
            sent += u32::from(is_bad);
            met += u32::from(is_bad && key == near);
            at += self.period;
        }
        f64::from(met) / f64::from(sent)
    }
}
