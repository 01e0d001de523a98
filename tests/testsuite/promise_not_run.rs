//! Promise: when a refusal says that a request was not run, it was not.
//!
//! The leaves' execution logs, read back after everything that was held back
//! has arrived, hold no attempt of a request that a caller was told was not
//! run.

use std::collections::HashSet;
use std::time::Duration;

use geraniummount_test_support::leaf::{Delay, Overload};

use crate::load::{Kind, Record, run_through};
use crate::scene::{Scene, Trouble, for_each};

/// Checks the refusals of a run; returns their number.
fn check(scene: &Scene, records: &[Record], context: &str) -> usize {
    let refused = records.iter().filter(|record| record.was_told_not_run());
    let refused: HashSet<&str> = refused.map(|record| record.request.as_str()).collect();
    let ran: Vec<_> = scene
        .executions()
        .into_iter()
        .filter(|entry| refused.contains(entry.request.as_str()))
        .collect();
    let told: Vec<&Record> = records
        .iter()
        .filter(|record| ran.iter().any(|entry| entry.request == record.request))
        .collect();
    assert!(
        ran.is_empty(),
        "{context}: told not-run: {told:?}, ran: {ran:?}"
    );
    let answered = records.iter().filter(|record| record.answer().is_some());
    assert!(answered.count() > 0, "{context}: nothing was answered");
    refused.len()
}

#[derive(Clone, Copy, Debug)]
struct Case {
    trouble: Trouble,
    kind: Kind,
}

#[test]
fn promise_not_run_holds_under_kill_freeze_and_cut() {
    let kinds = [Kind::Orders, Kind::Queries];
    let cases: Vec<Case> = Trouble::PATH
        .iter()
        .flat_map(|&trouble| kinds.map(|kind| Case { trouble, kind }))
        .collect();
    for_each(&cases, |case| {
        let mut scene = Scene::start(11);
        let records = run_through(&mut scene, case.trouble, case.kind);
        let refused = check(&scene, &records, &format!("{case:?}"));
        let mut reasons: Vec<_> = records.iter().filter_map(Record::failure).collect();
        reasons.sort_unstable();
        reasons.dedup();
        let sent = records.len();
        println!("{case:?}: {sent} sent, {refused} refused as not run; {reasons:?}");
    });
}

/// Leaves that can't keep up shed, and owners refuse what would come too late.
#[test]
fn promise_not_run_holds_under_overload() {
    let cases = [Overload::Queue, Overload::Shed];
    for_each(&cases, |overload| {
        let mut scene = Scene::start(12);
        scene.change_leaves(|behaviour| {
            behaviour.slots = 1;
            behaviour.overload = *overload;
            behaviour.delay = Delay {
                median: Duration::from_millis(300),
                ..Delay::default()
            };
        });
        let records = run_through(&mut scene, Trouble::KillOwner, Kind::Orders);
        let refused = check(&scene, &records, &format!("{overload:?}"));
        assert!(refused > 0, "{overload:?}: nothing was refused as not run");
    });
}
