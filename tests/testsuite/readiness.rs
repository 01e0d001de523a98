//! When a VM that starts is sent callers.

use std::time::Instant;

use geraniummount::core::readiness::{self, Readiness};
use geraniummount::core::vm::State;
use geraniummount::prelude::*;
use geraniummount_test_support::fleet::{PATIENCE, wait_until};
use geraniummount_test_support::platform::Outage;
use serde_json::json;

use crate::balanced::{self, Kind};
use crate::sample;
use crate::scene::for_each;

/// What a VM of the failure domain `east` knows.
struct Case {
    name: &'static str,
    confirmed: bool,
    revision: Revision,
    /// Failure domains with leaves.
    leaves: &'static [&'static str],
    /// Failure domains of the other VMs, with what they say of themselves.
    others: &'static [(&'static str, State, Revision)],
    ready: bool,
}

const CASES: [Case; 8] = [
    Case {
        name: "knows nothing",
        confirmed: false,
        revision: 0,
        leaves: &[],
        others: &[],
        ready: false,
    },
    Case {
        name: "the platform holds nothing",
        confirmed: true,
        revision: 0,
        leaves: &[],
        others: &[],
        ready: true,
    },
    Case {
        name: "another VM has a newer revision",
        confirmed: true,
        revision: 3,
        leaves: &["east"],
        others: &[("east", State::Live, 4)],
        ready: false,
    },
    Case {
        name: "learnt all from peers",
        confirmed: false,
        revision: 4,
        leaves: &["east"],
        others: &[("east", State::Live, 4)],
        ready: true,
    },
    Case {
        name: "knows no VM of a failure domain with leaves",
        confirmed: true,
        revision: 4,
        leaves: &["east", "west"],
        others: &[("east", State::Live, 4)],
        ready: false,
    },
    Case {
        name: "knows a dead one there",
        confirmed: true,
        revision: 4,
        leaves: &["east", "west"],
        others: &[("west", State::Dead, 4)],
        ready: false,
    },
    Case {
        name: "knows one there that does not answer",
        confirmed: true,
        revision: 4,
        leaves: &["east", "west"],
        others: &[("west", State::Suspect, 2)],
        ready: true,
    },
    Case {
        name: "knows a VM wherever leaves are",
        confirmed: false,
        revision: 4,
        leaves: &["east", "west"],
        others: &[("north", State::Live, 4), ("west", State::Live, 4)],
        ready: true,
    },
];

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
        let later = now + readiness::PATIENCE;
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
    for_each(&[Outage::Refuse, Outage::Silence], |&outage| {
        let (_permit, mut fleet) = balanced::start(800);
        fleet.platform.change(|behaviour| behaviour.outage = outage);
        let others = fleet.vm_names();
        for other in &others {
            fleet.freeze(other);
        }
        let name = fleet.begin_vm("b").expect("VM starts");
        let vm = fleet.vm(&name).caller;
        let early = |id| balanced::send(vm, Kind::Query, id);
        wait_until(PATIENCE, || early("up").is_answered());
        let Ok((503, body)) = early("early").reply else {
            panic!("{outage:?}: {:#?}", early("early"));
        };
        assert_eq!(body["reason"], "starting", "{outage:?}: {body}");
        let ready = fleet.caller(&name).get("/ready").expect("an answer");
        assert!(!ready.is_success(), "{outage:?}: {ready:?}");
        for other in &others {
            fleet.thaw(other);
        }
        fleet.wait_ready(&name);
        let first = balanced::send(vm, Kind::Query, "first");
        assert!(first.is_good(), "{outage:?}: {first:#?}");
    });
}
