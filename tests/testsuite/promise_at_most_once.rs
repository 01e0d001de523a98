//! Promise: a request marked as non-idempotent runs at most once.
//!
//! Counted in the leaves' execution logs. Requests with a caller's key are
//! sent three times through several VMs, two of them at a time, and count as one.

use std::collections::HashMap;

use crate::load::{Kind, Record, faults_with, run_through, run_with_fault};
use crate::scene::{Scene, body_id, for_each};
use crate::trouble::Trouble;

/// Checks that nothing ran twice and that whatever was answered ran.
fn check(scene: &Scene, records: &[Record], context: &str) {
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for entry in scene.executions() {
        assert!(!entry.idempotent, "{context}: ran as idempotent: {entry:?}");
        let attempts = runs.entry(body_id(&entry.body)).or_default();
        attempts.push(format!("{} attempt {}", entry.request, entry.attempt));
    }
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, attempts)| attempts.len() > 1)
        .collect();
    assert!(twice.is_empty(), "{context}: ran more than once: {twice:?}");
    let answered: Vec<&Record> = records.iter().filter(|r| r.answer().is_some()).collect();
    assert!(!answered.is_empty(), "{context}: nothing was answered");
    for record in answered {
        assert!(
            runs.contains_key(&record.id),
            "{context}: did not run: {record:?}"
        );
    }
}

#[derive(Clone, Debug)]
struct Case {
    troubles: Vec<Trouble>,
    kind: Kind,
}

fn run(troubles: impl IntoIterator<Item = Vec<Trouble>>, kind: Kind, seed: u64) {
    let troubles = troubles.into_iter();
    let cases: Vec<Case> = troubles.map(|troubles| Case { troubles, kind }).collect();
    for_each(&cases, |case| {
        let mut scene = Scene::start(seed);
        let records = run_through(&mut scene, &case.troubles, case.kind);
        check(&scene, &records, &format!("{case:?}"));
    });
}

#[test]
fn promise_at_most_once_holds_under_kill_freeze_and_cut() {
    let troubles = Trouble::PATH.map(|trouble| vec![trouble]);
    run(troubles, Kind::Orders, 21);
}

#[test]
fn promise_at_most_once_holds_for_one_key_through_several_vms() {
    let troubles = Trouble::PATH.iter().chain(&Trouble::PLATFORM);
    let troubles = troubles.map(|&trouble| vec![trouble]);
    run(troubles, Kind::KeyedOrders, 22);
}

#[test]
fn promise_at_most_once_holds_under_two_troubles() {
    let troubles = Trouble::PAIRS.map(|pair| pair.to_vec());
    run(troubles, Kind::KeyedOrders, 23);
}

#[test]
fn promise_at_most_once_holds_when_leaves_misbehave() {
    let cases = faults_with(&[Kind::Orders, Kind::KeyedOrders]);
    for_each(&cases, |(fault, kind)| {
        let scene = Scene::start(24);
        let records = run_with_fault(&scene, *fault, *kind);
        check(&scene, &records, &format!("{fault:?} {kind:?}"));
    });
}
