//! Promise: a request marked as non-idempotent runs at most once.
//!
//! Counted in the leaves' execution logs. Requests with a caller's key are
//! sent three times through several VMs, two of them at a time, and count as one.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use geraniummount::core::claims::{BUCKETS, Claim};
use geraniummount_test_support::client::Client;

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

#[test]
fn promise_at_most_once_holds_while_one_vm_claims_for_others() {
    let troubles = [
        Trouble::CutFromOwners,
        Trouble::CutTowardsOwners,
        Trouble::CutOwners,
        Trouble::FreezeOwner,
        Trouble::KillOwner,
        Trouble::LosePlatformReplies,
    ];
    // Calls so slow that many are between write and answer when a trouble
    // begins, and that claims take as long as they are waited for.
    let slowness = [25, 110].map(Duration::from_millis);
    let cases: Vec<_> = troubles
        .into_iter()
        .flat_map(|trouble| slowness.map(|slowness| (trouble, slowness)))
        .collect();
    for_each(&cases, |(trouble, slowness)| {
        let mut scene = Scene::start(25);
        contend(&scene);
        scene.fleet.platform.change(|p| p.call_delay = *slowness);
        let records = run_through(&mut scene, &[*trouble], Kind::KeyedOrders);
        let context = format!("{trouble:?} {slowness:?}");
        check(&scene, &records, &context);
        let forwarded = scene
            .fleet
            .running()
            .any(|vm| claims_by_peers(&scene, &vm.name));
        assert!(forwarded, "{context}: nothing was claimed by another VM");
    });
}

/// Fills the platform's values as a fleet does that claims many keys.
fn contend(scene: &Scene) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let in_a_minute = now.expect("time").as_millis() as u64 + 60_000;
    let claim = |key| Claim {
        key,
        attempt: 1,
        at_ms: in_a_minute,
    };
    let claims: Vec<Claim> = (1..=20).map(claim).collect();
    let body = serde_json::to_vec(&claims).expect("JSON");
    let platform = Client::new(scene.fleet.platform.address());
    for value in 0..BUCKETS {
        let path = format!("/kv/geraniummount/claims/{value}");
        let reply = platform.call("PUT", &path, &[("If-Version", "0")], body.clone());
        assert!(reply.expect("platform answers").is_success(), "{path}");
    }
}

fn claims_by_peers(scene: &Scene, vm: &str) -> bool {
    let reply = scene.fleet.operator(vm).get("/metrics").expect("metrics");
    reply
        .text
        .contains("geraniummount_claims_total{by=\"peer\",result=\"granted\"}")
}
