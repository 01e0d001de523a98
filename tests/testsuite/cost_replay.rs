//! Replays load of different cost to compare both policies of the placement, in simulated time.
//!
//! Several VMs send requests of different cost to leaves of different speed, which are slow at times,
//! report their load and may start late. Both policies get the same seeds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniummount::core::cost::{Load, Profile};
use geraniummount::core::instance::Instance;
use geraniummount::core::placement::{Ending, Placement, Policy, Start};
use geraniummount::core::scope::Scope;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::instances;

const SERVICE: &str = "service";
const SEEDS: [u64; 3] = [1, 2, 3];
const SLOTS: usize = 2;
/// One-way delay between a VM and a leaf.
const DELAY: f64 = 0.001;
/// Duration of the replayed load, and its start, which is not measured, in seconds.
const END: f64 = 20.0;
const MEASURED_FROM: f64 = 2.0;

/// Kind of request: share of the requests, usual work in seconds, and its spread.
type Kind = (f64, f64, f64);

/// A load and the leaves that serve it.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    kinds: &'static [Kind],
    speeds: &'static [f64],
    vms: usize,
    /// Offered load relative to the capacity of the leaves.
    load: f64,
    /// Whether leaves are 2.5 times slower for 600 ms at a time.
    has_slow_times: bool,
    reports_load: bool,
    /// Factor on the load from 10 s to 10.5 s.
    burst: f64,
    /// When the last leaf starts, in seconds.
    last_starts_at: f64,
    /// Maximum of the mean latency by cost, relative to that by latency.
    max_mean_ratio: f64,
}

/// Requests of one kind, for which the choice by latency is made.
const ALIKE: &[Kind] = &[(1.0, 0.015, 0.2)];
const MIXED: &[Kind] = &[(0.45, 0.015, 0.2), (0.45, 0.005, 0.2), (0.1, 0.12, 0.5)];
/// Requests that look alike: one in eight costs 30 times as much.
const TWO_HUMPED: &[Kind] = &[(0.875, 0.005, 0.1), (0.125, 0.15, 0.1)];
const SPEEDS: &[f64] = &[0.8, 1.0, 1.3, 0.8, 1.0, 1.3];

const BASE: Case = Case {
    name: "requests of different cost at leaves of different speed",
    kinds: MIXED,
    speeds: SPEEDS,
    vms: 4,
    load: 0.6,
    has_slow_times: false,
    reports_load: false,
    burst: 1.0,
    last_starts_at: 0.0,
    max_mean_ratio: 0.85,
};

const CASES: &[Case] = &[
    BASE,
    Case {
        name: "two-humped costs under one key",
        kinds: TWO_HUMPED,
        ..BASE
    },
    Case {
        name: "leaves that are slow for 600 ms",
        has_slow_times: true,
        ..BASE
    },
    Case {
        name: "leaves that report their load",
        reports_load: true,
        ..BASE
    },
    Case {
        name: "leaves that report their load and are slow for 600 ms",
        reports_load: true,
        has_slow_times: true,
        ..BASE
    },
    Case {
        name: "many VMs that see little each",
        max_mean_ratio: 1.0,
        vms: 40,
        ..BASE
    },
    Case {
        name: "many VMs at leaves that report their load",
        max_mean_ratio: 1.0,
        vms: 40,
        reports_load: true,
        ..BASE
    },
    Case {
        name: "many VMs at leaves that report their load and are slow for 600 ms",
        max_mean_ratio: 1.0,
        vms: 40,
        reports_load: true,
        has_slow_times: true,
        ..BASE
    },
    Case {
        name: "requests that cost the same",
        kinds: ALIKE,
        max_mean_ratio: 1.02,
        ..BASE
    },
    Case {
        name: "requests that cost the same, at high load",
        kinds: ALIKE,
        max_mean_ratio: 1.02,
        load: 0.85,
        ..BASE
    },
    Case {
        name: "high load",
        load: 0.85,
        ..BASE
    },
    Case {
        name: "a leaf that starts late",
        last_starts_at: 10.0,
        load: 0.5,
        ..BASE
    },
    Case {
        name: "a burst of three times the load",
        burst: 3.0,
        load: 0.4,
        ..BASE
    },
];

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Register,
    Arrive,
    AtLeaf,
    Done,
    Answer,
}

#[derive(Clone, Copy)]
struct Job {
    vm: usize,
    leaf: usize,
    key: u64,
    attempt: u64,
    work: f64,
    sent: f64,
    load: Option<Load>,
}

#[derive(Default)]
struct Leaf {
    running: u32,
    waiting: VecDeque<usize>,
    served: usize,
}

/// Latencies in milliseconds, and the share of the requests that each leaf served.
struct Figures {
    mean: f64,
    p95: f64,
    p99: f64,
    shares: Vec<f64>,
}

fn is_slow(case: &Case, leaf: usize, at: f64) -> bool {
    let phase = at + leaf as f64 * 0.83;
    case.has_slow_times && phase % 5.0 < 0.6
}

/// Load and leaves of a case under one policy.
struct Replay<'a> {
    case: &'a Case,
    start: Instant,
    /// Seconds since the start.
    now: f64,
    rng: SmallRng,
    vms: Vec<Placement>,
    instances: Vec<Instance>,
    profiles: Vec<Arc<Profile>>,
    leaves: Vec<Leaf>,
    jobs: Vec<Job>,
    /// Times in nanoseconds, with the job and the event.
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    /// Latencies in milliseconds.
    latencies: Vec<f64>,
}

impl<'a> Replay<'a> {
    fn new(case: &'a Case, policy: Policy, seed: u64) -> Replay<'a> {
        let vms = (0..case.vms as u64).map(|vm| {
            let rng = SmallRng::seed_from_u64(seed * 100 + vm);
            let mut placement = Placement::new("a", Start::First, rng);
            placement.set_policy(policy);
            placement
        });
        let instance = |leaf: usize| instances::instance(SERVICE, &format!("leaf-{leaf}"), "a");
        let profile = |kind: usize| match std::ptr::eq(case.kinds, TWO_HUMPED) {
            true => Arc::new(Profile::new("route".to_string(), None, 0)),
            false => Arc::new(Profile::new(format!("route-{kind}"), None, 100)),
        };
        Replay {
            case,
            start: Instant::now(),
            now: 0.0,
            rng: SmallRng::seed_from_u64(seed),
            vms: vms.collect(),
            instances: (0..case.speeds.len()).map(instance).collect(),
            profiles: (0..case.kinds.len()).map(profile).collect(),
            leaves: case.speeds.iter().map(|_| Leaf::default()).collect(),
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            latencies: Vec::new(),
        }
    }

    fn run(mut self) -> Figures {
        let is_late = self.case.last_starts_at > 0.0;
        let first = self.instances.len() - usize::from(is_late);
        self.register(first);
        if is_late {
            self.schedule(self.case.last_starts_at, 0, Event::Register);
        }
        self.schedule(0.0, 0, Event::Arrive);
        while let Some(Reverse((time, job, event))) = self.events.pop() {
            self.now = time as f64 / 1e9;
            match event {
                Event::Register => self.register(self.instances.len()),
                Event::Arrive => self.on_arrival(),
                Event::AtLeaf => {
                    self.leaves[self.jobs[job].leaf].waiting.push_back(job);
                    self.run_waiting(self.jobs[job].leaf);
                }
                Event::Done => self.on_done(job),
                Event::Answer => self.on_answer(job),
            }
        }
        self.figures()
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, job: usize, event: Event) {
        let at = (at * 1e9) as u64;
        self.events.push(Reverse((at, job, event)));
    }

    fn register(&mut self, count: usize) {
        let now = self.at();
        for vm in &mut self.vms {
            vm.update(&self.instances[..count], now);
        }
    }

    fn on_arrival(&mut self) {
        let (case, now) = (self.case, self.now);
        let works = case
            .kinds
            .iter()
            .map(|(share, work, spread)| share * work * (spread * spread / 2.0).exp());
        let capacity = case.speeds.iter().sum::<f64>() * SLOTS as f64 / works.sum::<f64>();
        let is_burst = (10.0..10.5).contains(&now);
        let rate = case.load * capacity * if is_burst { case.burst } else { 1.0 };
        let gap = -self.rng.random_range(1e-9..1.0_f64).ln() / rate;
        if now + gap < END {
            self.schedule(now + gap, 0, Event::Arrive);
        }
        let mut draw = self.rng.random_range(0.0..1.0);
        let kind = case.kinds.iter().position(|(share, ..)| {
            draw -= share;
            draw < 0.0
        });
        let kind = kind.unwrap_or(0);
        let (_, work, spread) = case.kinds[kind];
        let uniforms = (0..12).map(|_| self.rng.random_range(0.0..1.0));
        let normal = uniforms.sum::<f64>() - 6.0;
        let vm = self.rng.random_range(0..case.vms);
        self.send(vm, kind, work * (normal * spread).exp());
    }

    fn send(&mut self, vm: usize, kind: usize, work: f64) {
        let at = self.at();
        let (placement, profile) = (&mut self.vms[vm], &self.profiles[kind]);
        let key = placement.choose_for(profile, SERVICE, &Scope::ANY, &[], at);
        let key = key.expect("a leaf is usable");
        let attempt = placement.begin_attempt_for(profile, SERVICE, key, at);
        let id = &placement.replica(SERVICE, key).unwrap().instance.id;
        let leaf = self.instances.iter().position(|leaf| leaf.id == *id);
        self.jobs.push(Job {
            vm,
            leaf: leaf.unwrap(),
            key,
            attempt,
            work,
            sent: self.now,
            load: None,
        });
        self.schedule(self.now + DELAY, self.jobs.len() - 1, Event::AtLeaf);
    }

    fn run_waiting(&mut self, index: usize) {
        while (self.leaves[index].running as usize) < SLOTS {
            let Some(next) = self.leaves[index].waiting.pop_front() else {
                return;
            };
            self.leaves[index].running += 1;
            let is_slow = is_slow(self.case, index, self.now);
            let slowness = if is_slow { 2.5 } else { 1.0 };
            let took = self.jobs[next].work / self.case.speeds[index] * slowness;
            self.schedule(self.now + took, next, Event::Done);
        }
    }

    fn on_done(&mut self, job: usize) {
        let index = self.jobs[job].leaf;
        let is_slow = is_slow(self.case, index, self.now);
        let leaf = &mut self.leaves[index];
        self.jobs[job].load = self.case.reports_load.then_some(Load {
            running: leaf.running,
            waiting: leaf.waiting.len() as u32,
            slots: SLOTS as u32,
            pace_percent: if is_slow { 250 } else { 100 },
        });
        leaf.running -= 1;
        leaf.served += 1;
        self.schedule(self.now + DELAY, job, Event::Answer);
        self.run_waiting(index);
    }

    fn on_answer(&mut self, job: usize) {
        let (now, done) = (self.at(), self.jobs[job]);
        let placement = &mut self.vms[done.vm];
        if let Some(load) = done.load {
            placement.on_load(SERVICE, done.key, load, now);
        }
        placement.end_attempt(SERVICE, done.key, done.attempt, Ending::Answered, now);
        if done.sent >= MEASURED_FROM {
            self.latencies.push((self.now - done.sent) * 1e3);
        }
    }

    fn figures(mut self) -> Figures {
        for vm in &self.vms {
            let replicas = vm.group(SERVICE).unwrap().replicas();
            assert!(replicas.iter().all(|r| r.open_work() == 0));
        }
        self.latencies.sort_by(f64::total_cmp);
        let count = self.latencies.len() as f64;
        let quantile = |share: f64| self.latencies[(count * share) as usize];
        let sent = self.jobs.len() as f64;
        let leaves = self.leaves.iter();
        Figures {
            mean: self.latencies.iter().sum::<f64>() / count,
            p95: quantile(0.95),
            p99: quantile(0.99),
            shares: leaves.map(|leaf| leaf.served as f64 / sent).collect(),
        }
    }
}

fn replay(case: &Case, policy: Policy, seed: u64) -> Figures {
    Replay::new(case, policy, seed).run()
}

/// Guards against a choice by cost that is slower than that by latency, or starves or floods a leaf.
#[test]
fn choice_by_cost_is_not_slower_than_by_latency() {
    let mut slower = Vec::new();
    for case in CASES {
        let (mut before, mut after) = (0.0, 0.0);
        for seed in SEEDS {
            let by_latency = replay(case, Policy::Latency, seed);
            let by_cost = replay(case, Policy::Cost, seed);
            for (name, figures) in [("latency", &by_latency), ("cost", &by_cost)] {
                println!(
                    "{} seed={seed} policy={name} mean_ms={:.1} p95_ms={:.1} p99_ms={:.1}",
                    case.name, figures.mean, figures.p95, figures.p99
                );
            }
            let fair: f64 = case.speeds.iter().sum();
            for (leaf, share) in by_cost.shares.iter().enumerate() {
                let relative = share / (case.speeds[leaf] / fair);
                // A slow leaf gets few requests while the fast ones have free slots.
                let min = if std::ptr::eq(case.kinds, ALIKE) {
                    0.2
                } else {
                    0.4
                };
                let is_fair = (min..2.0).contains(&relative);
                assert!(is_fair, "{} leaf {leaf}: {relative:.2}", case.name);
            }
            before += by_latency.mean;
            after += by_cost.mean;
        }
        println!("{} ratio={:.3}", case.name, after / before);
        if after > before * case.max_mean_ratio {
            slower.push((case.name, after / before));
        }
    }
    assert!(slower.is_empty(), "{slower:?}");
}
