//! Promise: a request that is rejected with the verdict `not-run` did not run.
//!
//! The leaves' execution logs are read after all delayed messages have been handled. They must
//! contain no attempt of a request whose caller received this verdict.

use std::collections::HashSet;
use std::time::Duration;

use geraniummount_test_support::leaf::{Delay, Overload};

use crate::disruption::Disruption;
use crate::load::{Kind, Record, fault_cases, run_with_disruptions, run_with_fault};
use crate::testbed::{Testbed, for_each};

/// Checks that no request reported as not run has run, and returns the number of these requests.
fn check(testbed: &Testbed, records: &[Record], context: &str) -> usize {
    let reported = records.iter().filter(|record| record.is_reported_not_run());
    let not_run: HashSet<&str> = reported.map(|record| record.request_id.as_str()).collect();
    let ran: Vec<_> = testbed
        .executions()
        .into_iter()
        .filter(|entry| not_run.contains(entry.request.as_str()))
        .collect();
    let wrongly_reported: Vec<&Record> = records
        .iter()
        .filter(|record| ran.iter().any(|entry| entry.request == record.request_id))
        .collect();
    assert!(
        ran.is_empty(),
        "{context}: requests reported as not run: {wrongly_reported:?}, their executions: {ran:?}"
    );
    let answered = records.iter().filter(|record| record.answer().is_some());
    assert!(answered.count() > 0, "{context}: no request was answered");
    not_run.len()
}

#[derive(Clone, Debug)]
struct Case {
    disruptions: Vec<Disruption>,
    kind: Kind,
}

fn run(disruptions: impl IntoIterator<Item = Vec<Disruption>>, kinds: &[Kind], seed: u64) {
    let with_each_kind = |disruptions: Vec<Disruption>| {
        let cases = kinds.iter().map(move |&kind| Case {
            disruptions: disruptions.clone(),
            kind,
        });
        cases.collect::<Vec<_>>()
    };
    let cases: Vec<Case> = disruptions.into_iter().flat_map(with_each_kind).collect();
    for_each(&cases, |case| {
        let mut testbed = Testbed::start(seed);
        let records = run_with_disruptions(&mut testbed, &case.disruptions, case.kind);
        let not_run = check(&testbed, &records, &format!("{case:?}"));
        let mut reasons: Vec<_> = records.iter().filter_map(Record::failure).collect();
        reasons.sort_unstable();
        reasons.dedup();
        let sent = records.len();
        println!("{case:?}: {sent} sent, {not_run} reported as not run; {reasons:?}");
    });
}

#[test]
fn promise_not_run_holds_under_kill_freeze_and_cut() {
    let disruptions = Disruption::REQUEST_PATH.map(|disruption| vec![disruption]);
    run(disruptions, &[Kind::Orders, Kind::Queries], 11);
}

#[test]
fn promise_not_run_holds_under_two_disruptions() {
    let disruptions = Disruption::PAIRS.map(|pair| pair.to_vec());
    run(disruptions, &[Kind::Orders], 13);
}

#[test]
fn promise_not_run_holds_when_leaves_are_faulty() {
    let cases = fault_cases(&[Kind::Orders, Kind::Queries]);
    for_each(&cases, |(fault, kind)| {
        let testbed = Testbed::start(14);
        let records = run_with_fault(&testbed, *fault, *kind);
        check(&testbed, &records, &format!("{fault:?} {kind:?}"));
    });
}

/// Under overload, leaves shed requests and owners reject requests that would miss their deadline.
#[test]
fn promise_not_run_holds_under_overload() {
    let kinds = [Kind::Orders, Kind::Queries];
    let cases: Vec<(Overload, Kind)> = [Overload::Queue, Overload::Shed]
        .iter()
        .flat_map(|&overload| kinds.map(|kind| (overload, kind)))
        .collect();
    for_each(&cases, |(overload, kind)| {
        let mut testbed = Testbed::start(12);
        testbed.change_leaves(|behaviour| {
            behaviour.slots = 1;
            behaviour.overload = *overload;
            behaviour.delay = Delay {
                median: Duration::from_millis(300),
                ..Delay::default()
            };
        });
        let records = run_with_disruptions(&mut testbed, &[Disruption::KillOwner], *kind);
        let context = format!("{overload:?} {kind:?}");
        let not_run = check(&testbed, &records, &context);
        assert!(not_run > 0, "{context}: no request was rejected as not run");
    });
}
