//! Promise: each caller receives the complete answer to its own request.
//!
//! The leaves write the request's id and body into their replies, which lets the tests match every
//! answer with its request.

use std::collections::HashMap;
use std::time::Duration;

use geraniummount_test_support::client::Client;
use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, wait_until};
use geraniummount_test_support::leaf::{Delay, Ending, Fault};
use serde_json::json;

use crate::disruption::Disruption;
use crate::load::{Kind, Record, fault_cases, run_with_disruptions, run_with_fault, send};
use crate::testbed::{ENTRY_VM, Testbed, for_each};

/// Checks that every answer belongs to its request.
fn check(records: &[Record], context: &str) {
    let mut answered = 0;
    for record in records {
        let Some(answer) = record.answer() else {
            continue;
        };
        answered += 1;
        assert_eq!(
            answer["request_id"], record.request_id,
            "{context}: {answer}"
        );
        let results = answer["results"].as_array().expect("answer lists results");
        assert!(!results.is_empty(), "{context}: {answer}");
        for result in results {
            let body = &result["body"];
            assert_eq!(body["request"], record.request_id, "{context}: {answer}");
            assert_eq!(body["query"]["id"], record.id, "{context}: {answer}");
            let shard = body["shard"].as_str().expect("result names its shard");
            let listed_shard = result["shard"].as_str().expect("result names its shard");
            assert_eq!(
                shard.rsplit('/').next(),
                Some(listed_shard),
                "{context}: {answer}"
            );
        }
    }
    assert!(answered > 0, "{context}: no request was answered");
}

#[test]
fn promise_reply_is_the_callers_own_under_kill_freeze_and_cut() {
    for_each(&Disruption::REQUEST_PATH, |disruption| {
        let mut testbed = Testbed::start(51);
        let records = run_with_disruptions(&mut testbed, &[*disruption], Kind::Queries);
        check(&records, &format!("{disruption:?}"));
    });
}

/// Once in a few requests, a leaf's reply is late, duplicated, truncated, missing or carries the id
/// of another attempt.
#[test]
fn promise_reply_is_the_callers_own_when_leaves_are_faulty() {
    let cases = fault_cases(&[Kind::Queries, Kind::Orders]);
    for_each(&cases, |(fault, kind)| {
        let testbed = Testbed::start(52);
        let records = run_with_fault(&testbed, *fault, *kind);
        check(&records, &format!("{fault:?} {kind:?}"));
    });
}

/// Replies are far larger than one read and arrive in many chunks on every link.
#[test]
fn promise_reply_is_complete_when_it_is_large() {
    const PADDING_BYTES: usize = 300_000;
    let testbed = Testbed::start(55);
    testbed.change_leaves(|behaviour| behaviour.padding_bytes = PADDING_BYTES);
    let records = run_with_fault(&testbed, Fault::Truncated, Kind::Queries);
    check(&records, "large replies");
    let answers = records.iter().filter_map(Record::answer);
    let results =
        answers.flat_map(|answer| answer["results"].as_array().expect("answer lists results"));
    for result in results {
        let padding = result["body"]["padding"].as_str().map(str::len);
        assert_eq!(padding, Some(PADDING_BYTES));
    }
}

/// Callers that choose the same request id each get their own answer.
#[test]
fn promise_reply_is_the_callers_own_with_a_shared_request_id() {
    let testbed = Testbed::start(53);
    let answers: Vec<(String, serde_json::Value)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                let client = testbed.fleet.caller(ENTRY_VM);
                scope.spawn(move || {
                    let sent = (0..20).map(|index| {
                        let id = format!("body-{caller}-{index}");
                        let headers = [("Request-Id", "same")];
                        let reply = client.query("parts", &headers, &json!({ "id": id }));
                        (id, reply.expect("VM replies").body)
                    });
                    sent.collect::<Vec<_>>()
                })
            })
            .collect();
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller panicked"))
            .collect()
    });
    let result_counts: HashMap<&str, usize> = answers
        .iter()
        .map(|(id, answer)| {
            let results = answer["results"].as_array().expect("answer lists results");
            assert!(
                results
                    .iter()
                    .all(|result| result["body"]["query"]["id"] == **id),
                "{answer}"
            );
            (id.as_str(), results.len())
        })
        .collect();
    assert_eq!(result_counts.len(), answers.len());
    assert!(result_counts.values().all(|count| *count > 0));
}

/// When a caller disconnects, its query is cancelled at the leaves. The next caller on the same VM
/// gets its own answer.
#[test]
fn promise_reply_of_a_disconnected_caller_reaches_no_other() {
    let testbed = Testbed::start(54);
    testbed.change_leaves(|behaviour| {
        behaviour.delay = Delay::fixed(Duration::from_secs(8));
    });
    let address = testbed.fleet.vm(ENTRY_VM).caller;
    // The timeout is long enough for the query to reach a leaf on a busy machine.
    let leaving_caller = Client::with_timeout(address, Duration::from_secs(2));
    let headers = [("Request-Id", "gone"), ("Deadline-Ms", "9000")];
    let reply = leaving_caller.query("parts", &headers, &json!({"id": "gone"}));
    assert!(
        reply.is_err(),
        "the query was answered before its caller disconnected: {reply:?}"
    );
    let is_cancelled = wait_until(CONVERGENCE_TIMEOUT, || {
        let ran = testbed.executions();
        let mut ran = ran.iter().filter(|entry| entry.request == "gone");
        ran.any(|entry| {
            entry
                .end
                .is_some_and(|(ending, _)| ending == Ending::Cancelled)
        })
    });
    assert!(
        is_cancelled,
        "no leaf received the cancellation: {:?}",
        testbed.executions()
    );
    testbed.change_leaves(|behaviour| behaviour.delay = Delay::default());
    let records: Vec<Record> = (0..20)
        .map(|number| send(address, Kind::Queries, number, 0))
        .collect();
    check(&records, "after a caller disconnected");
}
