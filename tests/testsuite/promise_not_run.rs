//! Promise: when a refusal says that a request was not run, it was not.
//!
//! The leaves' execution logs, read back after everything that was held back
//! has arrived, hold no attempt of a request that a caller was told was not
//! run.

use std::collections::HashSet;
use std::time::Duration;

use geraniummount_test_support::leaf::{Delay, Overload};

use crate::disruption::Disruption;
use crate::load::{Kind, Record, fault_cases, run_with_disruptions, run_with_fault};
use crate::testbed::{Testbed, for_each};

/// Checks the refusals of a run; returns their number.
fn check(testbed: &Testbed, records: &[Record], context: &str) -> usize {
    let refused = records.iter().filter(|record| record.is_reported_not_run());
    let refused: HashSet<&str> = refused.map(|record| record.request_id.as_str()).collect();
    let ran: Vec<_> = testbed
        .executions()
        .into_iter()
        .filter(|entry| refused.contains(entry.request.as_str()))
        .collect();
    let told: Vec<&Record> = records
        .iter()
        .filter(|record| ran.iter().any(|entry| entry.request == record.request_id))
        .collect();
    assert!(
        ran.is_empty(),
        "{context}: told not-run: {told:?}, ran: {ran:?}"
    );
    let answered = records.iter().filter(|record| record.answer().is_some());
    assert!(answered.count() > 0, "{context}: nothing was answered");
    refused.len()
}

#[derive(Clone, Debug)]
struct Case {
    disruptions: Vec<Disruption>,
    kind: Kind,
}

fn run(disruptions: impl IntoIterator<Item = Vec<Disruption>>, kinds: &[Kind], seed: u64) {
    let of_kinds = |disruptions: Vec<Disruption>| {
        let cases = kinds.iter().map(move |&kind| Case {
            disruptions: disruptions.clone(),
            kind,
        });
        cases.collect::<Vec<_>>()
    };
    let cases: Vec<Case> = disruptions.into_iter().flat_map(of_kinds).collect();
    for_each(&cases, |case| {
        let mut testbed = Testbed::start(seed);
        let records = run_with_disruptions(&mut testbed, &case.disruptions, case.kind);
        let refused = check(&testbed, &records, &format!("{case:?}"));
        let mut reasons: Vec<_> = records.iter().filter_map(Record::failure).collect();
        reasons.sort_unstable();
        reasons.dedup();
        let sent = records.len();
        println!("{case:?}: {sent} sent, {refused} refused as not run; {reasons:?}");
    });
}

#[test]
fn promise_not_run_holds_under_kill_freeze_and_cut() {
    let disruptions = Disruption::REQUEST_PATH.map(|disruption| vec![disruption]);
    run(disruptions, &[Kind::Orders, Kind::Queries], 11);
}

#[test]
fn promise_not_run_holds_under_two_troubles() {
    let disruptions = Disruption::PAIRS.map(|pair| pair.to_vec());
    run(disruptions, &[Kind::Orders], 13);
}

#[test]
fn promise_not_run_holds_when_leaves_misbehave() {
    let cases = fault_cases(&[Kind::Orders, Kind::Queries]);
    for_each(&cases, |(fault, kind)| {
        let testbed = Testbed::start(14);
        let records = run_with_fault(&testbed, *fault, *kind);
        check(&testbed, &records, &format!("{fault:?} {kind:?}"));
    });
}

/// Leaves that can't keep up shed, and owners refuse what would come too late.
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
        let refused = check(&testbed, &records, &context);
        assert!(refused > 0, "{context}: nothing was refused as not run");
    });
}
