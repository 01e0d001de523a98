//! One caller's request, step by step: hedges, retries, and when it ends.

use std::time::{Duration, Instant};

use geraniummount::core::call::{Action, Call, End, Plan, Reply, Requirements, Response};
use geraniummount::core::instance::Instance;
use geraniummount::core::placement::{Placement, Start};
use geraniummount::core::route::Repeat;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 3;
const AIM: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(800);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A placement with two leaves for each of the services.
fn placement(services: &[&str], now: Instant) -> Placement {
    started(Start::First, services, now)
}

fn started(start: Start, services: &[&str], now: Instant) -> Placement {
    let mut placement = Placement::new("near", start, SmallRng::seed_from_u64(SEED));
    let mut instances = Vec::new();
    for service in services {
        for name in ["a", "b"] {
            instances.push(Instance {
                id: format!("{service}-{name}"),
                started_at_ms: None,
                service: (*service).to_string(),
                address: "127.0.0.1:1".parse().unwrap(),
                domain: "near".to_string(),
                slots: 2,
                is_leaving: false,
                warm_up_left: Duration::ZERO,
            });
        }
    }
    placement.update(&instances, now);
    placement
}

fn plan(services: &[&str], least: Option<usize>, repeat: Repeat, now: Instant) -> Plan {
    Plan {
        route: "route".to_string(),
        services: services.iter().map(ToString::to_string).collect(),
        gather: least.map(|least| Requirements {
            top_k: 10,
            min_shards: least,
        }),
        repeat,
        max_attempts: 2,
        answer_by: now + AIM,
        end_by: now + DEADLINE,
    }
}

fn sent(actions: &[Action]) -> Vec<u64> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    sends.collect()
}

fn end(actions: &[Action]) -> Option<&End> {
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
fn call_answers_when_due_with_the_shards_that_are_in() {
    let now = Instant::now();
    let services = ["s1", "s2", "s3", "s4"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(3), Repeat::Idempotent, now), now);
    let attempts = sent(&call.start(&mut placement, now));
    assert_eq!(attempts.len(), 4);
    for attempt in &attempts[..3] {
        call.on_sent(*attempt);
        let actions = call.on_reply(*attempt, success(), &mut placement, now + ms(10));
        assert!(end(&actions).is_none(), "there is time for the last shard");
    }
    let actions = call.tick(&mut placement, now + AIM);
    let Some(End::Gathered { parts, missing, .. }) = end(&actions) else {
        panic!("{actions:?}");
    };
    assert_eq!((parts.len(), *missing), (3, 1));
    assert_eq!(call.take_overdue(), Some(1));
}

#[test]
fn call_below_its_least_coverage_waits_past_the_aim_and_then_ends_at_once() {
    let now = Instant::now();
    let services = ["s1", "s2"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(2), Repeat::Idempotent, now), now);
    let attempts = sent(&call.start(&mut placement, now));
    call.on_reply(attempts[0], success(), &mut placement, now + ms(10));
    assert!(end(&call.tick(&mut placement, now + AIM)).is_none());
    let late = now + AIM + ms(50);
    let actions = call.on_reply(attempts[1], success(), &mut placement, late);
    assert!(matches!(
        end(&actions),
        Some(End::Gathered { missing: 0, .. })
    ));
}

#[test]
fn call_that_can_no_longer_reach_its_coverage_ends_before_the_deadline() {
    let now = Instant::now();
    let services = ["s1", "s2"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(2), Repeat::Idempotent, now), now);
    let first = sent(&call.start(&mut placement, now))[0];
    call.on_sent(first);
    let actions = call.on_reply(first, Reply::Lost, &mut placement, now + ms(5));
    let second = sent(&actions)[0];
    call.on_sent(second);
    let actions = call.on_reply(second, Reply::Lost, &mut placement, now + ms(10));
    assert!(matches!(end(&actions), Some(End::Fail)), "{actions:?}");
    let abandoned = actions
        .iter()
        .filter(|action| matches!(action, Action::Abandon { .. }));
    assert_eq!(abandoned.count(), 1, "the other shard's part");
}

#[test]
fn call_hedges_a_part_by_the_usual_time_of_its_own_route() {
    struct Case {
        usual: Duration,
        hedged: bool,
    }
    const CASES: &[Case] = &[
        Case {
            usual: Duration::from_millis(4),
            hedged: true,
        },
        Case {
            usual: Duration::from_millis(30),
            hedged: false,
        },
    ];
    for case in CASES {
        let now = Instant::now();
        let services = ["s1", "s2"];
        let mut placement = placement(&services, now);
        for _ in 0..20 {
            placement.record_latency("route", case.usual);
            placement.record_latency("another", ms(60));
        }
        let mut call = Call::new(plan(&services, Some(1), Repeat::Idempotent, now), now);
        call.start(&mut placement, now);
        let hedges = sent(&call.tick(&mut placement, now + ms(20)));
        assert_eq!(!hedges.is_empty(), case.hedged, "{:?}", case.usual);
    }
}

#[test]
fn call_that_may_run_once_is_sent_again_only_if_it_did_not_run() {
    struct Case {
        reply: fn() -> Reply,
        /// Whether another leaf gets it.
        again: bool,
        /// Whether the caller is told that it has not run.
        refused: bool,
    }
    const CASES: &[Case] = &[
        Case {
            reply: || Reply::Rejected,
            again: true,
            refused: true,
        },
        Case {
            reply: || Reply::Misdirected,
            again: true,
            refused: true,
        },
        Case {
            reply: || Reply::Unreachable,
            again: true,
            refused: true,
        },
        Case {
            reply: || Reply::Lost,
            again: false,
            refused: false,
        },
        Case {
            reply: failure,
            again: false,
            refused: false,
        },
    ];
    for case in CASES {
        let now = Instant::now();
        let mut placement = placement(&["s"], now);
        let mut call = Call::new(plan(&["s"], None, Repeat::AtMostOnce, now), now);
        let first = sent(&call.start(&mut placement, now))[0];
        assert!(
            sent(&call.tick(&mut placement, now + ms(500))).is_empty(),
            "no hedge"
        );
        call.on_sent(first);
        let name = (case.reply)().as_str();
        let mut actions = call.on_reply(first, (case.reply)(), &mut placement, now + ms(1));
        let second = sent(&actions);
        assert_eq!(!second.is_empty(), case.again, "{name}");
        if let Some(&second) = second.first() {
            actions = call.on_reply(second, (case.reply)(), &mut placement, now + ms(2));
        }
        let refused = matches!(end(&actions), Some(End::Refuse { .. }));
        assert_eq!(refused, case.refused, "{name}: {actions:?}");
    }
}

#[test]
fn call_without_enough_leaves_is_refused_at_once() {
    let now = Instant::now();
    let mut placement = placement(&["s1"], now);
    let mut call = Call::new(plan(&["s1", "s2"], Some(2), Repeat::Idempotent, now), now);
    let actions = call.start(&mut placement, now);
    assert!(sent(&actions).is_empty());
    assert!(matches!(end(&actions), Some(End::Refuse { .. })));
}

#[test]
fn call_whose_caller_left_gives_all_parts_up() {
    let now = Instant::now();
    let services = ["s1", "s2", "s3"];
    let mut placement = placement(&services, now);
    let mut call = Call::new(plan(&services, Some(2), Repeat::Idempotent, now), now);
    let attempts = sent(&call.start(&mut placement, now));
    let actions = call.caller_gone(&mut placement, now + ms(5));
    assert_eq!(actions.len(), attempts.len());
    assert!(call.next_wake().is_none());
    assert!(
        call.on_reply(attempts[0], success(), &mut placement, now + ms(6))
            .is_empty()
    );
}

/// Queries that are turned away earn the right to send others once more.
#[test]
fn call_requests_that_are_turned_away_count_in_the_allowance() {
    let start = Instant::now();
    let mut vm = started(Start::Restart, &["s"], start);
    for _ in 0..10 {
        plan(&["s"], Some(1), Repeat::Idempotent, start).record_requests(&mut vm, start);
    }
    let mut call = Call::new(plan(&["s"], Some(1), Repeat::Idempotent, start), start);
    let open = sent(&call.start(&mut vm, start));
    let again = sent(&call.on_reply(open[0], Reply::Rejected, &mut vm, start));
    assert_eq!(again.len(), 1);
}

/// VMs that share an allowance, and what they send.
#[derive(Debug)]
struct Fleet {
    name: &'static str,
    vms: usize,
    /// Time between two requests to the service.
    period: Duration,
    /// Attempts that all may send beyond the share, in any window.
    slack: f64,
    /// Whether half of the VMs start anew in the middle.
    restarts: bool,
}

const FLEETS: &[Fleet] = &[
    Fleet {
        name: "few VMs with many requests each",
        vms: 12,
        period: Duration::from_millis(5),
        slack: 54.0,
        restarts: false,
    },
    Fleet {
        name: "many VMs with few requests each",
        vms: 82,
        period: Duration::from_millis(22),
        slack: 172.0,
        restarts: false,
    },
    Fleet {
        name: "many VMs, half of which start anew",
        vms: 82,
        period: Duration::from_millis(22),
        slack: 172.0,
        restarts: true,
    },
    Fleet {
        name: "some hundred VMs",
        vms: 330,
        period: Duration::from_millis(6),
        slack: 640.0,
        restarts: true,
    },
];

/// Share of a service's requests that may be sent once more.
const EXTRA_SHARE: f64 = 0.2;

/// Span over which extra attempts are counted.
const EXTRA_WINDOW: Duration = Duration::from_secs(10);

/// All VMs together stay within a service's allowance, though each counts its
/// own requests only, also where every first attempt fails.
#[test]
fn call_extra_attempts_of_all_vms_stay_within_the_allowance() {
    for fleet in FLEETS {
        let sent_at = fleet.play();
        for (from, _) in sent_at.iter().step_by(50) {
            let inside = sent_at.iter();
            let inside = inside.filter(|(at, _)| at >= from && *at < *from + EXTRA_WINDOW);
            let all = inside.clone().count();
            let extra = inside.filter(|(_, extra)| *extra).count();
            let allowed = EXTRA_SHARE * (all - extra) as f64 + fleet.slack;
            assert!(
                extra as f64 <= allowed,
                "{}: {extra} of {allowed}",
                fleet.name
            );
        }
        assert!(sent_at.iter().any(|(_, extra)| *extra), "{}", fleet.name);
    }
}

/// A VM that has just started can send a part of its first query once more.
#[test]
fn call_first_request_of_a_vm_may_be_sent_once_more() {
    let start = Instant::now();
    let mut vm = placement(&["s"], start);
    let mut call = Call::new(plan(&["s"], Some(1), Repeat::Idempotent, start), start);
    let open = sent(&call.start(&mut vm, start));
    let again = sent(&call.on_reply(open[0], Reply::Rejected, &mut vm, start));
    assert_eq!(again.len(), 1);
}

impl Fleet {
    /// Plays half a minute with a quiet spell in the middle; returns when each
    /// attempt was sent, and whether it was an extra one.
    fn play(&self) -> Vec<(Instant, bool)> {
        const SPAN: Duration = Duration::from_secs(30);
        let start = Instant::now();
        let mut vms: Vec<Placement> = (0..self.vms).map(|_| placement(&["s"], start)).collect();
        let mut sent_at: Vec<(Instant, bool)> = Vec::new();
        let steps = SPAN.as_millis() / self.period.as_millis();
        for step in 0..u32::try_from(steps).unwrap() {
            let is_later = u128::from(step) >= steps / 2;
            // A quiet spell saves up nothing beyond the burst.
            let quiet = ms(if is_later { 20_000 } else { 0 });
            let now = start + self.period * step + quiet;
            if self.restarts && u128::from(step) == steps * 3 / 4 {
                vms.iter_mut()
                    .step_by(2)
                    .for_each(|vm| *vm = started(Start::Restart, &["s"], now));
            }
            let vm = &mut vms[step as usize % self.vms];
            let mut call = Call::new(plan(&["s"], Some(1), Repeat::Idempotent, now), now);
            let mut open = sent(&call.start(vm, now));
            sent_at.extend(open.iter().map(|_| (now, false)));
            while let Some(attempt) = open.pop() {
                let again = sent(&call.on_reply(attempt, Reply::Rejected, vm, now));
                sent_at.extend(again.iter().map(|_| (now, true)));
                open.extend(again);
            }
        }
        sent_at
    }
}

/// An answer that lacks too much goes out late, but what is overdue is told
/// when it is due, so that others can be turned away at once.
#[test]
fn call_tells_what_is_overdue_when_the_answer_is_due() {
    let start = Instant::now();
    let mut placement = placement(&["s", "t"], start);
    let plan = plan(&["s", "t"], Some(2), Repeat::Idempotent, start);
    let mut call = Call::new(plan, start);
    let open = sent(&call.start(&mut placement, start));
    call.on_reply(open[0], success(), &mut placement, start + ms(20));
    assert_eq!(call.take_overdue(), None);
    let actions = call.tick(&mut placement, start + AIM);
    assert!(end(&actions).is_none(), "too little is in");
    assert_eq!(call.take_overdue(), Some(1));
    assert_eq!(call.take_overdue(), None, "it is told once");
}
