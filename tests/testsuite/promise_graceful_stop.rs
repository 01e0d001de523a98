//! A planned stop is a graceful shutdown: it cuts off no request in flight.

use std::time::Duration;

use geraniummount_test_support::fleet::{Fleet, VmSelector};
use geraniummount_test_support::leaf::Delay;
use geraniummount_test_support::platform::Outage;

use crate::load_balanced::{self, Callers, Kind, Record};
use crate::testbed::for_each;

/// Time of a request that a VM has to wait for, as it outlives the 1.5 s for
/// which a VM that stops still serves; below the services' deadline.
const LONGER_THAN_LINGER: Duration = Duration::from_millis(2_800);

/// What goes on beside the planned stops.
#[derive(Clone, Copy, Debug)]
enum Beside {
    Nothing,
    PlatformDown,
    PlatformSilent,
    OtherDomainCut,
    OtherVmKilled,
    OtherVmFrozen,
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    beside: Beside,
    /// Whether every request has to get its whole answer; else a whole reply.
    loses_nothing: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "nothing else goes on",
        beside: Beside::Nothing,
        loses_nothing: true,
    },
    Case {
        name: "the platform refuses",
        beside: Beside::PlatformDown,
        loses_nothing: true,
    },
    Case {
        name: "the platform is silent",
        beside: Beside::PlatformSilent,
        loses_nothing: true,
    },
    Case {
        name: "another failure domain is cut off",
        beside: Beside::OtherDomainCut,
        loses_nothing: false,
    },
    Case {
        name: "a VM of another failure domain was killed",
        beside: Beside::OtherVmKilled,
        loses_nothing: false,
    },
    Case {
        name: "a VM of another failure domain is frozen",
        beside: Beside::OtherVmFrozen,
        loses_nothing: false,
    },
];

impl Beside {
    fn begin(self, fleet: &mut Fleet, other: &str) {
        let outage = |fleet: &Fleet, outage| fleet.platform.change(|b| b.outage = outage);
        match self {
            Beside::Nothing => {}
            Beside::PlatformDown => outage(fleet, Outage::Reject),
            Beside::PlatformSilent => outage(fleet, Outage::Unresponsive),
            Beside::OtherDomainCut => fleet.cut(&VmSelector::domain("c"), &VmSelector::domain("a")),
            Beside::OtherVmKilled => fleet.kill(other),
            Beside::OtherVmFrozen => fleet.freeze(other),
        }
    }
}

#[test]
fn stopping_one_vm_cuts_off_nothing() {
    for_each(&CASES, |case| {
        let (_permit, mut fleet) = load_balanced::start(100);
        let (stopped, other) = (fleet.vms_in("a")[0].clone(), fleet.vms_in("c")[0].clone());
        let address = fleet.vm(&stopped).caller;
        let callers = Callers::start(&fleet);
        case.beside.begin(&mut fleet, &other);
        callers.wait_for_more(20);
        fleet.terminate(&stopped);
        let status = fleet.wait_exit(&stopped);
        callers.wait_for_more(20);
        let records = callers.stop();
        assert!(status.success(), "{}: {status}", case.name);
        let here = records.iter().filter(|record| record.target == address);
        check(case.name, case.loses_nothing, here);
        check_orders(case.name, &fleet, &records);
    });
}

#[test]
fn replacing_every_vm_under_load_loses_nothing() {
    let (_permit, mut fleet) = load_balanced::start(200);
    let records = replace_every_vm(&mut fleet);
    check("rolling replacement", true, records.iter());
    check_orders("rolling replacement", &fleet, &records);
}

#[test]
fn replacing_every_vm_during_a_cut_cuts_off_nothing() {
    let (_permit, mut fleet) = load_balanced::start(210);
    Beside::OtherDomainCut.begin(&mut fleet, "");
    let records = replace_every_vm(&mut fleet);
    check("rolling replacement in a cut", false, records.iter());
    check_orders("rolling replacement in a cut", &fleet, &records);
}

/// Replaces one VM after the other under load; each has to exit with 0.
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
fn long_requests_in_flight_are_finished() {
    let (_permit, mut fleet) = load_balanced::start(300);
    let [stopped, entry] = ["a", "b"].map(|domain| fleet.vms_in(domain)[0].clone());
    for other in &fleet.leaves {
        let slow = Delay::fixed(LONGER_THAN_LINGER);
        other.leaf.change(|behaviour| behaviour.delay = slow);
    }
    // Some enter at the VM that stops; some only pass through it as owner.
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
    let ended = sent
        .into_iter()
        .map(|thread| thread.join().expect("caller"));
    let records: Vec<Record> = ended.collect();
    assert!(status.success(), "{status}");
    check("long requests", true, records.iter());
    check_orders("long requests", &fleet, &records);
}

/// Checks that no request was cut off.
fn check<'a>(name: &str, loses_nothing: bool, records: impl Iterator<Item = &'a Record>) {
    let fits = |record: &&Record| {
        if loses_nothing {
            record.is_complete()
        } else {
            record.has_reply()
        }
    };
    let (good, lost): (Vec<&Record>, Vec<&Record>) = records.partition(fits);
    assert!(
        lost.is_empty(),
        "{name}: {} of {} lost: {lost:#?}",
        lost.len(),
        good.len() + lost.len()
    );
    assert!(!good.is_empty(), "{name}: no request was sent");
}

/// Checks that an order that succeeded ran once and no order ran twice.
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
