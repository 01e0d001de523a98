//! Tests the state machine of one caller's request: hedges, retries and the end of the request.

use std::time::{Duration, Instant};

use geraniummount::core::call::{Action, Call, End, Plan, Reply, Requirements, Response};
use geraniummount::core::placement::{Placement, Start};
use geraniummount::core::route::Repeat;
use geraniummount::core::scope::Scope;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::instances;

const SEED: u64 = 3;
const TARGET_LATENCY: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_millis(800);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A placement of a VM that starts for the first time, with two leaves for each of the services.
fn placement(services: &[&str], now: Instant) -> Placement {
    placement_with_start(Start::First, services, now)
}

/// A placement of a VM that starts as given, with two leaves for each of the services.
fn placement_with_start(start: Start, services: &[&str], now: Instant) -> Placement {
    let mut placement = Placement::new("near", start, SmallRng::seed_from_u64(SEED));
    let mut leaves = Vec::new();
    for service in services {
        for name in ["a", "b"] {
            let id = format!("{service}-{name}");
            leaves.push(instances::instance(service, &id, "near"));
        }
    }
    placement.update(&leaves, now);
    placement
}

/// A plan that gathers parts from the services if `min_shards` is set.
fn plan(services: &[&str], min_shards: Option<usize>, repeat: Repeat, now: Instant) -> Plan {
    Plan {
        route: "route".to_string(),
        services: services.iter().map(ToString::to_string).collect(),
        gather: min_shards.map(|shards| Requirements {
            top_k: 10,
            min_shards: shards,
        }),
        repeat,
        max_attempts: 2,
        answer_by: now + TARGET_LATENCY,
        end_by: now + TIMEOUT,
        min_attempt_time: Duration::from_millis(10),
        is_counted: false,
        scope: Scope::ANY,
    }
}

/// Returns the attempts that the actions send.
pub fn sent_attempts(actions: &[Action]) -> Vec<u64> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    sends.collect()
}

/// Returns the end of the request, if the actions contain it.
pub fn find_end(actions: &[Action]) -> Option<&End> {
    actions.iter().find_map(|action| match action {
        Action::Finish(end) => Some(end),
        _ => None,
    })
}

fn success() -> Reply {
    Reply::Success(Response {
        status: 200,
        signature: "s".to_string(),
        ..Response::default()
    })
}

fn failure() -> Reply {
    Reply::Failure(Response {
        status: 500,
        signature: "s".to_string(),
        ..Response::default()
    })
}

#[test]
fn call_answers_when_due_with_the_included_shards() {
    let now = Instant::now();
    let services = ["s1", "s2", "s3", "s4"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(3), Repeat::Idempotent, now), now);
    let attempts = sent_attempts(&call.start(&mut placement, now));
    assert_eq!(attempts.len(), 4);
    for attempt in &attempts[..3] {
        call.on_sent(*attempt);
        let actions = call.on_reply(*attempt, success(), &mut placement, now + ms(10));
        assert!(
            find_end(&actions).is_none(),
            "there is time for the last shard"
        );
    }
    let actions = call.tick(&mut placement, now + TARGET_LATENCY);
    let Some(End::Gathered { parts, missing, .. }) = find_end(&actions) else {
        panic!("{actions:?}");
    };
    assert_eq!((parts.len(), *missing), (3, 1));
    assert_eq!(call.take_overdue(), Some(1));
}

#[test]
fn call_below_its_minimum_coverage_exceeds_the_target_latency_and_then_ends_at_once() {
    let now = Instant::now();
    let services = ["s1", "s2"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(2), Repeat::Idempotent, now), now);
    let attempts = sent_attempts(&call.start(&mut placement, now));
    call.on_reply(attempts[0], success(), &mut placement, now + ms(10));
    assert!(find_end(&call.tick(&mut placement, now + TARGET_LATENCY)).is_none());
    let late = now + TARGET_LATENCY + ms(50);
    let actions = call.on_reply(attempts[1], success(), &mut placement, late);
    assert!(matches!(
        find_end(&actions),
        Some(End::Gathered { missing: 0, .. })
    ));
}

#[test]
fn call_that_can_no_longer_reach_its_minimum_coverage_ends_before_the_deadline() {
    let now = Instant::now();
    let services = ["s1", "s2"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(2), Repeat::Idempotent, now), now);
    let first = sent_attempts(&call.start(&mut placement, now))[0];
    call.on_sent(first);
    let actions = call.on_reply(first, Reply::Lost, &mut placement, now + ms(5));
    let second = sent_attempts(&actions)[0];
    call.on_sent(second);
    let actions = call.on_reply(second, Reply::Lost, &mut placement, now + ms(10));
    assert!(matches!(find_end(&actions), Some(End::Fail)), "{actions:?}");
    let abandons = actions
        .iter()
        .filter(|action| matches!(action, Action::Abandon { .. }));
    assert_eq!(
        abandons.count(),
        1,
        "the part of the other shard is abandoned"
    );
}

#[test]
fn call_hedges_a_part_by_the_typical_latency_of_its_own_route() {
    struct Case {
        typical_latency: Duration,
        is_hedged: bool,
    }
    const CASES: &[Case] = &[
        Case {
            typical_latency: Duration::from_millis(4),
            is_hedged: true,
        },
        Case {
            typical_latency: Duration::from_millis(30),
            is_hedged: false,
        },
    ];
    for case in CASES {
        let now = Instant::now();
        let services = ["s1", "s2"];
        let mut placement = placement(&services, now);
        for _ in 0..20 {
            placement.record_latency("route", case.typical_latency);
            placement.record_latency("another", ms(60));
        }
        let mut call = Call::new(plan(&services, Some(1), Repeat::Idempotent, now), now);
        call.start(&mut placement, now);
        let hedges = sent_attempts(&call.tick(&mut placement, now + ms(20)));
        assert_eq!(
            !hedges.is_empty(),
            case.is_hedged,
            "{:?}",
            case.typical_latency
        );
    }
}

/// A query over many shards on a VM whose connections are cold, and the parts that it hedges.
#[derive(Debug)]
struct ColdQuery {
    name: &'static str,
    /// Typical latency of earlier requests of the route; `None` if there was none.
    typical_latency: Option<Duration>,
    /// Time after which the first part is answered; the others follow at equal intervals.
    first_answer: Duration,
    answer_interval: Duration,
    /// Number of parts that are not answered, because their leaves pause.
    paused: usize,
    /// Number of parts that are hedged while half of the time is left.
    hedged: usize,
}

const COLD_QUERIES: &[ColdQuery] = &[
    ColdQuery {
        name: "the first query of a VM; all parts take long",
        typical_latency: None,
        first_answer: Duration::from_millis(25),
        answer_interval: Duration::from_micros(500),
        paused: 0,
        hedged: 0,
    },
    ColdQuery {
        name: "the first query of a VM; some leaves pause",
        typical_latency: None,
        first_answer: Duration::from_millis(15),
        answer_interval: Duration::from_micros(300),
        paused: 3,
        hedged: 3,
    },
    ColdQuery {
        name: "earlier queries were slow; some leaves pause",
        typical_latency: Some(Duration::from_millis(60)),
        first_answer: Duration::from_millis(15),
        answer_interval: Duration::from_micros(300),
        paused: 3,
        hedged: 3,
    },
    ColdQuery {
        name: "the VM is slow; answers arrive one after the other",
        typical_latency: Some(Duration::from_millis(20)),
        first_answer: Duration::from_millis(20),
        answer_interval: Duration::from_millis(1),
        paused: 0,
        hedged: 0,
    },
    ColdQuery {
        name: "the leaves of half of the shards do not answer",
        typical_latency: Some(Duration::from_millis(20)),
        first_answer: Duration::from_millis(15),
        answer_interval: Duration::from_micros(300),
        paused: 20,
        hedged: 20,
    },
    ColdQuery {
        name: "earlier queries were quick; all parts take long",
        typical_latency: Some(Duration::from_millis(4)),
        first_answer: Duration::from_millis(25),
        answer_interval: Duration::from_micros(500),
        paused: 0,
        hedged: 0,
    },
];

#[test]
fn call_hedges_the_late_parts_of_a_query_over_many_shards() {
    const SHARDS: usize = 40;
    for case in COLD_QUERIES {
        let start = Instant::now();
        let names: Vec<String> = (0..SHARDS).map(|number| format!("s{number}")).collect();
        let services: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut vm = placement(&services, start);
        for _ in 0..20 {
            if let Some(typical) = case.typical_latency {
                vm.record_latency("route", typical);
            }
        }
        let mut plan = plan(&services, Some(SHARDS - 5), Repeat::Idempotent, start);
        plan.answer_by = start + ms(100);
        plan.end_by = start + ms(500);
        let mut call = Call::new(plan, start);
        let attempts = sent_attempts(&call.start(&mut vm, start));
        let mut hedges = 0;
        for step in 0..600 {
            let now = start + Duration::from_micros(100) * step;
            for (number, attempt) in attempts[..SHARDS - case.paused].iter().enumerate() {
                let due = case.first_answer + case.answer_interval * u32::try_from(number).unwrap();
                if now - start == due {
                    hedges +=
                        sent_attempts(&call.on_reply(*attempt, success(), &mut vm, now)).len();
                }
            }
            hedges += sent_attempts(&call.tick(&mut vm, now)).len();
        }
        assert_eq!(hedges, case.hedged, "{}", case.name);
    }
}

#[test]
fn call_that_may_run_only_once_is_retried_only_if_it_did_not_run() {
    struct Case {
        reply: fn() -> Reply,
        /// Whether the request is sent to another leaf.
        is_retried: bool,
        /// Whether the answer to the caller says that the request has not run.
        is_refused: bool,
    }
    const CASES: &[Case] = &[
        Case {
            reply: || Reply::Rejected,
            is_retried: true,
            is_refused: true,
        },
        Case {
            reply: || Reply::Misdirected,
            is_retried: true,
            is_refused: true,
        },
        Case {
            reply: || Reply::Unreachable,
            is_retried: true,
            is_refused: true,
        },
        Case {
            reply: || Reply::Lost,
            is_retried: false,
            is_refused: false,
        },
        Case {
            reply: failure,
            is_retried: false,
            is_refused: false,
        },
    ];
    for case in CASES {
        let now = Instant::now();
        let mut placement = placement(&["s"], now);
        let mut call = Call::new(plan(&["s"], None, Repeat::AtMostOnce, now), now);
        let first = sent_attempts(&call.start(&mut placement, now))[0];
        assert!(
            sent_attempts(&call.tick(&mut placement, now + ms(500))).is_empty(),
            "a request that may run only once is not hedged"
        );
        call.on_sent(first);
        let name = (case.reply)().as_str();
        let mut actions = call.on_reply(first, (case.reply)(), &mut placement, now + ms(1));
        let second = sent_attempts(&actions);
        assert_eq!(!second.is_empty(), case.is_retried, "{name}");
        if let Some(&second) = second.first() {
            actions = call.on_reply(second, (case.reply)(), &mut placement, now + ms(2));
        }
        let is_refused = matches!(find_end(&actions), Some(End::Refuse { .. }));
        assert_eq!(is_refused, case.is_refused, "{name}: {actions:?}");
    }
}

#[test]
fn call_without_enough_leaves_is_refused_at_once() {
    let now = Instant::now();
    let mut placement = placement(&["s1"], now);
    let mut call = Call::new(plan(&["s1", "s2"], Some(2), Repeat::Idempotent, now), now);
    let actions = call.start(&mut placement, now);
    assert!(sent_attempts(&actions).is_empty());
    assert!(matches!(find_end(&actions), Some(End::Refuse { .. })));
}

#[test]
fn call_whose_caller_disconnected_abandons_all_parts() {
    let now = Instant::now();
    let services = ["s1", "s2", "s3"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(2), Repeat::Idempotent, now), now);
    let attempts = sent_attempts(&call.start(&mut placement, now));
    let actions = call.caller_gone(&mut placement, now + ms(5));
    assert_eq!(actions.len(), attempts.len());
    assert!(call.next_wake().is_none());
    assert!(
        call.on_reply(attempts[0], success(), &mut placement, now + ms(6))
            .is_empty()
    );
}

/// A query whose attempts are rejected still adds to the retry allowance. After a restart a VM may
/// send less than one extra attempt until it has recorded requests.
#[test]
fn call_rejected_requests_count_towards_the_retry_allowance() {
    let start = Instant::now();
    let mut vm = placement_with_start(Start::Restart, &["s"], start);
    for _ in 0..10 {
        plan(&["s"], Some(1), Repeat::Idempotent, start).record_requests(&mut vm, start);
    }
    let mut call = Call::new(plan(&["s"], Some(1), Repeat::Idempotent, start), start);
    let attempts = sent_attempts(&call.start(&mut vm, start));
    let retries = sent_attempts(&call.on_reply(attempts[0], Reply::Rejected, &mut vm, start));
    assert_eq!(retries.len(), 1);
}

/// VMs that share the retry allowance of one service, and the load that they send.
#[derive(Debug)]
struct Fleet {
    name: &'static str,
    vms: usize,
    /// Interval between two requests of all VMs to the service.
    request_interval: Duration,
    /// Maximum number of extra attempts that all VMs together may send beyond `MAX_EXTRA_RATIO` in
    /// any window.
    max_burst: f64,
    /// Whether half of the VMs restart after three quarters of the time.
    has_restarts: bool,
}

const FLEETS: &[Fleet] = &[
    Fleet {
        name: "few VMs with many requests each",
        vms: 12,
        request_interval: Duration::from_millis(5),
        max_burst: 54.0,
        has_restarts: false,
    },
    Fleet {
        name: "many VMs with few requests each",
        vms: 82,
        request_interval: Duration::from_millis(22),
        max_burst: 172.0,
        has_restarts: false,
    },
    Fleet {
        name: "many VMs, half of which restart",
        vms: 82,
        request_interval: Duration::from_millis(22),
        max_burst: 172.0,
        has_restarts: true,
    },
    Fleet {
        name: "several hundred VMs",
        vms: 330,
        request_interval: Duration::from_millis(6),
        max_burst: 640.0,
        has_restarts: true,
    },
];

/// Maximum ratio of extra attempts to first attempts at a service.
const MAX_EXTRA_RATIO: f64 = 0.2;

/// Length of the windows in which extra attempts are counted.
const EXTRA_WINDOW: Duration = Duration::from_secs(10);

/// All VMs together stay within the retry allowance of a service although each VM counts only its
/// own requests, even if every attempt is rejected.
#[test]
fn call_extra_attempts_of_all_vms_stay_within_the_retry_allowance() {
    for fleet in FLEETS {
        let sends = fleet.simulate();
        for (from, _) in sends.iter().step_by(50) {
            let in_window = sends.iter();
            let in_window = in_window.filter(|(at, _)| at >= from && *at < *from + EXTRA_WINDOW);
            let all = in_window.clone().count();
            let extra = in_window.filter(|(_, extra)| *extra).count();
            let max_extra = MAX_EXTRA_RATIO * (all - extra) as f64 + fleet.max_burst;
            assert!(
                extra as f64 <= max_extra,
                "{}: {extra} extra attempts, at most {max_extra} allowed",
                fleet.name
            );
        }
        assert!(sends.iter().any(|(_, extra)| *extra), "{}", fleet.name);
    }
}

/// A VM that has just started for the first time can retry a part of its first query.
#[test]
fn call_first_request_of_a_vm_may_be_retried() {
    let start = Instant::now();
    let mut vm = placement(&["s"], start);
    let mut call = Call::new(plan(&["s"], Some(1), Repeat::Idempotent, start), start);
    let attempts = sent_attempts(&call.start(&mut vm, start));
    let retries = sent_attempts(&call.on_reply(attempts[0], Reply::Rejected, &mut vm, start));
    assert_eq!(retries.len(), 1);
}

impl Fleet {
    /// Simulates 30 seconds of requests whose attempts are all rejected, with an idle period of 20
    /// seconds in the middle. Returns when each attempt was sent and whether it was an extra one.
    fn simulate(&self) -> Vec<(Instant, bool)> {
        const DURATION: Duration = Duration::from_secs(30);
        let start = Instant::now();
        let mut vms: Vec<Placement> = (0..self.vms).map(|_| placement(&["s"], start)).collect();
        let mut sends: Vec<(Instant, bool)> = Vec::new();
        let steps = DURATION.as_millis() / self.request_interval.as_millis();
        for step in 0..u32::try_from(steps).unwrap() {
            let is_second_half = u128::from(step) >= steps / 2;
            // A VM must not save up extra attempts beyond its burst during the idle period.
            let idle_time = ms(if is_second_half { 20_000 } else { 0 });
            let now = start + self.request_interval * step + idle_time;
            if self.has_restarts && u128::from(step) == steps * 3 / 4 {
                vms.iter_mut()
                    .step_by(2)
                    .for_each(|vm| *vm = placement_with_start(Start::Restart, &["s"], now));
            }
            let vm = &mut vms[step as usize % self.vms];
            let mut call = Call::new(plan(&["s"], Some(1), Repeat::Idempotent, now), now);
            let mut attempts = sent_attempts(&call.start(vm, now));
            sends.extend(attempts.iter().map(|_| (now, false)));
            while let Some(attempt) = attempts.pop() {
                let retries = sent_attempts(&call.on_reply(attempt, Reply::Rejected, vm, now));
                sends.extend(retries.iter().map(|_| (now, true)));
                attempts.extend(retries);
            }
        }
        sends
    }
}

/// An answer that lacks too many shards is delayed beyond the target latency. Its overdue parts are
/// reported once the target latency has passed, because the load shedder must react at once.
#[test]
fn call_reports_overdue_parts_when_the_answer_is_due() {
    let start = Instant::now();
    let mut placement = placement(&["s", "t"], start);
    let plan = plan(&["s", "t"], Some(2), Repeat::Idempotent, start);
    let mut call = Call::new(plan, start);
    let attempts = sent_attempts(&call.start(&mut placement, start));
    call.on_reply(attempts[0], success(), &mut placement, start + ms(20));
    assert_eq!(call.take_overdue(), None);
    let actions = call.tick(&mut placement, start + TARGET_LATENCY);
    assert!(find_end(&actions).is_none(), "too few shards are included");
    assert_eq!(call.take_overdue(), Some(1));
    assert_eq!(
        call.take_overdue(),
        None,
        "the overdue parts are reported once"
    );
}

/// A search that has ended a leaf before must not end one of each shard.
#[test]
fn call_with_an_earlier_crash_is_sent_to_one_leaf_until_it_is_answered() {
    let now = Instant::now();
    let services = ["s1", "s2", "s3", "s4"];
    for reply in [success(), Reply::Disconnected] {
        let is_answered = matches!(reply, Reply::Success(_));
        let mut placement = placement(&services, now);
        let plan = plan(&services, Some(3), Repeat::Idempotent, now);
        let mut call = Call::new(plan, now).with_earlier_crashes(1);
        let attempts = sent_attempts(&call.start(&mut placement, now));
        assert_eq!(attempts.len(), 1);
        call.on_sent(attempts[0]);
        assert!(sent_attempts(&call.tick(&mut placement, now + ms(40))).is_empty());
        let mut actions = call.on_reply(attempts[0], reply, &mut placement, now + ms(50));
        actions.extend(call.tick(&mut placement, now + ms(60)));
        let sent = if is_answered { 3 } else { 0 };
        assert_eq!(sent_attempts(&actions).len(), sent);
        assert_eq!(find_end(&actions).is_some(), !is_answered);
    }
}
