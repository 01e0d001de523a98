//! Promise: a request marked as non-idempotent runs at most once.
//!
//! Counted in the leaves' execution logs. Requests with a caller's key are
//! sent three times through several VMs, two of them at a time, and count as one.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use geraniummount::core::claims::{BUCKETS, Claim};
use geraniummount_test_support::client::Client;

use crate::disruption::Disruption;
use crate::load::{Kind, Record, fault_cases, run_with_disruptions, run_with_fault};
use crate::testbed::{Testbed, body_id, for_each};

/// Checks that nothing ran twice and that whatever was answered ran.
fn check(testbed: &Testbed, records: &[Record], context: &str) {
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for entry in testbed.executions() {
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
    disruptions: Vec<Disruption>,
    kind: Kind,
}

fn run(disruptions: impl IntoIterator<Item = Vec<Disruption>>, kind: Kind, seed: u64) {
    let disruptions = disruptions.into_iter();
    let cases: Vec<Case> = disruptions
        .map(|disruptions| Case { disruptions, kind })
        .collect();
    for_each(&cases, |case| {
        let mut testbed = Testbed::start(seed);
        let records = run_with_disruptions(&mut testbed, &case.disruptions, case.kind);
        check(&testbed, &records, &format!("{case:?}"));
    });
}

#[test]
fn promise_at_most_once_holds_under_kill_freeze_and_cut() {
    let disruptions = Disruption::REQUEST_PATH.map(|disruption| vec![disruption]);
    run(disruptions, Kind::Orders, 21);
}

#[test]
fn promise_at_most_once_holds_for_one_key_through_several_vms() {
    let disruptions = Disruption::REQUEST_PATH.iter().chain(&Disruption::PLATFORM);
    let disruptions = disruptions.map(|&disruption| vec![disruption]);
    run(disruptions, Kind::KeyedOrders, 22);
}

#[test]
fn promise_at_most_once_holds_under_two_troubles() {
    let disruptions = Disruption::PAIRS.map(|pair| pair.to_vec());
    run(disruptions, Kind::KeyedOrders, 23);
}

#[test]
fn promise_at_most_once_holds_when_leaves_misbehave() {
    let cases = fault_cases(&[Kind::Orders, Kind::KeyedOrders]);
    for_each(&cases, |(fault, kind)| {
        let testbed = Testbed::start(24);
        let records = run_with_fault(&testbed, *fault, *kind);
        check(&testbed, &records, &format!("{fault:?} {kind:?}"));
    });
}

#[test]
fn promise_at_most_once_holds_while_one_vm_claims_for_others() {
    let disruptions = [
        Disruption::CutFromOwners,
        Disruption::CutTowardsOwners,
        Disruption::CutOwners,
        Disruption::FreezeOwner,
        Disruption::KillOwner,
        Disruption::LosePlatformReplies,
    ];
    // Calls so slow that many are between write and answer when a disruption
    // begins, and that claims take as long as they are waited for.
    let slowness = [25, 110].map(Duration::from_millis);
    let cases: Vec<_> = disruptions
        .into_iter()
        .flat_map(|disruption| slowness.map(|slowness| (disruption, slowness)))
        .collect();
    for_each(&cases, |(disruption, slowness)| {
        let mut testbed = Testbed::start(25);
        contend(&testbed);
        testbed.fleet.platform.change(|p| p.call_delay = *slowness);
        let records = run_with_disruptions(&mut testbed, &[*disruption], Kind::KeyedOrders);
        let context = format!("{disruption:?} {slowness:?}");
        check(&testbed, &records, &context);
        let forwarded = testbed
            .fleet
            .running()
            .any(|vm| claims_by_peers(&testbed, &vm.name));
        assert!(forwarded, "{context}: nothing was claimed by another VM");
    });
}

/// Fills the platform's values as a fleet does that claims many keys.
fn contend(testbed: &Testbed) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let in_a_minute = now.expect("time").as_millis() as u64 + 60_000;
    let claim = |key| Claim {
        key,
        attempt: 1,
        at_ms: in_a_minute,
    };
    let claims: Vec<Claim> = (1..=20).map(claim).collect();
    let body = serde_json::to_vec(&claims).expect("JSON");
    let platform = Client::new(testbed.fleet.platform.address());
    for value in 0..BUCKETS {
        let path = format!("/kv/geraniummount/claims/{value}");
        let reply = platform.call("PUT", &path, &[("If-Version", "0")], body.clone());
        assert!(reply.expect("platform answers").is_success(), "{path}");
    }
}

fn claims_by_peers(testbed: &Testbed, vm: &str) -> bool {
    let reply = testbed.fleet.operator(vm).get("/metrics").expect("metrics");
    reply
        .text
        .contains("geraniummount_claims_total{by=\"peer\",result=\"granted\"}")
}
