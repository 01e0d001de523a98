//! A backend server that is leaving receives no new work after a few seconds.

use std::time::{Duration, Instant};

use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, Fleet, VmSelector, wait_until};
use geraniummount_test_support::leaf::{Health, State};
use geraniummount_test_support::platform::{Member, MemberState, Outage};
use serde_json::json;

use crate::load_balanced::{self, Callers};
use crate::testbed::for_each;

/// After so long no new work may come.
const FEW_SECONDS: Duration = Duration::from_secs(4);
const LEAF: &str = "tickets-0-0";

/// Who says that the leaf leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Answers,
    Health,
    Members,
    Operator,
}

/// What fails at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    None,
    HealthLies,
    PlatformDown,
    OtherDomainCut,
    OwnersReplaced,
}

#[derive(Debug)]
struct Case {
    source: Source,
    trouble: Trouble,
}

const fn case(source: Source, trouble: Trouble) -> Case {
    Case { source, trouble }
}

const CASES: [Case; 10] = [
    case(Source::Answers, Trouble::None),
    case(Source::Answers, Trouble::HealthLies),
    case(Source::Answers, Trouble::PlatformDown),
    case(Source::Answers, Trouble::OwnersReplaced),
    case(Source::Health, Trouble::None),
    case(Source::Health, Trouble::PlatformDown),
    case(Source::Members, Trouble::HealthLies),
    case(Source::Members, Trouble::OtherDomainCut),
    case(Source::Operator, Trouble::HealthLies),
    case(Source::Operator, Trouble::OtherDomainCut),
];

impl Source {
    fn say(self, fleet: &Fleet) {
        let leaf = fleet.leaf(LEAF);
        match self {
            Source::Answers | Source::Health => {
                leaf.leaf
                    .change(|behaviour| behaviour.state = State::Draining);
            }
            Source::Members => {
                let member = Member {
                    name: LEAF.to_owned(),
                    address: leaf.proxy.address(),
                    failure_domain: leaf.failure_domain.clone(),
                    state: MemberState::Leaving,
                };
                fleet.platform.set_members([member]);
            }
            Source::Operator => {
                let mut resource = leaf.resource();
                resource["state"] = json!("draining");
                let vm = &fleet.vms_in("b")[0];
                fleet.apply(vm, &[("leaf", resource)]);
            }
        }
    }
}

impl Trouble {
    fn begin(self, fleet: &mut Fleet) {
        match self {
            Trouble::None | Trouble::OwnersReplaced => {}
            Trouble::HealthLies => {
                let lie = Health::Always(State::Serving);
                fleet
                    .leaf(LEAF)
                    .leaf
                    .change(|behaviour| behaviour.health = lie);
            }
            Trouble::PlatformDown => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.outage = Outage::Unresponsive);
            }
            Trouble::OtherDomainCut => {
                fleet.cut(&VmSelector::domain("c"), &VmSelector::domain("a"))
            }
        }
    }

    /// What follows once the leaf has said that it leaves.
    fn go_on(self, fleet: &mut Fleet) {
        if self != Trouble::OwnersReplaced {
            return;
        }
        for old in fleet.vms_in("a") {
            fleet.add_vm("a").expect("VM starts");
            fleet.kill(&old);
        }
    }
}

#[test]
fn a_leaving_leaf_gets_no_new_work() {
    for_each(&CASES, |case| {
        let (_permit, mut fleet) = load_balanced::start(400);
        let callers = Callers::start(&fleet);
        case.trouble.begin(&mut fleet);
        callers.wait_for_more(40);
        let said = Instant::now();
        case.source.say(&fleet);
        std::thread::sleep(FEW_SECONDS);
        let quiet_from = Instant::now();
        case.trouble.go_on(&mut fleet);
        callers.update_targets(&fleet);
        callers.wait_for_more(200);
        let records = callers.stop();
        let log = fleet.leaf(LEAF).leaf.log();
        let late: Vec<_> = log
            .iter()
            .filter(|entry| entry.started > quiet_from)
            .collect();
        let counted = late.len();
        assert!(
            late.is_empty(),
            "{case:?}: {counted} requests came late, first {:?} after",
            late[0].started - said
        );
        if !matches!(
            case.trouble,
            Trouble::OtherDomainCut | Trouble::OwnersReplaced
        ) {
            let lost: Vec<_> = records
                .iter()
                .filter(|record| !record.is_complete())
                .collect();
            assert!(
                lost.is_empty(),
                "{case:?}: {} lost: {:#?}",
                lost.len(),
                lost[0]
            );
        }
    });
}

#[test]
fn a_leaf_that_comes_back_gets_work_again() {
    check_return(false);
}

#[test]
fn a_leaf_that_comes_back_to_new_owners_gets_work_again() {
    check_return(true);
}

/// Checks that a leaf gets work once it no longer leaves, whoever said so.
fn check_return(owners_replaced: bool) {
    let sources = [Source::Answers, Source::Health, Source::Operator];
    for_each(&sources, |&source| {
        let (_permit, mut fleet) = load_balanced::start(500);
        let callers = Callers::start(&fleet);
        source.say(&fleet);
        std::thread::sleep(FEW_SECONDS);
        if owners_replaced {
            Trouble::OwnersReplaced.go_on(&mut fleet);
            callers.update_targets(&fleet);
            callers.wait_for_more(20);
        }
        let back = Instant::now();
        let leaf = fleet.leaf(LEAF);
        leaf.leaf.change(|behaviour| {
            behaviour.state = State::Serving;
            behaviour.health = Health::Actual;
        });
        if source == Source::Operator {
            fleet.apply(&fleet.vms_in("b")[0], &[("leaf", leaf.resource())]);
        }
        let works = wait_until(CONVERGENCE_TIMEOUT, || {
            let log = leaf.leaf.log();
            log.iter().any(|entry| entry.started > back)
        });
        drop(callers.stop());
        assert!(
            works,
            "{source:?}, owners replaced: {owners_replaced}: no work"
        );
    });
}
