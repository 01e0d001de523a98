//! Replays overload with tenants and priorities against `core::fair_share`, beside the policy before,
//! first come, first served.

use std::time::{Duration, Instant};

use geraniummount::core::fair_share::{Cause, Claimant, Decision, FairShare, Outcome, Shortage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SEEDS: std::ops::Range<u64> = 31..35;
const TARGET_LATENCY: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(1);
/// Wait at which the simulated leaf rejects a request.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time of usual load before the overload.
const CALM: Duration = Duration::from_secs(40);
/// Duration of the overload; what is served in its first second is not counted.
const OVERLOAD: Duration = Duration::from_secs(6);
/// The requirement: nobody is served less than this share as often as all requests.
const MIN_RATIO: f64 = 0.25;

/// Requests of one claimant.
#[derive(Clone, Debug)]
struct Stream {
    claimant: Claimant,
    /// Requests per second, usually and during the overload.
    rates: (f64, f64),
}

/// A load on one service.
struct Load {
    name: &'static str,
    vms: usize,
    /// Ratio of the capacity to the demand during the overload.
    capacity: f64,
    streams: Vec<Stream>,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    FirstCome,
    /// `FairShare` with the share to shed that [`Shortage`] measures.
    FairShare,
    /// `FairShare` with the share of the demand that exceeds the capacity, which the load shedder of
    /// a set of shards approaches on VMs that see too few requests for [`Shortage`].
    KnownShare,
}

/// Numbers of requests that came and that were served within the deadline, by stream.
type Counts = Vec<(f64, f64)>;

fn stream(priority: u32, tenant: usize, usual: f64, overload: f64) -> Stream {
    let tenant = Some(format!("t{tenant}"));
    Stream {
        claimant: Claimant { priority, tenant },
        rates: (usual, overload),
    }
}

impl Load {
    /// Returns the counts during the overload over all seeds.
    fn replay(&self, policy: Policy) -> Counts {
        let mut counts = vec![(0.0, 0.0); self.streams.len()];
        for seed in SEEDS {
            self.replay_seed(policy, seed, &mut counts);
        }
        counts
    }

    fn replay_seed(&self, policy: Policy, seed: u64, counts: &mut Counts) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let new_vm = |_| {
            let demand = FairShare::new(start, rng.random_range(0.0..1.0));
            (demand, Shortage::new(start))
        };
        let mut vms: Vec<_> = (0..self.vms).map(new_vm).collect();
        let peak: f64 = self.streams.iter().map(|stream| stream.rates.1).sum();
        let service_time = Duration::from_secs_f64(1.0 / (peak * self.capacity));
        let (mut now, mut free_at) = (start, start);
        while now < start + CALM + OVERLOAD {
            let is_overload = now >= start + CALM;
            let rate = |stream: &Stream| match is_overload {
                true => stream.rates.1,
                false => stream.rates.0,
            };
            let total: f64 = self.streams.iter().map(rate).sum();
            let gap = -rng.random_range(1e-9_f64..1.0).ln() / total;
            now += Duration::from_secs_f64(gap);
            let mut point = rng.random_range(0.0..total);
            let index = self.streams.iter().position(|stream| {
                point -= rate(stream);
                point < 0.0
            });
            let index = index.unwrap_or(0);
            let (demand, shortage) = &mut vms[rng.random_range(0..self.vms)];
            let is_counted = now >= start + CALM + Duration::from_secs(1);
            counts[index].0 += f64::from(u8::from(is_counted));
            let claimant = &self.streams[index].claimant;
            demand.record(claimant, now);
            let share = match policy {
                Policy::FirstCome => 0.0,
                Policy::FairShare => shortage.shed_share(now),
                Policy::KnownShare if is_overload => 1.0 - self.capacity,
                Policy::KnownShare => 0.0,
            };
            if demand.decide(claimant, share, TARGET_LATENCY, now) != Decision::Admit {
                continue;
            }
            if free_at.saturating_duration_since(now) > MAX_WAIT {
                shortage.record(Outcome::Rejected, now);
                continue;
            }
            // Before the overload the leaf has capacity to spare.
            let speed = if is_overload { 1 } else { 4 };
            free_at = free_at.max(now) + service_time / speed;
            let (at, due, deadline) = (free_at, now + TARGET_LATENCY, now + DEADLINE);
            shortage.record(Outcome::Ended { at, due, deadline }, now);
            counts[index].1 += f64::from(u8::from(is_counted));
        }
    }
}

/// Returns the share served of the streams that match.
fn served(load: &Load, counts: &Counts, matches: impl Fn(&Stream) -> bool) -> f64 {
    let matching = load.streams.iter().zip(counts);
    let matching = matching.filter(|(stream, _)| matches(stream));
    let (came, served) = matching.fold((0.0, 0.0), |sum, (_, count)| {
        (sum.0 + count.0, sum.1 + count.1)
    });
    served / came
}

/// Checks that each priority, and each tenant with enough requests to tell, gets its minimum.
fn check_minimum(load: &Load, counts: &Counts) {
    let all = served(load, counts, |_| true);
    for stream in &load.streams {
        let priority = stream.claimant.priority;
        let of_priority = served(load, counts, |stream| stream.claimant.priority == priority);
        assert!(of_priority >= MIN_RATIO * all, "{} {priority}", load.name);
    }
    for (stream, (came, got)) in load.streams.iter().zip(counts) {
        let is_enough = *came >= 20.0;
        let claimant = &stream.claimant;
        assert!(
            !is_enough || got / came >= MIN_RATIO * all,
            "{} {claimant:?}: {got} of {came}, all {all:.2}",
            load.name
        );
    }
}

/// Replays a tenant that sends at 7.5 times its usual rate beside 80 others, while the capacity is
/// half of the demand. The others have to get at least 0.85 of their requests.
fn check_burst(usual: f64, burst: f64) {
    let mut streams: Vec<Stream> = (1..=80)
        .map(|tenant| {
            let rate = if tenant <= 10 { 1.7 } else { 0.243 };
            stream(1, tenant, rate, rate)
        })
        .collect();
    streams.push(stream(1, 0, usual, burst));
    let load = Load {
        name: "one tenant at 7.5 times its usual rate",
        vms: 1,
        capacity: 0.5,
        streams,
    };
    let is_burst = |stream: &Stream| stream.rates.1 > 40.0;
    let [before, after] = [Policy::FirstCome, Policy::FairShare].map(|policy| load.replay(policy));
    let of = |counts: &Counts| {
        let others = served(&load, counts, |stream| !is_burst(stream));
        (others, served(&load, counts, is_burst))
    };
    eprintln!(
        "(others, burst) before {:.2?}, after {:.2?}",
        of(&before),
        of(&after)
    );
    assert!(of(&before).0 < 0.65, "the load does not show the fault");
    assert!(of(&after).0 > 0.85, "others were shed: {:.2?}", of(&after));
    check_minimum(&load, &after);
}

#[test]
fn fair_share_of_a_bursting_tenant_leaves_the_others_theirs() {
    check_burst(8.0, 60.0);
}

/// The smaller the tenant, the longer it takes to tell its burst from chance.
#[test]
fn fair_share_of_a_smaller_bursting_tenant_leaves_the_others_theirs() {
    check_burst(6.0, 45.0);
}

/// Load of which some priorities have to be served nearly completely.
struct PriorityCase {
    load: Load,
    policy: Policy,
    /// Minimum share served of priority 0.
    min_first: f64,
}

/// Returns loads with several priorities.
fn priority_cases() -> [PriorityCase; 4] {
    let kinds = |rates: [(f64, f64); 3]| {
        let streams = rates.iter().enumerate();
        let streams = streams.map(|(kind, rates)| stream(kind as u32, 0, rates.0, rates.1));
        streams.collect::<Vec<Stream>>()
    };
    [
        PriorityCase {
            load: Load {
                name: "three priorities at 150% of capacity",
                vms: 1,
                capacity: 1.0 / 1.5,
                streams: kinds([(10.0, 15.0), (10.0, 15.0), (10.0, 15.0)]),
            },
            policy: Policy::FairShare,
            min_first: 0.9,
        },
        PriorityCase {
            load: Load {
                name: "burst of the first kind 2.5 times",
                vms: 1,
                capacity: 0.6,
                streams: kinds([(10.0, 25.0), (10.0, 10.0), (10.0, 10.0)]),
            },
            policy: Policy::FairShare,
            min_first: 0.75,
        },
        PriorityCase {
            load: Load {
                name: "burst of the last kind 2.5 times",
                vms: 1,
                capacity: 0.6,
                streams: kinds([(10.0, 10.0), (10.0, 10.0), (10.0, 25.0)]),
            },
            policy: Policy::FairShare,
            min_first: 0.9,
        },
        PriorityCase {
            load: Load {
                name: "79 VMs with 0.6 requests a second each",
                vms: 79,
                capacity: 0.67,
                streams: (0..80).map(|t| stream(t as u32 % 2, t, 0.6, 0.6)).collect(),
            },
            policy: Policy::KnownShare,
            min_first: 0.75,
        },
    ]
}

#[test]
fn fair_share_serves_high_priorities_first_and_starves_none() {
    for case in priority_cases() {
        let PriorityCase {
            load,
            policy,
            min_first,
        } = case;
        let [before, after] = [Policy::FirstCome, policy].map(|policy| load.replay(policy));
        let by_priority = |counts: &Counts| {
            [0, 1, 2].map(|priority| served(&load, counts, |s| s.claimant.priority == priority))
        };
        let (before, by) = (by_priority(&before), by_priority(&after));
        eprintln!("{}: before {before:.2?}, after {by:.2?}", load.name);
        assert!(by[0] >= min_first, "{}: {by:.2?}", load.name);
        assert!(by[0] > by[1], "{}: {by:.2?}", load.name);
        check_minimum(&load, &after);
    }
}

/// What one VM has seen before a request of tenant `t0` is shed.
struct SightCase {
    name: &'static str,
    /// Requests of `t0` and of each of 10 others in the last second.
    seen: (usize, usize),
    expected: Cause,
}

#[test]
fn fair_share_judges_tenants_only_by_enough_requests() {
    let cases = [
        SightCase {
            name: "two requests of the tenant, and nothing else",
            seen: (2, 0),
            expected: Cause::Load,
        },
        SightCase {
            name: "two requests of the tenant among one each of others",
            seen: (2, 1),
            expected: Cause::Load,
        },
        SightCase {
            name: "many times as many as the others",
            seen: (60, 2),
            expected: Cause::Tenant,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut demand = FairShare::new(start, 0.5);
        let own = stream(1, 0, 0.0, 0.0).claimant;
        let now = start + Duration::from_secs(1);
        (0..case.seen.0).for_each(|_| demand.record(&own, now));
        for tenant in 1..=10 {
            let other = stream(1, tenant, 0.0, 0.0).claimant;
            (0..case.seen.1).for_each(|_| demand.record(&other, now));
        }
        let decisions = (0..50).map(|_| demand.decide(&own, 0.5, TARGET_LATENCY, now));
        let shed: Vec<_> = decisions
            .filter_map(|decision| match decision {
                Decision::Shed(shed) => Some(shed),
                Decision::Admit => None,
            })
            .collect();
        assert!(!shed.is_empty(), "{}", case.name);
        assert!(
            shed.iter().all(|shed| shed.cause == case.expected),
            "{}: {shed:?}",
            case.name
        );
        let is_long = shed[0].retry_after > TARGET_LATENCY;
        assert_eq!(is_long, case.expected == Cause::Tenant, "{}", case.name);
    }
}

#[test]
fn fair_share_keeps_a_bounded_number_of_tenants() {
    let now = Instant::now();
    let mut demand = FairShare::new(now, 0.0);
    for tenant in 0..2000 {
        demand.record(&stream(1, tenant, 0.0, 0.0).claimant, now);
    }
    assert_eq!(demand.entry_count(), 256);
}

#[test]
fn shortage_begins_with_several_rejections_and_ends_without_new_ones() {
    let now = Instant::now();
    let mut shortage = Shortage::new(now);
    let due = now + TARGET_LATENCY;
    let deadline = now + DEADLINE;
    for _ in 0..100 {
        let at = due;
        shortage.record(Outcome::Ended { at, due, deadline }, now);
    }
    (0..3).for_each(|_| shortage.record(Outcome::Rejected, now));
    assert!(shortage.shed_share(now) == 0.0, "three rejections");
    (0..9).for_each(|_| shortage.record(Outcome::Rejected, now));
    assert!(shortage.shed_share(now) > 0.3);
    assert!(shortage.shed_share(now + Duration::from_secs(20)) == 0.0);
}

#[test]
fn shortage_ends_soon_after_all_leaves_are_back() {
    let mut now = Instant::now();
    let mut shortage = Shortage::new(now);
    (0..100).for_each(|_| shortage.record(Outcome::Rejected, now));
    assert!(shortage.shed_share(now) > 0.6);
    let back_at = now;
    while shortage.shed_share(now) > 0.0 {
        now += Duration::from_millis(100);
        let (due, deadline) = (now + TARGET_LATENCY, now + DEADLINE);
        let outcome = Outcome::Ended {
            at: now,
            due,
            deadline,
        };
        shortage.record(outcome, now);
    }
    let took = now - back_at;
    assert!(took < Duration::from_secs(4), "shed for {took:?} more");
}
