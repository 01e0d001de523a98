//! Queries and orders after a loss: silent owners, and replicas that nothing
//! can be sent to.

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

use crate::fan_out::{SERVICE, query, result, traffic, view};

/// A report by the owner of a leaf: one VM owns those of a failure domain.
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

/// Returns the parts that a new query sends first, by leaf.
fn first_parts(view: &View, traffic: &mut Traffic, now: Instant) -> (FanOut, Vec<Part>) {
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

/// Hands in the answers to some parts of a query.
fn answer(
    (fan_out, parts): &mut (FanOut, Vec<Part>),
    is_answered: impl Fn(&Part) -> bool,
    traffic: &mut Traffic,
    now: Instant,
) {
    for part in parts.iter().filter(|part| is_answered(part)) {
        let outcome = Outcome {
            attempt: part.attempt,
            result: result(9, part),
            report: Some(report_of(&part.leaf)),
        };
        fan_out.on_outcome(outcome, traffic, now);
    }
}

#[test]
fn silent_owner_is_left_for_others_but_for_single_probes() {
    struct Case {
        /// Near leaves that do not answer the first query.
        silent: usize,
        /// Near leaves asked by the next query, by one after the pause, by one
        /// beside that probe, and by one after the probe was answered late.
        asked: &'static [usize],
    }
    let cases = [
        Case {
            silent: 1,
            asked: &[6],
        },
        Case {
            silent: 6,
            asked: &[0, 1, 0, 5],
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
        for pass in [0, 40, 250, 10, 10].into_iter().take(case.asked.len() + 1) {
            now += Duration::from_millis(pass);
            if queries.len() == 4 {
                answer(&mut queries[2], is_near, &mut traffic, now);
            }
            let mut query = first_parts(&view, &mut traffic, now);
            let silent = query.1[case.silent - 1].shard.clone();
            now += Duration::from_millis(5);
            let answers = |part: &Part| part.shard > silent || !is_near(part);
            answer(&mut query, answers, &mut traffic, now);
            queries.push(query);
        }
        let near = |(_, parts): &(FanOut, Vec<Part>)| parts.iter().filter(|p| is_near(p)).count();
        let asked: Vec<usize> = queries[1..].iter().map(near).collect();
        assert_eq!(asked, case.asked, "{} silent", case.silent);
    }
}

#[test]
fn parts_at_lost_owners_get_what_the_budget_kept_within_the_same_share() {
    let mut budget = RetryBudget::new(4);
    budget.deposit(500);
    let ordinary = (0..100).filter(|_| budget.withdraw()).count();
    let lost = (0..100)
        .filter(|_| budget.withdraw_for_unresponsive())
        .count();
    assert_eq!((ordinary, lost), (10, 20), "10 at first and 4% of 500");
}

/// Which loss a shard has whose replicas can't be reached, and what is told.
#[derive(Debug)]
struct Unreached {
    prefer: Preference,
    /// Time for which they have been gone when the query comes.
    gone: u64,
    /// Time after which they are back, if they are.
    back: Option<u64>,
    /// When and with which reason the request ends; `None` is success.
    end: (u64, Option<Reason>),
}

const UNREACHED: [Unreached; 5] = [
    unreached(Preference::Coverage, 0, Some(100), (175, None)),
    unreached(Preference::Coverage, 500, Some(10), (25, None)),
    unreached(
        Preference::Coverage,
        0,
        None,
        (175, Some(Reason::ConnectFailed)),
    ),
    unreached(
        Preference::Coverage,
        10_000,
        Some(100),
        (0, Some(Reason::ConnectFailed)),
    ),
    unreached(
        Preference::Latency,
        0,
        Some(100),
        (0, Some(Reason::ConnectFailed)),
    ),
];

const fn unreached(
    prefer: Preference,
    gone: u64,
    back: Option<u64>,
    end: (u64, Option<Reason>),
) -> Unreached {
    Unreached {
        prefer,
        gone,
        back,
        end,
    }
}

/// A view and knowledge in which nothing has reached the replicas of the
/// first shard for a while.
fn begin_unreached(case: &Unreached, now: Instant) -> (View, Layout, Traffic) {
    let view = view(2, case.prefer);
    let layout = Layout::new(&view.catalog, SERVICE).expect("service is declared");
    let mut traffic = traffic(&view, &[1], now);
    for leaf in layout.shards[0].replicas.iter().filter(|_| case.gone > 0) {
        let failed = Outcome::failed(1, Failure::not_run(Reason::ConnectFailed));
        let ranking = &mut traffic.ranking;
        ranking.on_outcome(leaf, &failed, Duration::ZERO, false, now);
    }
    (view, layout, traffic)
}

/// Hands in the outcomes of parts, those for the first shard failed until
/// its replicas are back; returns the end.
fn drive(
    case: &Unreached,
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
            let back = case.back.map(Duration::from_millis);
            let is_back = back.is_some_and(|back| now - start >= back);
            let outcome = if part.shard == "shard-00" && !is_back {
                Outcome::failed(part.attempt, Failure::not_run(Reason::ConnectFailed))
            } else {
                Outcome {
                    result: result(9, &part),
                    ..Outcome::failed(part.attempt, Failure::not_run(Reason::Shed))
                }
            };
            let step = machine(Some(outcome), now);
            actions.extend(step.0);
            wake = step.1;
        }
        if actions.is_empty() {
            now = now.max(wake.expect("it has not ended"));
            (actions, wake) = machine(None, now);
        }
    }
}

#[test]
fn shard_that_was_lost_a_moment_ago_is_tried_again_under_coverage() {
    for case in &UNREACHED {
        let lost = Instant::now();
        let (view, layout, mut traffic) = begin_unreached(case, lost);
        let now = lost + Duration::from_millis(case.gone);
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
        let (millis, end) = drive(case, &mut machine, now);
        let missing = end.expect("the other shard answers").coverage.missing;
        let reason = missing.first().map(|missing| missing.reason);
        assert_eq!((millis, reason), case.end, "{case:?}");
    }
}

#[test]
fn non_idempotent_request_that_did_not_run_is_sent_again_under_coverage() {
    for case in &UNREACHED {
        let lost = Instant::now();
        let (view, layout, mut traffic) = begin_unreached(case, lost);
        let now = lost + Duration::from_millis(case.gone);
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
        let (millis, end) = drive(case, &mut machine, now);
        let failure = end.err();
        assert!(failure.is_none_or(|f| f.verdict == Verdict::NotRun));
        assert_eq!((millis, failure.map(|f| f.reason)), case.end, "{case:?}");
    }
}
