//! Promise: a planned stop of a VM interrupts no request in flight.

use std::time::Duration;

use geraniummount_test_support::fleet::{Fleet, VmSelector};
use geraniummount_test_support::leaf::Delay;
use geraniummount_test_support::platform::Outage;

use crate::load_balanced::{self, Callers, Kind, Record};
use crate::testbed::for_each;

/// Execution time of a request that is still in flight after the 1.5 s for which a stopping VM
/// accepts requests. The VM has to wait for the request. Shorter than the services' deadline.
const SLOW_EXECUTION_TIME: Duration = Duration::from_millis(2_800);

/// A failure during the planned stops.
#[derive(Clone, Copy, Debug)]
enum ConcurrentFailure {
    None,
    PlatformDown,
    PlatformUnresponsive,
    OtherDomainCut,
    OtherVmKilled,
    OtherVmFrozen,
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    failure: ConcurrentFailure,
    /// Whether every request must get a complete answer; otherwise, any complete reply is enough.
    is_lossless: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "no failure",
        failure: ConcurrentFailure::None,
        is_lossless: true,
    },
    Case {
        name: "the platform rejects calls",
        failure: ConcurrentFailure::PlatformDown,
        is_lossless: true,
    },
    Case {
        name: "the platform is unresponsive",
        failure: ConcurrentFailure::PlatformUnresponsive,
        is_lossless: true,
    },
    Case {
        name: "another failure domain is cut off",
        failure: ConcurrentFailure::OtherDomainCut,
        is_lossless: false,
    },
    Case {
        name: "a VM of another failure domain was killed",
        failure: ConcurrentFailure::OtherVmKilled,
        is_lossless: false,
    },
    Case {
        name: "a VM of another failure domain is frozen",
        failure: ConcurrentFailure::OtherVmFrozen,
        is_lossless: false,
    },
];

impl ConcurrentFailure {
    fn begin(self, fleet: &mut Fleet, other: &str) {
        let outage = |fleet: &Fleet, outage| fleet.platform.change(|b| b.outage = outage);
        match self {
            ConcurrentFailure::None => {}
            ConcurrentFailure::PlatformDown => outage(fleet, Outage::Reject),
            ConcurrentFailure::PlatformUnresponsive => outage(fleet, Outage::Unresponsive),
            ConcurrentFailure::OtherDomainCut => {
                fleet.cut(&VmSelector::domain("c"), &VmSelector::domain("a"))
            }
            ConcurrentFailure::OtherVmKilled => fleet.kill(other),
            ConcurrentFailure::OtherVmFrozen => fleet.freeze(other),
        }
    }
}

#[test]
fn stopping_one_vm_interrupts_no_request() {
    for_each(&CASES, |case| {
        let (_permit, mut fleet) = load_balanced::start(100);
        let (stopped, other) = (fleet.vms_in("a")[0].clone(), fleet.vms_in("c")[0].clone());
        let address = fleet.vm(&stopped).caller;
        let callers = Callers::start(&fleet);
        case.failure.begin(&mut fleet, &other);
        callers.wait_for_more(20);
        fleet.terminate(&stopped);
        let status = fleet.wait_exit(&stopped);
        callers.wait_for_more(20);
        let records = callers.stop();
        assert!(status.success(), "{}: {status}", case.name);
        let sent_to_stopped = records.iter().filter(|record| record.target == address);
        check(case.name, case.is_lossless, sent_to_stopped);
        check_orders(case.name, &fleet, &records);
    });
}

#[test]
fn replacing_every_vm_under_load_loses_no_request() {
    let (_permit, mut fleet) = load_balanced::start(200);
    let records = replace_every_vm(&mut fleet);
    check("rolling replacement", true, records.iter());
    check_orders("rolling replacement", &fleet, &records);
}

#[test]
fn replacing_every_vm_during_a_partition_interrupts_no_request() {
    let (_permit, mut fleet) = load_balanced::start(210);
    ConcurrentFailure::OtherDomainCut.begin(&mut fleet, "");
    let records = replace_every_vm(&mut fleet);
    check(
        "rolling replacement during a partition",
        false,
        records.iter(),
    );
    check_orders("rolling replacement during a partition", &fleet, &records);
}

/// Replaces the VMs one by one under load. Panics if a VM exits with another status than 0.
fn replace_every_vm(fleet: &mut Fleet) -> Vec<Record> {
    let callers = Callers::start(fleet);
    for old in fleet.vm_names() {
        let domain = fleet.vm(&old).failure_domain.clone();
        fleet.add_vm(&domain).expect("VM starts");
        callers.update_targets(fleet);
        callers.wait_for_more(20);
        fleet.terminate(&old);
        let status = fleet.wait_exit(&old);
        assert!(status.success(), "VM {old}: {status}");
        fleet.remove_vm(&old);
        callers.update_targets(fleet);
        callers.wait_for_more(20);
    }
    callers.stop()
}

#[test]
fn long_requests_in_flight_are_completed() {
    let (_permit, mut fleet) = load_balanced::start(300);
    let [stopped, entry] = ["a", "b"].map(|domain| fleet.vms_in(domain)[0].clone());
    for other in &fleet.leaves {
        let slow = Delay::fixed(SLOW_EXECUTION_TIME);
        other.leaf.change(|behaviour| behaviour.delay = slow);
    }
    // Some requests enter at the VM that stops. Others enter at another VM and may be forwarded to
    // it as the owner of their leaf.
    let targets = [fleet.vm(&stopped).caller, fleet.vm(&entry).caller];
    let send = |number: usize| {
        let kind = if number.is_multiple_of(3) {
            Kind::Order
        } else {
            Kind::Query
        };
        let target = targets[number % targets.len()];
        std::thread::spawn(move || load_balanced::send(target, kind, &format!("long-{number}")))
    };
    let sent: Vec<_> = (0..8).map(send).collect();
    std::thread::sleep(Duration::from_millis(300));
    fleet.terminate(&stopped);
    let status = fleet.wait_exit(&stopped);
    let results = sent
        .into_iter()
        .map(|thread| thread.join().expect("a caller panicked"));
    let records: Vec<Record> = results.collect();
    assert!(status.success(), "{status}");
    check("long requests", true, records.iter());
    check_orders("long requests", &fleet, &records);
}

/// Checks that every request got a complete answer if `is_lossless`, and any complete reply
/// otherwise.
fn check<'a>(name: &str, is_lossless: bool, records: impl Iterator<Item = &'a Record>) {
    let is_acceptable = |record: &&Record| {
        if is_lossless {
            record.is_complete()
        } else {
            record.has_reply()
        }
    };
    let (accepted, lost): (Vec<&Record>, Vec<&Record>) = records.partition(is_acceptable);
    assert!(
        lost.is_empty(),
        "{name}: {} of {} requests lost: {lost:#?}",
        lost.len(),
        accepted.len() + lost.len()
    );
    assert!(!accepted.is_empty(), "{name}: no request was sent");
}

/// Checks that every successful order ran exactly once and no order ran more than once.
fn check_orders(name: &str, fleet: &Fleet, records: &[Record]) {
    for record in records.iter().filter(|record| record.kind == Kind::Order) {
        let runs = load_balanced::execution_count(fleet, &record.id);
        let expected = if record.is_complete() { 1..=1 } else { 0..=1 };
        assert!(
            expected.contains(&runs),
            "{name}: {} ran {runs} times",
            record.id
        );
    }
}
