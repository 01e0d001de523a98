//! Replays bursts of a fleet at leaves that come back cold, and tests how long a leaf is cold.

use std::time::{Duration, Instant};

use geraniummount::core::fleet::Share;
use geraniummount::core::instance::Instance;
use geraniummount::core::placement::{Ending, Placement, Start};
use geraniummount::core::route::WarmUp;
use geraniummount::core::tolerance::Tolerance;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::instances;

const SERVICE: &str = "shard";
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// By how much the limits may be exceeded in any second.
const TOLERANCE: Tolerance = Tolerance {
    share: 0.5,
    requests: 5.0,
};

/// Time that a leaf takes for a request.
const LATENCY: Duration = Duration::from_millis(10);

/// When the cold leaves come back, when the warm ones leave, and when more requests come.
const RETURN: Duration = Duration::from_secs(5);
const WARM_LEAVE: Duration = Duration::from_secs(15);
const BURST: Duration = Duration::from_secs(25);
const BURST_FACTOR: f64 = 3.0;
const LOAD_END: Duration = Duration::from_secs(30);

/// Maximum time until a VM learns of a change of the leaves.
const NEWS: Duration = Duration::from_secs(2);

/// When the VMs begin to tell each other their rates, and how long that takes.
const EXCHANGE: Duration = Duration::from_secs(18);

/// Time for which the leaves stay cold.
const COLD_TIME: Duration = Duration::from_secs(60);

/// A fleet and a service.
#[derive(Debug)]
struct Case {
    name: &'static str,
    vms: usize,
    requests_per_sec: f64,
    warm: usize,
    cold: usize,
    per_second: f64,
    /// Whether the warm leaves leave at once, so that the cold ones have to carry the rest.
    warm_leave: bool,
    /// Whether the VMs tell each other their rates once only cold leaves are left.
    has_exchange: bool,
    /// Minimum share of the limits that is used once only cold leaves are left.
    min_used: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "one domain of three comes back, few VMs",
        vms: 7,
        requests_per_sec: 90.0,
        warm: 4,
        cold: 2,
        per_second: 4.0,
        warm_leave: false,
        has_exchange: false,
        min_used: 0.0,
    },
    Case {
        name: "one domain of three comes back, many VMs",
        vms: 79,
        requests_per_sec: 120.0,
        warm: 4,
        cold: 2,
        per_second: 6.0,
        warm_leave: false,
        has_exchange: false,
        min_used: 0.0,
    },
    Case {
        name: "one domain of three comes back, hundreds of VMs",
        vms: 295,
        requests_per_sec: 300.0,
        warm: 4,
        cold: 2,
        per_second: 10.0,
        warm_leave: false,
        has_exchange: false,
        min_used: 0.0,
    },
    Case {
        name: "the warm leaves leave while the others are cold, few VMs",
        vms: 7,
        requests_per_sec: 90.0,
        warm: 2,
        cold: 2,
        per_second: 4.0,
        warm_leave: true,
        has_exchange: true,
        min_used: 0.25,
    },
    Case {
        name: "the warm leaves leave while the others are cold, many VMs",
        vms: 79,
        requests_per_sec: 120.0,
        warm: 2,
        cold: 3,
        per_second: 6.0,
        warm_leave: true,
        has_exchange: true,
        min_used: 0.25,
    },
    Case {
        name: "the warm leaves leave while the others are cold, hundreds of VMs",
        vms: 295,
        requests_per_sec: 300.0,
        warm: 2,
        cold: 3,
        per_second: 10.0,
        warm_leave: true,
        has_exchange: true,
        min_used: 0.2,
    },
    Case {
        name: "the warm leaves leave, a large limit and no exchange, many VMs",
        vms: 79,
        requests_per_sec: 400.0,
        warm: 2,
        cold: 2,
        per_second: 40.0,
        warm_leave: true,
        has_exchange: false,
        min_used: 0.25,
    },
];

/// A VM that sends requests.
struct Vm {
    placement: Placement,
    /// Times at which it learns that the cold leaves are back, and that the warm ones have left.
    news_at: [Duration; 2],
    /// Number of these that it has learned.
    learned: usize,
    requests: f64,
}

struct Replay<'a> {
    case: &'a Case,
    start: Instant,
    rng: SmallRng,
    vms: Vec<Vm>,
    /// Times of the requests at each cold leaf.
    arrivals: Vec<Vec<Duration>>,
    /// Requests for which no leaf was found while there were warm leaves.
    unserved: usize,
}

fn leaf(index: usize, is_cold: bool) -> Instance {
    let kind = if is_cold { "cold" } else { "warm" };
    let mut leaf = instances::instance(SERVICE, &format!("{kind}-{index}"), kind);
    if is_cold {
        leaf.warm_up_left = COLD_TIME;
    }
    leaf
}

impl Replay<'_> {
    fn new(case: &Case, seed: u64) -> Replay<'_> {
        let start = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..case.vms).map(|index| {
            let rng_of_vm = SmallRng::seed_from_u64(seed * 1_000 + index as u64);
            let mut placement = Placement::new("warm", Start::Restart, rng_of_vm);
            let warm_up = WarmUp {
                duration: Duration::from_secs(20),
                per_second: case.per_second,
            };
            placement.set_cold_tolerance(TOLERANCE);
            placement.set_fleet_size(case.vms, start);
            placement.set_warm_ups(vec![(SERVICE.to_string(), warm_up)], start);
            let leaves: Vec<Instance> = (0..case.warm).map(|i| leaf(i, false)).collect();
            placement.update(&leaves, start);
            Vm {
                placement,
                news_at: [RETURN, WARM_LEAVE]
                    .map(|at| at + NEWS.mul_f64(rng.random_range(0.0..1.0))),
                learned: 0,
                requests: 0.0,
            }
        });
        Replay {
            case,
            start,
            vms: vms.collect(),
            rng: SmallRng::seed_from_u64(seed),
            arrivals: vec![Vec::new(); case.cold],
            unserved: 0,
        }
    }

    fn run(&mut self) {
        let mut at = Duration::ZERO;
        let mut share_at = EXCHANGE;
        while at < LOAD_END {
            if self.case.has_exchange && at >= share_at {
                share_at += Duration::from_millis(500);
                self.tell_rates(at);
            }
            self.send_request(at);
            let is_burst = at >= BURST || (RETURN..RETURN + NEWS).contains(&at);
            let factor = if is_burst { BURST_FACTOR } else { 1.0 };
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / self.case.requests_per_sec / factor);
        }
    }

    /// Lets VMs tell their rates, one after the other within some seconds.
    fn tell_rates(&mut self, at: Duration) {
        let joined = (at - EXCHANGE).as_secs_f64() / 3.0 * self.vms.len() as f64;
        let joined = (joined as usize + 1).min(self.vms.len());
        let sum: f64 = self.vms[..joined].iter().map(|vm| vm.requests).sum();
        for vm in &mut self.vms[..joined] {
            vm.placement.set_fleet_share(Share::Known {
                share: vm.requests / sum.max(1.0),
                as_of: self.start + at,
                is_settled: true,
            });
        }
    }

    fn learn(&mut self, index: usize, at: Duration) {
        let (case, vm) = (self.case, &mut self.vms[index]);
        while vm.learned < vm.news_at.len() && vm.news_at[vm.learned] <= at {
            vm.learned += 1;
            let has_warm = vm.learned < 2 || !case.warm_leave;
            let warm = (0..case.warm).filter(|_| has_warm).map(|i| leaf(i, false));
            let leaves: Vec<Instance> = warm.chain((0..case.cold).map(|i| leaf(i, true))).collect();
            let now = self.start + at;
            vm.placement.update(&leaves, now);
            vm.placement
                .remove_unregistered(now + Duration::from_secs(3));
        }
    }

    /// Sends a request through a VM; a few VMs get several times the requests of the others.
    fn send_request(&mut self, at: Duration) {
        let uniform: f64 = self.rng.random_range(0.0..1.0);
        let index = (uniform * uniform * self.vms.len() as f64) as usize;
        self.learn(index, at);
        let now = self.start + at;
        let vm = &mut self.vms[index];
        vm.requests += 1.0;
        vm.placement.record_request(SERVICE, now);
        let Some(key) = vm.placement.choose(SERVICE, &[], now) else {
            self.unserved += usize::from(!self.case.warm_leave || at < WARM_LEAVE);
            return;
        };
        let attempt = vm.placement.begin_attempt(SERVICE, key, now);
        vm.placement
            .end_attempt(SERVICE, key, attempt, Ending::Answered, now + LATENCY);
        let id = &vm.placement.replica(SERVICE, key).unwrap().instance.id;
        if let Some(leaf) = id.strip_prefix("cold-") {
            self.arrivals[leaf.parse::<usize>().unwrap()].push(at);
        }
    }
}

/// Returns the largest number of requests in any second.
fn most_in_a_second(times: &[Duration]) -> usize {
    let ends = times.iter().enumerate();
    let in_second = ends.map(|(index, end)| {
        let first = times.partition_point(|at| *at + Duration::from_secs(1) < *end);
        index + 1 - first
    });
    in_second.max().unwrap_or(0)
}

/// Guards against VMs that together send a cold leaf more than it takes, and against requests that
/// are refused although warm leaves are left.
#[test]
fn cold_leaves_get_no_more_than_their_limit_from_all_vms() {
    for case in CASES {
        for seed in SEEDS {
            let mut replay = Replay::new(case, seed);
            replay.run();
            let name = case.name;
            assert_eq!(replay.unserved, 0, "{name}, seed {seed}: unserved");
            let allowed = case.per_second * (1.0 + TOLERANCE.share) + TOLERANCE.requests;
            for (leaf, times) in replay.arrivals.iter().enumerate() {
                let most = most_in_a_second(times);
                let is_within = most as f64 <= allowed;
                assert!(
                    is_within,
                    "{name}, seed {seed}: leaf {leaf} got {most}, {allowed} allowed"
                );
            }
            let used = replay
                .arrivals
                .iter()
                .flatten()
                .filter(|at| **at >= BURST)
                .count();
            let limits = case.per_second * case.cold as f64 * (LOAD_END - BURST).as_secs_f64();
            let used = used as f64 / limits;
            println!("{name}, seed {seed}: {used:.2} of the limits used");
            assert!(
                used >= case.min_used,
                "{name}, seed {seed}: {used:.2} of the limits used"
            );
        }
    }
}

/// What a leaf says of itself.
#[derive(Clone, Copy, Debug)]
enum Said {
    /// In a registration, with the number of its heartbeat.
    Registered(u64, Duration),
    /// In the answer to a health request.
    Answered(Duration),
}

use Said::{Answered, Registered};

#[derive(Debug)]
struct Statement {
    name: &'static str,
    /// Age of the leaf when it becomes known.
    age: Duration,
    /// What the leaf says, with the time since it became known.
    said: &'static [(Duration, Said)],
    at: Duration,
    is_cold: bool,
}

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

const STATEMENTS: &[Statement] = &[
    Statement {
        name: "an old leaf that says nothing",
        age: secs(1_000),
        said: &[],
        at: secs(1),
        is_cold: false,
    },
    Statement {
        name: "a young leaf that says nothing",
        age: secs(5),
        said: &[],
        at: secs(14),
        is_cold: true,
    },
    Statement {
        name: "a leaf is no longer young",
        age: secs(5),
        said: &[],
        at: secs(16),
        is_cold: false,
    },
    Statement {
        name: "a young leaf that says that it is warm",
        age: secs(5),
        said: &[(secs(1), Registered(2, Duration::ZERO))],
        at: secs(2),
        is_cold: true,
    },
    Statement {
        name: "an old leaf becomes cold again",
        age: secs(1_000),
        said: &[(secs(10), Registered(2, secs(8)))],
        at: secs(17),
        is_cold: true,
    },
    Statement {
        name: "the time that a leaf stated is over",
        age: secs(1_000),
        said: &[(secs(10), Registered(2, secs(8)))],
        at: secs(19),
        is_cold: false,
    },
    Statement {
        name: "the same registration arrives again, and its time is over",
        age: secs(1_000),
        said: &[
            (secs(10), Registered(2, secs(8))),
            (secs(17), Registered(2, secs(8))),
        ],
        at: secs(19),
        is_cold: false,
    },
    Statement {
        name: "an older registration arrives after a store that came back",
        age: secs(1_000),
        said: &[
            (secs(10), Registered(5, secs(8))),
            (secs(11), Registered(3, Duration::ZERO)),
        ],
        at: secs(12),
        is_cold: true,
    },
    Statement {
        name: "a leaf says that it is warm earlier than it said before",
        age: secs(1_000),
        said: &[
            (secs(10), Registered(2, secs(60))),
            (secs(11), Registered(3, Duration::ZERO)),
        ],
        at: secs(12),
        is_cold: false,
    },
    Statement {
        name: "a health answer says that the leaf is cold",
        age: secs(1_000),
        said: &[(secs(10), Answered(secs(5)))],
        at: secs(12),
        is_cold: true,
    },
    Statement {
        name: "a registration that may be older than the health answer",
        age: secs(1_000),
        said: &[
            (secs(10), Answered(secs(5))),
            (secs(11), Registered(2, Duration::ZERO)),
        ],
        at: secs(12),
        is_cold: true,
    },
];

/// Guards against a leaf that is taken for warm by old news, or for cold for ever.
#[test]
fn cold_leaves_are_cold_after_their_start_and_as_long_as_they_say() {
    const UNIX_MS: u64 = 1_800_000_000_000;
    for case in STATEMENTS {
        let start = Instant::now();
        let warm_up = WarmUp {
            duration: secs(20),
            per_second: 4.0,
        };
        let mut placement = Placement::new("near", Start::Restart, SmallRng::seed_from_u64(1));
        placement.set_warm_ups(vec![(SERVICE.to_string(), warm_up)], start);
        placement.set_time_of_day(UNIX_MS);
        let mut leaf = instances::instance(SERVICE, "leaf", "near");
        leaf.started_at_ms = Some(UNIX_MS - case.age.as_millis() as u64);
        leaf.heartbeat = Some(1);
        placement.update(&[leaf.clone()], start);
        let key = placement.group(SERVICE).unwrap().replicas()[0].key;
        for (after, said) in case.said {
            let now = start + *after;
            match said {
                Registered(heartbeat, left) => {
                    (leaf.heartbeat, leaf.warm_up_left) = (Some(*heartbeat), *left);
                    placement.update(&[leaf.clone()], now);
                }
                Answered(left) => placement.on_health_answer(SERVICE, key, *left, now),
            }
        }
        let replica = placement.replica(SERVICE, key).unwrap();
        assert_eq!(
            replica.is_cold(start + case.at),
            case.is_cold,
            "{}",
            case.name
        );
    }
}

/// Guards against limits on leaves of services for which the operator has set none.
#[test]
fn cold_leaves_without_a_limit_are_not_limited() {
    let now = Instant::now();
    let mut placement = Placement::new("near", Start::Restart, SmallRng::seed_from_u64(1));
    let mut leaf = instances::instance(SERVICE, "leaf", "near");
    leaf.warm_up_left = COLD_TIME;
    placement.update(&[leaf], now);
    assert_eq!(placement.cold_leaves(now), 0);
    assert!((0..1_000).all(|_| placement.choose(SERVICE, &[], now).is_some()));
}

/// Guards against VMs that each take the whole limit when the list of VMs is lost with the store.
#[test]
fn cold_leaves_keep_the_parts_of_vms_whose_entries_vanish() {
    const VMS: usize = 100;
    let start = Instant::now();
    let warm_up = WarmUp {
        duration: secs(20),
        per_second: 20.0,
    };
    let mut placement = Placement::new("near", Start::Restart, SmallRng::seed_from_u64(1));
    placement.set_cold_tolerance(TOLERANCE);
    placement.set_fleet_size(VMS, start);
    placement.set_warm_ups(vec![(SERVICE.to_string(), warm_up)], start);
    placement.update(&[leaf(0, true)], start);
    placement.set_fleet_size(1, start);
    placement.set_fleet_size(1, start + secs(1));
    let times = (0..500_u32).map(|tick| start + Duration::from_millis(20) * tick);
    let sent = times
        .filter(|at| placement.choose(SERVICE, &[], *at).is_some())
        .count();
    assert!(sent <= 5, "{sent} requests in 10 s, of 200 for all VMs");
}
