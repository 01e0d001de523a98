//! Promise: a request marked as non-idempotent runs at most once.
//!
//! The executions are counted in the leaves' logs. A request with an idempotency key is sent in
//! three copies through several VMs, two of them concurrently; the copies count as one request.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use geraniummount::core::claims::{BUCKETS, Claim};
use geraniummount_test_support::client::Client;

use crate::disruption::Disruption;
use crate::load::{Kind, Record, fault_cases, run_with_disruptions, run_with_fault};
use crate::testbed::{Testbed, body_id, for_each};

/// Checks that no request ran more than once and that every answered request ran.
fn check(testbed: &Testbed, records: &[Record], context: &str) {
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for entry in testbed.executions() {
        assert!(
            !entry.idempotent,
            "{context}: a leaf received the request as idempotent: {entry:?}"
        );
        let attempts = runs.entry(body_id(&entry.body)).or_default();
        attempts.push(format!("{} attempt {}", entry.request, entry.attempt));
    }
    let repeated: Vec<_> = runs
        .iter()
        .filter(|(_, attempts)| attempts.len() > 1)
        .collect();
    assert!(
        repeated.is_empty(),
        "{context}: requests ran more than once: {repeated:?}"
    );
    let answered: Vec<&Record> = records.iter().filter(|r| r.answer().is_some()).collect();
    assert!(!answered.is_empty(), "{context}: no request was answered");
    for record in answered {
        assert!(
            runs.contains_key(&record.id),
            "{context}: an answered request did not run: {record:?}"
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
fn promise_at_most_once_holds_under_two_disruptions() {
    let disruptions = Disruption::PAIRS.map(|pair| pair.to_vec());
    run(disruptions, Kind::KeyedOrders, 23);
}

#[test]
fn promise_at_most_once_holds_when_leaves_are_faulty() {
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
    // The delays leave many platform calls between write and reply when a disruption begins, and
    // make claims take as long as VMs wait for them.
    let call_delays = [25, 110].map(Duration::from_millis);
    let cases: Vec<_> = disruptions
        .into_iter()
        .flat_map(|disruption| call_delays.map(|call_delay| (disruption, call_delay)))
        .collect();
    for_each(&cases, |(disruption, call_delay)| {
        let mut testbed = Testbed::start(25);
        fill_claims(&testbed);
        testbed
            .fleet
            .platform
            .change(|p| p.call_delay = *call_delay);
        let records = run_with_disruptions(&mut testbed, &[*disruption], Kind::KeyedOrders);
        let context = format!("{disruption:?} {call_delay:?}");
        check(&testbed, &records, &context);
        let has_forwarded = testbed
            .fleet
            .running()
            .any(|vm| has_claims_by_peers(&testbed, &vm.name));
        assert!(
            has_forwarded,
            "{context}: no VM claimed a key on behalf of another"
        );
    });
}

/// Fills every claims bucket on the platform with claims that do not expire during the
/// test, as a fleet with many idempotency keys would.
fn fill_claims(testbed: &Testbed) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let in_a_minute_ms = now.expect("the clock is past the Unix epoch").as_millis() as u64 + 60_000;
    let claim = |key| Claim {
        key,
        attempt: 1,
        at_ms: in_a_minute_ms,
    };
    let claims: Vec<Claim> = (1..=20).map(claim).collect();
    let body = serde_json::to_vec(&claims).expect("claims serialize to JSON");
    let platform = Client::new(testbed.fleet.platform.address());
    for bucket in 0..BUCKETS {
        let path = format!("/kv/geraniummount/claims/{bucket}");
        let reply = platform.call("PUT", &path, &[("If-Version", "0")], body.clone());
        assert!(reply.expect("platform replies").is_success(), "{path}");
    }
}

/// Returns whether another VM has claimed a key on behalf of `vm`.
fn has_claims_by_peers(testbed: &Testbed, vm: &str) -> bool {
    let reply = testbed
        .fleet
        .operator(vm)
        .get("/metrics")
        .expect("VM returns its metrics");
    reply
        .text
        .contains("geraniummount_claims_total{by=\"peer\",result=\"granted\"}")
}
