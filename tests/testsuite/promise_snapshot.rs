//! Promise: every answer comes from one snapshot of the index.
//!
//! Each reply of a leaf names the snapshot that the leaf read. All results of an answer must name
//! the snapshot that the answer states.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use geraniummount_test_support::leaf::{Fault, Handle};
use serde_json::{Value, json};

use crate::disruption::Disruption;
use crate::load::{Kind, Record, run_with_disruptions, send};
use crate::testbed::{ENTRY_VM, FIRST_SNAPSHOT, PARTS_SHARDS, Testbed, for_each};

/// Interval between the snapshot switches of two leaves.
const SWITCH_INTERVAL: Duration = Duration::from_millis(40);

/// Checks that the results of every answer come from its stated snapshot, and returns the snapshots
/// of all answers.
fn check(records: &[Record], context: &str) -> Vec<u64> {
    let mut snapshots = Vec::new();
    for answer in records.iter().filter_map(Record::answer) {
        let snapshot = answer["snapshot"]
            .as_u64()
            .expect("answer states its snapshot");
        let results = answer["results"].as_array().expect("answer lists results");
        assert!(!results.is_empty(), "{context}: {answer}");
        for result in results {
            assert_eq!(result["body"]["snapshot"], snapshot, "{context}: {answer}");
        }
        snapshots.push(snapshot);
    }
    snapshots.sort_unstable();
    snapshots.dedup();
    assert!(!snapshots.is_empty(), "{context}: no request was answered");
    snapshots
}

/// Makes the leaves of a testbed switch to newer snapshots one by one, in repeated rounds, until it
/// is dropped. A leaf holds two snapshots for one round, then only the newer one.
struct SnapshotSwitcher {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotSwitcher {
    fn start(testbed: &Testbed) -> SnapshotSwitcher {
        let leaves = testbed.fleet.leaves.iter();
        let leaves: Vec<Handle> = leaves.map(|proxied| proxied.leaf.handle()).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            for round in 1.. {
                for leaf in &leaves {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    switch_snapshot(leaf, round);
                    std::thread::sleep(SWITCH_INTERVAL);
                }
            }
        });
        SnapshotSwitcher {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for SnapshotSwitcher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.thread.take().map(JoinHandle::join);
        assert!(
            ended.is_some_and(|end| end.is_ok()),
            "the thread that switches snapshots panicked"
        );
    }
}

/// Sets the snapshots that a leaf holds in a round: one in even rounds, two in odd ones.
fn switch_snapshot(leaf: &Handle, round: u64) {
    let newest = FIRST_SNAPSHOT + round / 2;
    leaf.change(|behaviour| {
        behaviour.snapshots = match round % 2 {
            0 => vec![newest],
            _ => vec![newest, newest + 1],
        };
    });
}

#[test]
fn promise_snapshot_is_one_while_leaves_switch() {
    for_each(&Disruption::REQUEST_PATH, |disruption| {
        let mut testbed = Testbed::start(41);
        let switcher = SnapshotSwitcher::start(&testbed);
        let records = run_with_disruptions(&mut testbed, &[*disruption], Kind::Queries);
        drop(switcher);
        let snapshots = check(&records, &format!("{disruption:?}"));
        assert!(
            snapshots.len() > 1,
            "{disruption:?}: all answers come from snapshots {snapshots:?}; no switch was seen"
        );
    });
}

/// One replica of a shard reads a different snapshot than requested. Its replies must not be merged
/// into answers; those of the other replica are.
#[test]
fn promise_snapshot_is_one_when_a_leaf_reads_another() {
    let cases = ["parts-near-1", "parts-far-1"];
    for_each(&cases, |name| {
        let testbed = Testbed::start(42);
        testbed
            .fleet
            .leaf(name)
            .leaf
            .inject_always(Some(Fault::WrongSnapshot));
        let address = testbed.fleet.vm(ENTRY_VM).caller;
        let records: Vec<Record> = (0..100)
            .map(|number| send(address, Kind::Queries, number, 0))
            .collect();
        assert_eq!(check(&records, name), [FIRST_SNAPSHOT]);
        let wrong = testbed.executions().into_iter();
        let wrong = wrong
            .filter(|entry| entry.snapshot != FIRST_SNAPSHOT)
            .count();
        assert!(
            wrong > 0 || *name != "parts-near-1",
            "{name}: the leaf received no request"
        );
    });
}

/// The layout of a service changes while queries run. Each answer has either all shards of the old
/// layout or all of the new one, and a single snapshot.
#[test]
fn promise_snapshot_is_one_while_a_service_is_repartitioned() {
    let testbed = Testbed::start(43);
    let old = testbed
        .fleet
        .operator(ENTRY_VM)
        .get("/v1/resources/service/parts");
    let old = old.expect("VM replies").body["spec"].clone();
    let mut new = old.clone();
    let shards = new["shards"].as_array_mut().expect("spec lists shards");
    shards.truncate(PARTS_SHARDS.len() / 2);
    let stop = AtomicBool::new(false);
    let vms = [ENTRY_VM, "far-2"].map(|vm| testbed.fleet.vm(vm).caller);
    let records: Vec<Record> = std::thread::scope(|scope| {
        let callers = vms.map(|address| {
            let stop = &stop;
            scope.spawn(move || {
                let numbers = (0..).take_while(|_| !stop.load(Ordering::Relaxed));
                let sent = numbers.map(|number| send(address, Kind::Queries, number, 0));
                sent.collect::<Vec<_>>()
            })
        });
        for round in 0..6 {
            let spec = if round % 2 == 0 { &new } else { &old };
            testbed.fleet.apply(ENTRY_VM, &[("service", spec.clone())]);
        }
        stop.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller panicked"))
            .collect()
    });
    check(&records, "repartitioning");
    let mut layouts: Vec<Vec<Value>> = Vec::new();
    for answer in records.iter().filter_map(Record::answer) {
        let coverage = &answer["coverage"];
        assert_eq!(coverage["missing"], json!([]), "{answer}");
        let included = coverage["included"]
            .as_array()
            .expect("coverage lists included shards")
            .clone();
        if !layouts.contains(&included) {
            layouts.push(included);
        }
    }
    layouts.sort_by_key(Vec::len);
    let first_shards = |count: usize| {
        PARTS_SHARDS[..count]
            .iter()
            .map(|shard| json!(shard))
            .collect()
    };
    let expected: [Vec<Value>; 2] = [
        first_shards(PARTS_SHARDS.len() / 2),
        first_shards(PARTS_SHARDS.len()),
    ];
    assert_eq!(layouts, expected);
}
