//! Tests queries and non-idempotent requests during failures: unresponsive owners and unreachable
//! replicas.

use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniummount::core::answer::Answer;
use geraniummount::core::execution::Execution;
use geraniummount::core::fan_out::{Action, FanOut};
use geraniummount::core::layout::Layout;
use geraniummount::core::retry_budget::RetryBudget;
use geraniummount::core::service::Preference;
use geraniummount::core::traffic::Traffic;
use geraniummount::prelude::*;

use crate::fan_out::{SERVICE, part_result, query, traffic, view};

/// A report of the owner of a leaf. One VM owns all leaves of a failure domain.
fn report_of(leaf: &str) -> Report {
    let owner = if leaf.ends_with("near") {
        "vm"
    } else {
        "vm-far"
    };
    Report {
        owner: owner.to_owned(),
        slots: 2,
        median: Duration::from_millis(4),
        ..Report::default()
    }
}

/// Starts a query and returns it with the parts that it sends first.
fn start_query(view: &View, traffic: &mut Traffic, now: Instant) -> (FanOut, Vec<Part>) {
    let layout = Layout::new(&view.catalog, SERVICE).expect("service is declared");
    let query = query(Preference::Coverage, now);
    let mut fan_out = FanOut::new(query, layout, Arc::new(view.clone()), now);
    let actions = fan_out.start(traffic, now);
    let parts = actions.into_iter().filter_map(|action| match action {
        Action::Send(part) => Some(part),
        _ => None,
    });
    let parts = parts.collect();
    (fan_out, parts)
}

fn is_near(part: &Part) -> bool {
    part.leaf.ends_with("near")
}

/// Passes the correct replies of the selected parts to their query.
fn answer(
    (fan_out, parts): &mut (FanOut, Vec<Part>),
    is_answered: impl Fn(&Part) -> bool,
    traffic: &mut Traffic,
    now: Instant,
) {
    for part in parts.iter().filter(|part| is_answered(part)) {
        let outcome = Outcome {
            attempt: part.attempt,
            result: part_result(9, part),
            report: Some(report_of(&part.leaf)),
        };
        fan_out.on_outcome(outcome, traffic, now);
    }
}

#[test]
fn unresponsive_owner_gets_only_single_probes() {
    struct Case {
        /// Number of near leaves that do not answer.
        unresponsive: usize,
        /// Numbers of near leaves that get a part of the second query, of a query after a pause of
        /// 250 ms, of one while that query's probe is in flight, and of one after the probe was
        /// answered late.
        near_parts: &'static [usize],
    }
    let cases = [
        Case {
            unresponsive: 1,
            near_parts: &[6],
        },
        Case {
            unresponsive: 6,
            near_parts: &[0, 1, 0, 5],
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let view = view(6, Preference::Coverage);
        let mut traffic = traffic(&view, &[1], now);
        for leaf in view.catalog.leaves.iter() {
            let failed = Outcome::failed(1, Failure::not_run(Reason::Shed));
            let report = Some(report_of(&leaf.spec.name));
            let outcome = Outcome { report, ..failed };
            let (ranking, delay) = (&mut traffic.ranking, Duration::from_millis(5));
            ranking.on_outcome(&leaf.spec.name, &outcome, delay, false, now);
        }
        let mut queries: Vec<(FanOut, Vec<Part>)> = Vec::new();
        for wait_ms in [0, 40, 250, 10, 10]
            .into_iter()
            .take(case.near_parts.len() + 1)
        {
            now += Duration::from_millis(wait_ms);
            if queries.len() == 4 {
                answer(&mut queries[2], is_near, &mut traffic, now);
            }
            let mut query = start_query(&view, &mut traffic, now);
            let last_unresponsive = query.1[case.unresponsive - 1].shard.clone();
            now += Duration::from_millis(5);
            let is_answered = |part: &Part| part.shard > last_unresponsive || !is_near(part);
            answer(&mut query, is_answered, &mut traffic, now);
            queries.push(query);
        }
        let count_near =
            |(_, parts): &(FanOut, Vec<Part>)| parts.iter().filter(|p| is_near(p)).count();
        let near_parts: Vec<usize> = queries[1..].iter().map(count_near).collect();
        assert_eq!(
            near_parts, case.near_parts,
            "{} unresponsive",
            case.unresponsive
        );
    }
}

#[test]
fn parts_at_unresponsive_owners_use_the_reserve_of_the_retry_budget() {
    let mut budget = RetryBudget::new(4);
    budget.deposit(500);
    let ordinary = (0..100).filter(|_| budget.withdraw()).count();
    let for_unresponsive = (0..100)
        .filter(|_| budget.withdraw_for_unresponsive())
        .count();
    assert_eq!(
        (ordinary, for_unresponsive),
        (10, 20),
        "the initial balance of 10, and a reserve of 4% of 500"
    );
}

/// A shard whose replicas are unreachable, and the expected end of a request to it.
#[derive(Debug)]
struct UnreachableShard {
    prefer: Preference,
    /// Milliseconds for which the replicas have been unreachable when the request arrives.
    unreachable_ms: u64,
    /// Milliseconds from the request until the replicas are reachable again, if they ever are.
    recovery_ms: Option<u64>,
    /// Milliseconds until the request ends, and the reason of its failure; `None` is success.
    expected_end: (u64, Option<Reason>),
}

const UNREACHABLE_SHARDS: [UnreachableShard; 5] = [
    unreachable_shard(Preference::Coverage, 0, Some(100), (175, None)),
    unreachable_shard(Preference::Coverage, 500, Some(10), (25, None)),
    unreachable_shard(
        Preference::Coverage,
        0,
        None,
        (175, Some(Reason::ConnectFailed)),
    ),
    unreachable_shard(
        Preference::Coverage,
        10_000,
        Some(100),
        (0, Some(Reason::ConnectFailed)),
    ),
    unreachable_shard(
        Preference::Latency,
        0,
        Some(100),
        (0, Some(Reason::ConnectFailed)),
    ),
];

const fn unreachable_shard(
    prefer: Preference,
    unreachable_ms: u64,
    recovery_ms: Option<u64>,
    expected_end: (u64, Option<Reason>),
) -> UnreachableShard {
    UnreachableShard {
        prefer,
        unreachable_ms,
        recovery_ms,
        expected_end,
    }
}

/// Returns a view, its layout and traffic statistics. Unless the replicas of the first shard become
/// unreachable only with the request, the statistics contain their first failure, at `now`.
fn set_up_traffic(case: &UnreachableShard, now: Instant) -> (View, Layout, Traffic) {
    let view = view(2, case.prefer);
    let layout = Layout::new(&view.catalog, SERVICE).expect("service is declared");
    let mut traffic = traffic(&view, &[1], now);
    for leaf in layout.shards[0]
        .replicas
        .iter()
        .filter(|_| case.unreachable_ms > 0)
    {
        let failed = Outcome::failed(1, Failure::not_run(Reason::ConnectFailed));
        let ranking = &mut traffic.ranking;
        ranking.on_outcome(leaf, &failed, Duration::ZERO, false, now);
    }
    (view, layout, traffic)
}

/// Passes outcomes to a state machine until it ends. Parts for the first shard fail until its
/// replicas are reachable again. Returns the milliseconds until the end, and the result.
fn run_to_end(
    case: &UnreachableShard,
    machine: &mut dyn FnMut(Option<Outcome>, Instant) -> (Vec<Action>, Option<Instant>),
    start: Instant,
) -> (u64, Result<Answer, Failure>) {
    let mut now = start;
    let (mut actions, mut wake) = machine(None, now);
    loop {
        let mut parts = Vec::new();
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Send(part) => parts.push(part),
                Action::Cancel { .. } => {}
                Action::Finish(end) => return ((now - start).as_millis() as u64, end),
            }
        }
        for part in parts {
            let recovery = case.recovery_ms.map(Duration::from_millis);
            let is_recovered = recovery.is_some_and(|recovery| now - start >= recovery);
            let outcome = if part.shard == "shard-00" && !is_recovered {
                Outcome::failed(part.attempt, Failure::not_run(Reason::ConnectFailed))
            } else {
                Outcome {
                    result: part_result(9, &part),
                    ..Outcome::failed(part.attempt, Failure::not_run(Reason::Shed))
                }
            };
            let step = machine(Some(outcome), now);
            actions.extend(step.0);
            wake = step.1;
        }
        if actions.is_empty() {
            now = now.max(wake.expect("a request that has not ended has a wake-up time"));
            (actions, wake) = machine(None, now);
        }
    }
}

#[test]
fn recently_unreachable_shard_is_retried_if_coverage_is_preferred() {
    for case in &UNREACHABLE_SHARDS {
        let lost_at = Instant::now();
        let (view, layout, mut traffic) = set_up_traffic(case, lost_at);
        let now = lost_at + Duration::from_millis(case.unreachable_ms);
        let mut fan_out = FanOut::new(query(case.prefer, now), layout, Arc::new(view), now);
        let mut started = false;
        let mut machine = |outcome: Option<Outcome>, now: Instant| {
            let actions = match outcome {
                Some(outcome) => fan_out.on_outcome(outcome, &mut traffic, now),
                None if started => fan_out.tick(&mut traffic, now),
                None => fan_out.start(&mut traffic, now),
            };
            started = true;
            (actions, fan_out.next_wake())
        };
        let (millis, end) = run_to_end(case, &mut machine, now);
        let missing = end
            .expect("the query succeeds because the other shard answers")
            .coverage
            .missing;
        let reason = missing.first().map(|missing| missing.reason);
        assert_eq!((millis, reason), case.expected_end, "{case:?}");
    }
}

#[test]
fn non_idempotent_request_that_did_not_run_is_retried_if_coverage_is_preferred() {
    for case in &UNREACHABLE_SHARDS {
        let lost_at = Instant::now();
        let (view, layout, mut traffic) = set_up_traffic(case, lost_at);
        let now = lost_at + Duration::from_millis(case.unreachable_ms);
        let shard = layout.shards[0].clone();
        let mut execution = Execution::new(query(case.prefer, now), shard, Arc::new(view), now);
        let mut started = false;
        let mut machine = |outcome: Option<Outcome>, now: Instant| {
            let actions = match outcome {
                Some(outcome) => execution.on_outcome(outcome, &mut traffic, now),
                None if started => execution.tick(&mut traffic, now),
                None => execution.start(&mut traffic, now),
            };
            started = true;
            (actions, execution.next_wake())
        };
        let (millis, end) = run_to_end(case, &mut machine, now);
        let failure = end.err();
        assert!(failure.is_none_or(|f| f.verdict == Verdict::NotRun));
        assert_eq!(
            (millis, failure.map(|f| f.reason)),
            case.expected_end,
            "{case:?}"
        );
    }
}
