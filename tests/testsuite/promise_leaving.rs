//! Promise: a backend server that is leaving receives no new requests after a few seconds.

use std::time::{Duration, Instant};

use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, Fleet, VmSelector, wait_until};
use geraniummount_test_support::leaf::{Health, State};
use geraniummount_test_support::platform::{Member, MemberState, Outage};
use serde_json::json;

use crate::load_balanced::{self, Callers};
use crate::testbed::for_each;

/// Time after the announcement from which the leaving leaf must receive no new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(4);
const LEAVING_LEAF: &str = "tickets-0-0";

/// Source from which the VMs learn that the leaf is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Replies,
    Health,
    Members,
    Operator,
}

/// A failure while the leaf is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    None,
    HealthAlwaysServing,
    PlatformDown,
    OtherDomainCut,
    OwnersReplaced,
}

#[derive(Debug)]
struct Case {
    source: Source,
    failure: Failure,
}

const fn case(source: Source, failure: Failure) -> Case {
    Case { source, failure }
}

const CASES: [Case; 10] = [
    case(Source::Replies, Failure::None),
    case(Source::Replies, Failure::HealthAlwaysServing),
    case(Source::Replies, Failure::PlatformDown),
    case(Source::Replies, Failure::OwnersReplaced),
    case(Source::Health, Failure::None),
    case(Source::Health, Failure::PlatformDown),
    case(Source::Members, Failure::HealthAlwaysServing),
    case(Source::Members, Failure::OtherDomainCut),
    case(Source::Operator, Failure::HealthAlwaysServing),
    case(Source::Operator, Failure::OtherDomainCut),
];

impl Source {
    /// Announces from this source that the leaf is leaving.
    fn announce(self, fleet: &Fleet) {
        let leaf = fleet.leaf(LEAVING_LEAF);
        match self {
            Source::Replies | Source::Health => {
                leaf.leaf
                    .change(|behaviour| behaviour.state = State::Draining);
            }
            Source::Members => {
                let member = Member {
                    name: LEAVING_LEAF.to_owned(),
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

impl Failure {
    fn begin(self, fleet: &mut Fleet) {
        match self {
            Failure::None | Failure::OwnersReplaced => {}
            Failure::HealthAlwaysServing => {
                let health = Health::Always(State::Serving);
                fleet
                    .leaf(LEAVING_LEAF)
                    .leaf
                    .change(|behaviour| behaviour.health = health);
            }
            Failure::PlatformDown => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.outage = Outage::Unresponsive);
            }
            Failure::OtherDomainCut => {
                fleet.cut(&VmSelector::domain("c"), &VmSelector::domain("a"))
            }
        }
    }

    /// Begins a failure that follows the announcement: replaces the VMs of domain `a`.
    fn begin_after_announcement(self, fleet: &mut Fleet) {
        if self != Failure::OwnersReplaced {
            return;
        }
        for old in fleet.vms_in("a") {
            fleet.add_vm("a").expect("VM starts");
            fleet.kill(&old);
        }
    }
}

#[test]
fn a_leaving_leaf_receives_no_new_requests() {
    for_each(&CASES, |case| {
        let (_permit, mut fleet) = load_balanced::start(400);
        let callers = Callers::start(&fleet);
        case.failure.begin(&mut fleet);
        callers.wait_for_more(40);
        let announced_at = Instant::now();
        case.source.announce(&fleet);
        std::thread::sleep(DRAIN_GRACE);
        let grace_end = Instant::now();
        case.failure.begin_after_announcement(&mut fleet);
        callers.update_targets(&fleet);
        callers.wait_for_more(200);
        let records = callers.stop();
        let log = fleet.leaf(LEAVING_LEAF).leaf.log();
        let late: Vec<_> = log
            .iter()
            .filter(|entry| entry.started > grace_end)
            .collect();
        let count = late.len();
        assert!(
            late.is_empty(),
            "{case:?}: {count} requests came after the grace, the first {:?} after the announcement",
            late[0].started - announced_at
        );
        if !matches!(
            case.failure,
            Failure::OtherDomainCut | Failure::OwnersReplaced
        ) {
            let lost: Vec<_> = records
                .iter()
                .filter(|record| !record.is_complete())
                .collect();
            assert!(
                lost.is_empty(),
                "{case:?}: {} requests lost, the first: {:#?}",
                lost.len(),
                lost[0]
            );
        }
    });
}

#[test]
fn a_leaf_that_returns_receives_requests() {
    check_return(false);
}

#[test]
fn a_leaf_that_returns_to_new_owners_receives_requests() {
    check_return(true);
}

/// Checks that a leaf receives requests again after it has returned to the serving state.
fn check_return(owners_replaced: bool) {
    let sources = [Source::Replies, Source::Health, Source::Operator];
    for_each(&sources, |&source| {
        let (_permit, mut fleet) = load_balanced::start(500);
        let callers = Callers::start(&fleet);
        source.announce(&fleet);
        std::thread::sleep(DRAIN_GRACE);
        if owners_replaced {
            Failure::OwnersReplaced.begin_after_announcement(&mut fleet);
            callers.update_targets(&fleet);
            callers.wait_for_more(20);
        }
        let returned_at = Instant::now();
        let leaf = fleet.leaf(LEAVING_LEAF);
        leaf.leaf.change(|behaviour| {
            behaviour.state = State::Serving;
            behaviour.health = Health::Actual;
        });
        if source == Source::Operator {
            fleet.apply(&fleet.vms_in("b")[0], &[("leaf", leaf.resource())]);
        }
        let has_requests = wait_until(CONVERGENCE_TIMEOUT, || {
            let log = leaf.leaf.log();
            log.iter().any(|entry| entry.started > returned_at)
        });
        drop(callers.stop());
        assert!(
            has_requests,
            "{source:?}, owners replaced: {owners_replaced}: the leaf received no request"
        );
    });
}
