//! Promise: each caller receives the whole answer to its own request.
//!
//! Leaves write the request's id and body into their replies, so that every
//! answer can be matched with its request.

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
        let results = answer["results"].as_array().expect("results");
        assert!(!results.is_empty(), "{context}: {answer}");
        for result in results {
            let body = &result["body"];
            assert_eq!(body["request"], record.request_id, "{context}: {answer}");
            assert_eq!(body["query"]["id"], record.id, "{context}: {answer}");
            let shard = body["shard"].as_str().expect("a shard");
            let place = result["shard"].as_str().expect("a shard");
            assert_eq!(shard.rsplit('/').next(), Some(place), "{context}: {answer}");
        }
    }
    assert!(answered > 0, "{context}: nothing was answered");
}

#[test]
fn promise_reply_is_the_callers_own_under_kill_freeze_and_cut() {
    for_each(&Disruption::REQUEST_PATH, |disruption| {
        let mut testbed = Testbed::start(51);
        let records = run_with_disruptions(&mut testbed, &[*disruption], Kind::Queries);
        check(&records, &format!("{disruption:?}"));
    });
}

/// Every few requests, some leaf's reply comes late, twice, in part, under
/// another attempt's id or not at all.
#[test]
fn promise_reply_is_the_callers_own_when_leaves_misbehave() {
    let cases = fault_cases(&[Kind::Queries, Kind::Orders]);
    for_each(&cases, |(fault, kind)| {
        let testbed = Testbed::start(52);
        let records = run_with_fault(&testbed, *fault, *kind);
        check(&records, &format!("{fault:?} {kind:?}"));
    });
}

/// Replies far above the size of one read, in many pieces on every link.
#[test]
fn promise_reply_is_whole_when_it_is_large() {
    const PADDING_BYTES: usize = 300_000;
    let testbed = Testbed::start(55);
    testbed.change_leaves(|behaviour| behaviour.padding_bytes = PADDING_BYTES);
    let records = run_with_fault(&testbed, Fault::Truncated, Kind::Queries);
    check(&records, "large");
    let answers = records.iter().filter_map(Record::answer);
    let results = answers.flat_map(|answer| answer["results"].as_array().expect("results"));
    for result in results {
        let padding = result["body"]["padding"].as_str().map(str::len);
        assert_eq!(padding, Some(PADDING_BYTES));
    }
}

/// Two callers may choose the same request id; each gets its own answer.
#[test]
fn promise_reply_tells_callers_with_one_request_id_apart() {
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
                        (id, reply.expect("a reply").body)
                    });
                    sent.collect::<Vec<_>>()
                })
            })
            .collect();
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("caller"))
            .collect()
    });
    let whole: HashMap<&str, usize> = answers
        .iter()
        .map(|(id, answer)| {
            let results = answer["results"].as_array().expect("results");
            assert!(
                results
                    .iter()
                    .all(|result| result["body"]["query"]["id"] == **id),
                "{answer}"
            );
            (id.as_str(), results.len())
        })
        .collect();
    assert_eq!(whole.len(), answers.len());
    assert!(whole.values().all(|count| *count > 0));
}

/// A caller that goes away gets its query cancelled at the leaves, and the next
/// one on the same VM its own answer.
#[test]
fn promise_reply_is_not_left_to_the_next_caller() {
    let testbed = Testbed::start(54);
    testbed.change_leaves(|behaviour| {
        behaviour.delay = Delay::fixed(Duration::from_secs(8));
    });
    let address = testbed.fleet.vm(ENTRY_VM).caller;
    // Time enough to reach a leaf, also on a busy machine.
    let gone = Client::with_timeout(address, Duration::from_secs(2));
    let headers = [("Request-Id", "gone"), ("Deadline-Ms", "9000")];
    let reply = gone.query("parts", &headers, &json!({"id": "gone"}));
    assert!(reply.is_err(), "caller went too late: {reply:?}");
    let cancelled = wait_until(CONVERGENCE_TIMEOUT, || {
        let ran = testbed.executions();
        let mut ran = ran.iter().filter(|entry| entry.request == "gone");
        ran.any(|entry| {
            entry
                .end
                .is_some_and(|(ending, _)| ending == Ending::Cancelled)
        })
    });
    assert!(cancelled, "no leaf was told: {:?}", testbed.executions());
    testbed.change_leaves(|behaviour| behaviour.delay = Delay::default());
    let records: Vec<Record> = (0..20)
        .map(|number| send(address, Kind::Queries, number, 0))
        .collect();
    check(&records, "after a caller has gone");
}
