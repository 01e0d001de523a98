//! Tests which leaf gets a request if leaves shed, pause, slow down or are unregistered.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use geraniummount::core::instance::Instance;
use geraniummount::core::placement::{
    Ending, MAX_HOLD, NamedLimit, Notice, Placement, ReplicaKey, Start, UNREGISTERED_GRACE,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::instances;

const SEED: u64 = 7;
const SERVICE: &str = "shard";

fn instance(id: &str, domain: &str) -> Instance {
    instances::instance(SERVICE, id, domain)
}

/// Behaviour of a leaf in a simulated load.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    /// Mean service time of a request.
    service_time: Duration,
    /// Share of the requests that the leaf rejects at once.
    shed_ratio: f64,
}

/// An open-loop load on two leaves of one service.
#[derive(Debug)]
struct Case {
    name: &'static str,
    behaviours: [Behaviour; 2],
    requests_per_sec: f64,
    /// Expected share of the answers that the second leaf gives.
    expected_share: RangeInclusive<f64>,
    /// Maximum 95th percentile of the latency, relative to that with all requests sent to the first
    /// leaf.
    max_latency_ratio: f64,
}

const HEALTHY: Behaviour = Behaviour {
    service_time: Duration::from_millis(20),
    shed_ratio: 0.0,
};

const CASES: &[Case] = &[
    Case {
        name: "both leaves are healthy",
        behaviours: [HEALTHY, HEALTHY],
        requests_per_sec: 80.0,
        expected_share: 0.35..=0.65,
        max_latency_ratio: 0.5,
    },
    Case {
        name: "the second leaf sheds three in five requests while the first is nearly full",
        behaviours: [
            HEALTHY,
            Behaviour {
                shed_ratio: 0.6,
                ..HEALTHY
            },
        ],
        requests_per_sec: 95.0,
        expected_share: 0.03..=0.3,
        max_latency_ratio: 0.6,
    },
    Case {
        name: "the second leaf is ten times slower",
        behaviours: [
            HEALTHY,
            Behaviour {
                service_time: Duration::from_millis(200),
                shed_ratio: 0.0,
            },
        ],
        requests_per_sec: 40.0,
        expected_share: 0.000_1..=0.1,
        max_latency_ratio: 1.2,
    },
];

/// Number of requests that a leaf processes at the same time.
const SLOTS: usize = 2;

/// Summary of a simulated load.
struct Summary {
    /// Share of the answers that the second leaf gave.
    share: f64,
    /// 95th percentile of the latency.
    p95_latency: Duration,
}

/// Seeds whose answers are evaluated together. The 95th percentile of a single seed varies by a
/// tenth with the order of the first few requests.
const SEEDS: RangeInclusive<u64> = SEED..=SEED + 4;

/// Simulates a load with all seeds. If `use_first_only` is set, the second leaf gets no request.
fn simulate_all(case: &Case, use_first_only: bool) -> Summary {
    let runs: Vec<Run> = SEEDS
        .map(|seed| simulate(case, seed, use_first_only))
        .collect();
    let answers =
        |leaf: usize| -> f64 { runs.iter().map(|run| run.answers[leaf]).sum::<u32>().into() };
    let mut latencies: Vec<Duration> = runs
        .iter()
        .flat_map(|run| &run.latencies)
        .copied()
        .collect();
    latencies.sort_unstable();
    Summary {
        share: answers(1) / (answers(0) + answers(1)),
        p95_latency: latencies[latencies.len() * 95 / 100],
    }
}

/// Answers of a load that was simulated with one seed.
struct Run {
    /// Number of answers of each leaf.
    answers: [u32; 2],
    /// Latency of each answer.
    latencies: Vec<Duration>,
}

/// Simulates requests for 30 seconds. A rejected request goes to the other leaf, after 1 ms if the
/// retry allowance permits it and after 50 ms otherwise.
fn simulate(case: &Case, seed: u64, use_first_only: bool) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(seed));
    let start = Instant::now();
    placement.update(&[instance("a", "near"), instance("b", "near")], start);
    let replicas = placement.group(SERVICE).unwrap().replicas();
    let keys: Vec<ReplicaKey> = replicas.iter().map(|replica| replica.key).collect();
    let mut slots = [[start; SLOTS]; 2];
    let mut ends: Vec<(Instant, ReplicaKey, u64, Ending)> = Vec::new();
    let mut latencies = Vec::new();
    let mut answers = [0_u32; 2];
    let mut now = start;
    while now < start + Duration::from_secs(30) {
        now += Duration::from_secs_f64(
            -rng.random_range(0.000_1_f64..1.0).ln() / case.requests_per_sec,
        );
        ends.sort_by_key(|end| end.0);
        let due = ends.partition_point(|end| end.0 <= now);
        for (at, key, attempt, ending) in ends.drain(..due) {
            placement.end_attempt(SERVICE, key, attempt, ending, at);
        }
        placement.record_request(SERVICE, now);
        let mut tried = Vec::new();
        let mut sent = now;
        while let Some(key) = match use_first_only {
            true => Some(keys[0]),
            false => placement.choose(SERVICE, &tried, now),
        } {
            let index = keys.iter().position(|known| *known == key).unwrap();
            let behaviour = case.behaviours[index];
            let attempt = placement.begin_attempt(SERVICE, key, now);
            if rng.random_bool(behaviour.shed_ratio) {
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
            let slot = slots[index].iter_mut().min().unwrap();
            let service_time = behaviour.service_time.mul_f64(rng.random_range(0.7..1.3));
            let end = sent.max(*slot) + service_time;
            *slot = end;
            ends.push((end, key, attempt, Ending::Answered));
            latencies.push(end.saturating_duration_since(now));
            answers[index] += 1;
            break;
        }
    }
    Run { answers, latencies }
}

#[test]
fn placement_uses_a_worse_replica_only_as_far_as_it_helps() {
    for case in CASES {
        let (baseline, balanced) = (simulate_all(case, true), simulate_all(case, false));
        let ratio = balanced.p95_latency.as_secs_f64() / baseline.p95_latency.as_secs_f64();
        let (name, share) = (case.name, balanced.share);
        eprintln!(
            "{name}: share {share:.3}, 95th percentile {ratio:.2} of {:?}",
            baseline.p95_latency
        );
        assert!(
            case.expected_share.contains(&share),
            "{name}: share {share:.3}"
        );
        assert!(
            ratio <= case.max_latency_ratio,
            "{name}: ratio of the 95th percentiles {ratio:.2}"
        );
    }
}

#[test]
fn placement_keeps_an_unregistered_leaf_as_the_last_choice_for_the_grace_period() {
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
    let start = Instant::now();
    placement.update(&[instance("a", "near"), instance("b", "far")], start);
    let is_any_unregistered = placement.update(&[instance("b", "far")], start);
    assert!(is_any_unregistered);
    let registered = placement.choose(SERVICE, &[], start).unwrap();

    assert_eq!(id_of(&placement, registered), "b");
    let other = placement.choose(SERVICE, &[registered], start).unwrap();
    assert_eq!(id_of(&placement, other), "a");
    assert_eq!(
        placement.remove_unregistered(start + UNREGISTERED_GRACE),
        vec![other]
    );
    assert_eq!(
        placement.choose(SERVICE, &[registered], start + UNREGISTERED_GRACE),
        None
    );
}

fn id_of(placement: &Placement, key: ReplicaKey) -> String {
    placement.replica(SERVICE, key).unwrap().instance.id.clone()
}

#[test]
fn placement_treats_a_leaf_that_registers_again_as_the_same_leaf() {
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
        "an unregistered leaf that was leaving is removed at once"
    );
}

/// What a leaf says about further requests, and when it is tried again.
#[derive(Debug)]
struct NoticeCase {
    name: &'static str,
    notices: &'static [Notice],
    /// Time after which the leaf is tried again; `None` if it is not tried again in this run.
    tried_after: Option<Duration>,
}

const fn hold(time: Duration) -> Notice {
    Notice {
        is_leaving: false,
        hold: Some(time),
        limit: NamedLimit::Absent,
    }
}

const LEAVING: Notice = Notice {
    is_leaving: true,
    hold: None,
    limit: NamedLimit::Absent,
};

const NOTICE_CASES: &[NoticeCase] = &[
    NoticeCase {
        name: "nothing",
        notices: &[],
        tried_after: Some(Duration::ZERO),
    },
    NoticeCase {
        name: "a fraction of a second",
        notices: &[hold(Duration::from_millis(250))],
        tried_after: Some(Duration::from_millis(250)),
    },
    NoticeCase {
        name: "a shorter time does not end a longer one",
        notices: &[hold(Duration::from_secs(3)), hold(Duration::from_secs(1))],
        tried_after: Some(Duration::from_secs(3)),
    },
    NoticeCase {
        name: "an absurd time",
        notices: &[hold(Duration::MAX)],
        tried_after: Some(MAX_HOLD),
    },
    NoticeCase {
        name: "leaving",
        notices: &[LEAVING],
        tried_after: None,
    },
    NoticeCase {
        name: "leaving, and then a time",
        notices: &[LEAVING, hold(Duration::from_secs(1))],
        tried_after: None,
    },
];

#[test]
fn placement_tries_a_leaf_again_when_it_wants_requests() {
    for case in NOTICE_CASES {
        let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
        let start = Instant::now();
        let all = [instance("a", "near")];
        placement.update(&all, start);
        let key = placement.choose(SERVICE, &[], start).unwrap();
        for notice in case.notices {
            placement.on_notice(SERVICE, key, *notice, start);
        }
        // The store lists the leaf as before.
        placement.update(&all, start);
        let name = case.name;
        if let Some(after) = case.tried_after {
            assert_eq!(
                placement.usable_at(SERVICE, start),
                Some(start + after),
                "{name}"
            );
            let chosen = placement.choose(SERVICE, &[], start + after);
            assert_eq!(chosen, Some(key), "{name}");
            if let Some(early) = after.checked_sub(Duration::from_millis(1)) {
                assert_eq!(
                    placement.choose(SERVICE, &[], start + early),
                    None,
                    "{name}"
                );
            }
        } else {
            let late = start + 2 * MAX_HOLD;
            assert_eq!(placement.choose(SERVICE, &[], late), None, "{name}");
            assert_eq!(placement.usable_at(SERVICE, late), None, "{name}");
        }
    }
}

/// How a leaf left, and what the store lists after it has come back from an older copy.
#[derive(Debug)]
struct DepartureCase {
    name: &'static str,
    /// Whether the leaf was registered as leaving before it was removed.
    was_leaving: bool,
    /// Era of the list that contains the leaf again.
    listed_in: u64,
    /// Start and heartbeat of the leaf in that list.
    listed: (u64, u64),
    gets_work: bool,
}

const DEPARTURE_CASES: &[DepartureCase] = &[
    DepartureCase {
        name: "it lapsed and is registered again",
        was_leaving: false,
        listed_in: 1,
        listed: (10, 5),
        gets_work: true,
    },
    DepartureCase {
        name: "the copy lists it as it was before it was removed",
        was_leaving: false,
        listed_in: 2,
        listed: (10, 4),
        gets_work: false,
    },
    DepartureCase {
        name: "the copy lists it as it was before it was leaving",
        was_leaving: true,
        listed_in: 2,
        listed: (10, 5),
        gets_work: false,
    },
    DepartureCase {
        name: "it has sent a later heartbeat",
        was_leaving: false,
        listed_in: 2,
        listed: (10, 6),
        gets_work: true,
    },
    DepartureCase {
        name: "it has started again",
        was_leaving: true,
        listed_in: 2,
        listed: (11, 0),
        gets_work: true,
    },
];

#[test]
fn placement_gives_work_to_a_leaf_that_left_only_once_it_shows_that_it_lives() {
    for case in DEPARTURE_CASES {
        let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
        let start = Instant::now();
        let mut leaf = instance("a", "near");
        (leaf.started_at_ms, leaf.heartbeat) = (Some(10), Some(5));
        placement.set_era(1);
        placement.update(std::slice::from_ref(&leaf), start);
        leaf.is_leaving = case.was_leaving;
        placement.update(std::slice::from_ref(&leaf), start);
        placement.update(&[], start);
        let removed_at = start + UNREGISTERED_GRACE;
        assert_eq!(placement.remove_unregistered(removed_at).len(), 1);
        let (started_at_ms, heartbeat) = case.listed;
        (leaf.started_at_ms, leaf.heartbeat) = (Some(started_at_ms), Some(heartbeat));
        leaf.is_leaving = false;
        placement.set_era(case.listed_in);
        placement.update(std::slice::from_ref(&leaf), removed_at);
        let chosen = placement.choose(SERVICE, &[], removed_at);
        assert_eq!(chosen.is_some(), case.gets_work, "{}", case.name);
    }
}

/// A VM that sends few requests to a service one of whose leaves is unhealthy.
#[derive(Debug)]
struct SparseLoad {
    name: &'static str,
    /// Interval between two requests of this VM to the service.
    request_interval: Duration,
    /// How a request to the unhealthy leaf ends.
    ending: Ending,
    /// Time after which it ends.
    latency: Duration,
    /// Maximum share of the requests that are sent to the unhealthy leaf first.
    max_share: f64,
}

const SPARSE_LOADS: &[SparseLoad] = &[
    SparseLoad {
        name: "the near leaf is unresponsive",
        request_interval: Duration::from_millis(1_500),
        ending: Ending::Abandoned,
        latency: Duration::from_millis(400),
        max_share: 0.2,
    },
    SparseLoad {
        name: "the near leaf is unreachable",
        request_interval: Duration::from_millis(1_500),
        ending: Ending::Unreachable,
        latency: Duration::from_millis(300),
        max_share: 0.2,
    },
    SparseLoad {
        name: "the near leaf is nine times slower",
        request_interval: Duration::from_millis(1_500),
        ending: Ending::Answered,
        latency: Duration::from_millis(100),
        max_share: 0.2,
    },
    SparseLoad {
        name: "the near leaf is unresponsive, and there are more requests",
        request_interval: Duration::from_millis(80),
        ending: Ending::Abandoned,
        latency: Duration::from_millis(400),
        max_share: 0.2,
    },
];

/// Latencies of a healthy near leaf and of a far leaf.
const HEALTHY_LATENCIES: [Duration; 2] = [Duration::from_millis(11), Duration::from_millis(20)];

#[test]
fn placement_avoids_an_unhealthy_leaf_at_any_request_rate() {
    for case in SPARSE_LOADS {
        let share = case.simulate();
        eprintln!("{}: share {share:.2}", case.name);
        assert!(share <= case.max_share, "{}: share {share:.2}", case.name);
    }
}

impl SparseLoad {
    /// Simulates 10 seconds in which all leaves are healthy and 30 in which the near leaf is
    /// unhealthy. Returns the share of the latter requests that are sent to the near leaf first.
    fn simulate(&self) -> f64 {
        const HEALTHY_DURATION: Duration = Duration::from_secs(10);
        const TOTAL_DURATION: Duration = Duration::from_secs(40);
        let start = Instant::now();
        let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
        let leaves = [
            instance("a", "near"),
            instance("b", "far"),
            instance("c", "far"),
        ];
        placement.update(&leaves, start);
        let near = placement.group(SERVICE).unwrap().replicas()[0].key;
        let (mut sent_to_unhealthy, mut sent) = (0, 0);
        let mut at = Duration::ZERO;
        while at < TOTAL_DURATION {
            let now = start + at;
            let is_unhealthy = at >= HEALTHY_DURATION;
            placement.record_request(SERVICE, now);
            let key = placement.choose(SERVICE, &[], now).unwrap();
            let attempt = placement.begin_attempt(SERVICE, key, now);
            let (ending, latency) = match (key == near, is_unhealthy) {
                (true, true) => (self.ending, self.latency),
                (true, false) => (Ending::Answered, HEALTHY_LATENCIES[0]),
                (false, _) => (Ending::Answered, HEALTHY_LATENCIES[1]),
            };
            placement.end_attempt(SERVICE, key, attempt, ending, now + latency);
            if ending == Ending::Abandoned {
                placement.record_unresponsive(SERVICE, key, now + latency);
            }
            sent += u32::from(is_unhealthy);
            sent_to_unhealthy += u32::from(is_unhealthy && key == near);
            at += self.request_interval;
        }
        f64::from(sent_to_unhealthy) / f64::from(sent)
    }
}
