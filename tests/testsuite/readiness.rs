//! When a VM that starts is sent callers.

use std::time::Instant;

use geraniummount::core::readiness::{self, Readiness};
use geraniummount::core::vm::State::{self, Dead, Live, Suspect};
use geraniummount::prelude::*;
use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, wait_until};
use geraniummount_test_support::platform::Outage;
use serde_json::json;

use crate::load_balanced::{self, Kind};
use crate::sample;
use crate::testbed::for_each;

/// What a VM of the failure domain `east` knows.
struct Case {
    name: &'static str,
    confirmed: bool,
    revision: Revision,
    /// Failure domains with leaves.
    leaves: &'static [&'static str],
    /// Failure domains of the other VMs, with what they say of themselves.
    others: Others,
    ready: bool,
}

const CASES: [Case; 8] = [
    case("knows nothing", (false, 0), &[], &[], false),
    case("the platform holds nothing", (true, 0), &[], &[], true),
    case(
        "has heard of a newer revision",
        (true, 3),
        &["east"],
        &[("east", Live, 4)],
        false,
    ),
    case(
        "learnt all from peers",
        (false, 4),
        &["east"],
        &[("east", Live, 4)],
        true,
    ),
    case(
        "knows no VM at some leaves",
        (true, 4),
        BOTH,
        &[("east", Live, 4)],
        false,
    ),
    case(
        "knows a dead one there",
        (true, 4),
        BOTH,
        &[("west", Dead, 4)],
        false,
    ),
    case(
        "knows a silent one there",
        (true, 4),
        BOTH,
        &[("west", Suspect, 2)],
        true,
    ),
    case(
        "knows VMs at all leaves",
        (false, 4),
        BOTH,
        &[("north", Live, 4), ("west", Live, 4)],
        true,
    ),
];

const BOTH: &[&str] = &["east", "west"];

type Others = &'static [(&'static str, State, Revision)];

const fn case(
    name: &'static str,
    (confirmed, revision): (bool, Revision),
    leaves: &'static [&'static str],
    others: Others,
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
                spec: serde_json::from_value(spec).expect("a leaf"),
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
    sample::vm_of(name, ([127, 0, 0, 1], 1).into())
}

#[test]
fn readiness_waits_for_what_a_start_lacks() {
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
            "{}: later",
            case.name
        );
        let unknown = Catalog::default();
        let newer = Vm {
            revision: 9,
            ..vm_named("newer")
        };
        assert!(
            readiness.update(&unknown, &[newer], later),
            "{}: for good",
            case.name
        );
    }
}

#[test]
fn a_new_vm_is_ready_once_it_can_serve_whole_answers() {
    for_each(&[Outage::Reject, Outage::Unresponsive], |&outage| {
        let (_permit, mut fleet) = load_balanced::start(800);
        fleet.platform.change(|behaviour| behaviour.outage = outage);
        let others = fleet.vm_names();
        for other in &others {
            fleet.freeze(other);
        }
        let name = fleet.spawn_vm("b").expect("VM starts");
        let vm = fleet.vm(&name).caller;
        let early = |id| load_balanced::send(vm, Kind::Query, id);
        wait_until(CONVERGENCE_TIMEOUT, || early("up").has_reply());
        let Ok((503, body)) = early("early").reply else {
            panic!("{outage:?}: {:#?}", early("early"));
        };
        assert_eq!(body["reason"], "starting", "{outage:?}: {body}");
        let ready = fleet.caller(&name).get("/ready").expect("an answer");
        assert!(!ready.is_success(), "{outage:?}: {ready:?}");
        for other in &others {
            fleet.thaw(other);
        }
        fleet.wait_until_ready(&name);
        let first = load_balanced::send(vm, Kind::Query, "first");
        assert!(first.is_complete(), "{outage:?}: {first:#?}");
    });
}
