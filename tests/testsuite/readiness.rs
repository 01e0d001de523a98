//! Checks when a starting VM is ready for callers.

use std::time::Instant;

use geraniummount::core::readiness::{self, Readiness};
use geraniummount::core::vm::State::{self, Dead, Live, Suspect};
use geraniummount::prelude::*;
use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, wait_until};
use geraniummount_test_support::platform::Outage;
use serde_json::json;

use crate::fixtures;
use crate::load_balanced::{self, Kind};
use crate::testbed::for_each;

/// Knowledge of a starting VM in the failure domain `east`.
struct Case {
    name: &'static str,
    /// Whether the VM has every change that the platform holds.
    confirmed: bool,
    revision: Revision,
    /// Failure domain of each leaf.
    leaves: &'static [&'static str],
    /// Failure domain, state and revision of each other VM.
    others: OtherVms,
    ready: bool,
}

const CASES: [Case; 8] = [
    case("knows nothing", (false, 0), &[], &[], false),
    case("the platform holds no changes", (true, 0), &[], &[], true),
    case(
        "knows of a newer revision",
        (true, 3),
        &["east"],
        &[("east", Live, 4)],
        false,
    ),
    case(
        "has the newest revision from peers",
        (false, 4),
        &["east"],
        &[("east", Live, 4)],
        true,
    ),
    case(
        "knows no VM in a domain that has leaves",
        (true, 4),
        EAST_AND_WEST,
        &[("east", Live, 4)],
        false,
    ),
    case(
        "knows only a dead VM in a domain that has leaves",
        (true, 4),
        EAST_AND_WEST,
        &[("west", Dead, 4)],
        false,
    ),
    case(
        "knows a suspect VM in a domain that has leaves",
        (true, 4),
        EAST_AND_WEST,
        &[("west", Suspect, 2)],
        true,
    ),
    case(
        "knows VMs in all domains that have leaves",
        (false, 4),
        EAST_AND_WEST,
        &[("north", Live, 4), ("west", Live, 4)],
        true,
    ),
];

const EAST_AND_WEST: &[&str] = &["east", "west"];

type OtherVms = &'static [(&'static str, State, Revision)];

const fn case(
    name: &'static str,
    (confirmed, revision): (bool, Revision),
    leaves: &'static [&'static str],
    others: OtherVms,
    ready: bool,
) -> Case {
    Case {
        name,
        confirmed,
        revision,
        leaves,
        others,
        ready,
    }
}

impl Case {
    fn catalog(&self) -> Catalog {
        let record = |(index, domain): (usize, &&str)| {
            let spec = json!({
                "name": format!("leaf-{index}"),
                "address": "127.0.0.1:1",
                "failure_domain": domain,
                "contract": {"slots": 2, "connections": 25, "open_ms": 1},
            });
            Record {
                generation: 1,
                spec: serde_json::from_value(spec).expect("parse the leaf"),
            }
        };
        Catalog {
            revision: self.revision,
            leaves: self.leaves.iter().enumerate().map(record).collect(),
            ..Catalog::default()
        }
    }

    fn vms(&self) -> Vec<Vm> {
        let me = [("east", State::Live, self.revision)];
        let all = me.iter().chain(self.others).enumerate();
        let vm = |(index, &(domain, state, revision)): (usize, &(&str, State, Revision))| Vm {
            failure_domain: domain.to_owned(),
            state,
            revision,
            ..vm_named(&format!("vm-{index}"))
        };
        all.map(vm).collect()
    }
}

fn vm_named(name: &str) -> Vm {
    fixtures::live_vm(name, ([127, 0, 0, 1], 1).into())
}

#[test]
fn a_starting_vm_becomes_ready_once_its_view_is_complete() {
    for case in &CASES {
        let now = Instant::now();
        let mut readiness = Readiness::new(now);
        if case.confirmed {
            readiness.confirm();
        }
        let (catalog, vms) = (case.catalog(), case.vms());
        assert_eq!(
            readiness.update(&catalog, &vms, now),
            case.ready,
            "{}",
            case.name
        );
        let later = now + readiness::STARTUP_GRACE;
        if !case.confirmed && case.revision == 0 {
            assert!(!readiness.update(&catalog, &vms, later), "{}", case.name);
            readiness.confirm();
        }
        assert!(
            readiness.update(&catalog, &vms, later),
            "{}: after the startup grace time",
            case.name
        );
        let empty_catalog = Catalog::default();
        let newer_vm = Vm {
            revision: 9,
            ..vm_named("newer")
        };
        assert!(
            readiness.update(&empty_catalog, &[newer_vm], later),
            "{}: a ready VM stays ready",
            case.name
        );
    }
}

#[test]
fn a_new_vm_is_ready_once_it_can_serve_complete_answers() {
    for_each(&[Outage::Reject, Outage::Unresponsive], |&outage| {
        let (_permit, mut fleet) = load_balanced::start(800);
        fleet.platform.change(|behaviour| behaviour.outage = outage);
        let others = fleet.vm_names();
        for other in &others {
            fleet.freeze(other);
        }
        let name = fleet.spawn_vm("b").expect("start the VM");
        let vm = fleet.vm(&name).caller;
        let send_query = |id| load_balanced::send(vm, Kind::Query, id);
        wait_until(CONVERGENCE_TIMEOUT, || send_query("up").has_reply());
        let Ok((503, body)) = send_query("early").reply else {
            panic!("{outage:?}: {:#?}", send_query("early"));
        };
        assert_eq!(body["reason"], "starting", "{outage:?}: {body}");
        let ready = fleet
            .caller(&name)
            .get("/ready")
            .expect("an answer from /ready");
        assert!(!ready.is_success(), "{outage:?}: {ready:?}");
        for other in &others {
            fleet.thaw(other);
        }
        fleet.wait_until_ready(&name);
        let first = load_balanced::send(vm, Kind::Query, "first");
        assert!(first.is_complete(), "{outage:?}: {first:#?}");
    });
}
