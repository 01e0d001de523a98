//! A request to a service that crashes each leaf that runs it is withheld after a few crashes, by
//! all VMs, and other requests are served meanwhile.

use std::time::{Duration, Instant};

use geraniummount_test_support::client::Reply;
use serde_json::json;

use crate::testbed::{ENTRY_VM, FAR_VMS, PARTS_SHARDS, Testbed};

/// Id in the body of the request that crashes each leaf that runs it.
const CRASH_ID: &str = "crash";

/// Interval between two repetitions of the request.
const REPEAT_INTERVAL: Duration = Duration::from_millis(60);

/// Time after the third crash from which on few repetitions may reach a leaf, and their number.
const CONTACT: Duration = Duration::from_secs(4);
const MAX_RETRIES: usize = 3;

/// Crashes from which on a VM withholds the request whatever the other VMs know.
const MAX_CRASHES_PER_VM: usize = 3;

/// VMs through which the request is repeated.
const VMS: [&str; 3] = [ENTRY_VM, FAR_VMS[0], FAR_VMS[1]];

/// Starts a fleet whose leaves crash when they run the request.
fn start(seed: u64) -> Testbed {
    let testbed = Testbed::start(seed);
    let body = json!({"id": CRASH_ID}).to_string();
    testbed.change_leaves(|behaviour| behaviour.crash_body = Some(body.clone()));
    testbed
}

/// Sends the request or another one to a service.
fn send(testbed: &Testbed, vm: &str, service: &str, id: &str) -> Reply {
    let headers: &[(&str, &str)] = match service {
        "orders" => &[("Idempotent", "false"), ("Shard", "1")],
        _ => &[],
    };
    let caller = testbed.fleet.caller(vm);
    caller.query(service, headers, &json!({"id": id})).unwrap()
}

/// Returns when each leaf crashed.
fn crashes(testbed: &Testbed) -> Vec<Instant> {
    let executions = testbed.executions();
    let body = json!({"id": CRASH_ID}).to_string();
    let crashes = executions.iter().filter(|entry| entry.body == body);
    let mut times: Vec<Instant> = crashes.map(|entry| entry.started).collect();
    times.sort_unstable();
    times
}

/// Repeats the request through one VM after the other until [`CONTACT`] after the third crash, and
/// as long again, each time beside another request. Returns how many of the others failed.
fn repeat(testbed: &Testbed, service: &str) -> (usize, usize) {
    let end = Instant::now() + 2 * CONTACT;
    let (mut sent, mut failed) = (0, 0);
    while Instant::now() < end {
        for vm in VMS {
            send(testbed, vm, service, CRASH_ID);
            let other = send(testbed, vm, service, "other");
            sent += 1;
            failed += usize::from(!other.is_success());
            std::thread::sleep(REPEAT_INTERVAL);
        }
    }
    (sent, failed)
}

struct Case {
    service: &'static str,
    /// Crashes by the first repetition, at which the request is not known yet.
    first: usize,
}

const CASES: &[Case] = &[
    Case {
        service: "parts",
        first: PARTS_SHARDS.len() + 1,
    },
    Case {
        service: "orders",
        first: 1,
    },
];

#[test]
fn crashes_by_one_request_to_a_service_end_few_leaves() {
    for (case, seed) in CASES.iter().zip(31..) {
        let name = case.service;
        let testbed = start(seed);
        let (sent, failed) = repeat(&testbed, name);
        let times = crashes(&testbed);
        let late = times.iter().filter(|at| **at > times[2] + CONTACT).count();
        assert!(
            late <= MAX_RETRIES,
            "{name}: {late} crashes after the third"
        );
        let most = (case.first + MAX_CRASHES_PER_VM) * VMS.len();
        let count = times.len();
        assert!(count <= most, "{name}: {count} leaves crashed");
        assert!(
            failed * 10 <= sent,
            "{name}: {failed} of {sent} others failed"
        );
        let withheld = send(&testbed, ENTRY_VM, name, CRASH_ID);
        assert_eq!(withheld.status, 503, "{name}: {withheld:?}");
        assert_eq!(withheld.body["verdict"], "not-run", "{name}: {withheld:?}");
    }
}
