//! Promise: an accepted configuration change is in force on every VM within seconds and never
//! reverts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use geraniummount_test_support::client::{Client, Reply};
use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, Fleet, VmSelector, wait_until};
use geraniummount_test_support::platform::Outage;
use geraniummount_test_support::proxy::Flow;
use serde_json::{Value, json};

use crate::load_balanced::{self, Callers};
use crate::testbed::for_each;

const SERVICE: &str = "/v1/resources/service/tickets";
/// Interval at which [`RevisionMonitor`] polls each VM.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one poll.
const REVISION_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// A failure during a configuration change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    None,
    PlatformSlow,
    ReplyLost,
    DomainCutFromPlatform,
    DomainCutFromPeers,
    DomainCutFromAll,
    VmFrozen,
    VmKilled,
    VmKilledAndDomainCut,
}

const FAILURES: [Failure; 9] = [
    Failure::None,
    Failure::PlatformSlow,
    Failure::ReplyLost,
    Failure::DomainCutFromPlatform,
    Failure::DomainCutFromPeers,
    Failure::DomainCutFromAll,
    Failure::VmFrozen,
    Failure::VmKilled,
    Failure::VmKilledAndDomainCut,
];

impl Failure {
    fn begin(self, fleet: &mut Fleet) {
        let (domain, vm) = (VmSelector::domain("c"), fleet.vms_in("c")[0].clone());
        match self {
            Failure::None => {}
            Failure::PlatformSlow => {
                let call_delay = Duration::from_millis(300);
                fleet
                    .platform
                    .change(|behaviour| behaviour.call_delay = call_delay);
            }
            Failure::ReplyLost => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = 1);
            }
            Failure::DomainCutFromPlatform => fleet.cut_platform(&domain, Flow::Cut),
            Failure::DomainCutFromPeers => cut_peers(fleet),
            Failure::DomainCutFromAll => {
                cut_peers(fleet);
                fleet.cut_platform(&domain, Flow::Cut);
            }
            Failure::VmFrozen => fleet.freeze(&vm),
            Failure::VmKilled => fleet.kill(&vm),
            Failure::VmKilledAndDomainCut => {
                fleet.kill(&fleet.vms_in("b")[0].clone());
                fleet.cut_platform(&domain, Flow::Cut);
            }
        }
    }

    fn end(self, fleet: &mut Fleet) {
        let (domain, vm) = (VmSelector::domain("c"), fleet.vms_in("c")[0].clone());
        match self {
            Failure::DomainCutFromPeers => fleet.heal(),
            Failure::DomainCutFromAll => {
                fleet.heal();
                fleet.cut_platform(&domain, Flow::Open);
            }
            Failure::VmFrozen => fleet.thaw(&vm),
            _ => {}
        }
    }

    /// Returns the VMs that cannot receive a change during the failure.
    fn unreachable_vms(self, fleet: &Fleet) -> Vec<String> {
        match self {
            Failure::DomainCutFromAll => fleet.vms_in("c"),
            _ => Vec::new(),
        }
    }
}

/// Cuts the links between the VMs of domain `c` and all other VMs.
fn cut_peers(fleet: &mut Fleet) {
    for other in ["a", "b"] {
        fleet.cut(&VmSelector::domain("c"), &VmSelector::domain(other));
    }
}

/// Polls the revision of every VM, which must never decrease.
struct RevisionMonitor {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl RevisionMonitor {
    fn start(fleet: &Fleet) -> RevisionMonitor {
        let stopped = Arc::new(AtomicBool::new(false));
        let spawn_poll = |address: SocketAddr| {
            let stopped = Arc::clone(&stopped);
            std::thread::spawn(move || poll_revision(address, &stopped))
        };
        RevisionMonitor {
            threads: fleet.running().map(|vm| spawn_poll(vm.operator)).collect(),
            stopped,
        }
    }

    /// Stops polling. Panics if a revision decreased.
    fn check(self) {
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("the revision of a VM decreased");
        }
    }
}

fn poll_revision(address: SocketAddr, stopped: &AtomicBool) {
    let client = Client::with_timeout(address, REVISION_POLL_TIMEOUT);
    let mut highest = 0;
    while !stopped.load(Ordering::Acquire) {
        if let Ok(reply) = client.get("/v1/status") {
            let revision = reply.body["revision"].as_u64().unwrap_or(highest);
            assert!(
                revision >= highest,
                "revision {revision} follows revision {highest}"
            );
            highest = revision;
        }
        std::thread::sleep(REVISION_POLL_INTERVAL);
    }
}

/// Replaces the deadline of the service `tickets`. The tests recognize a change by its deadline.
fn put_deadline(client: &Client, base: &Value, deadline_ms: u64, if_match: Option<u64>) -> Reply {
    let mut spec = base.clone();
    spec["deadline_ms"] = json!(deadline_ms);
    let tag = if_match.map(|generation| generation.to_string());
    let headers: Vec<_> = tag.iter().map(|tag| ("If-Match", tag.as_str())).collect();
    let reply = client.call("PUT", SERVICE, &headers, spec.to_string());
    reply.expect("operators' listener replies")
}

/// Returns the resource of `tickets`, or null if the VM does not reply.
fn resource(client: &Client) -> Value {
    client.get(SERVICE).map_or(Value::Null, |reply| reply.body)
}

/// Returns whether `tickets` has this deadline on a VM.
fn has_deadline(fleet: &Fleet, vm: &str, deadline_ms: u64) -> bool {
    resource(&fleet.operator(vm))["spec"]["deadline_ms"] == json!(deadline_ms)
}

/// Waits until `tickets` has this deadline on every running VM outside `excluded`. Panics after
/// [`CONVERGENCE_TIMEOUT`].
fn wait_until_in_force(fleet: &Fleet, deadline_ms: u64, excluded: &[String], context: &str) {
    let running = fleet.running().map(|vm| vm.name.clone());
    let mut pending: Vec<String> = running.filter(|vm| !excluded.contains(vm)).collect();
    let is_in_force = wait_until(CONVERGENCE_TIMEOUT, || {
        pending.retain(|vm| !has_deadline(fleet, vm, deadline_ms));
        pending.is_empty()
    });
    assert!(
        is_in_force,
        "{context}: deadline {deadline_ms} ms is not in force on {pending:?}"
    );
}

fn status(fleet: &Fleet, vm: &str) -> Value {
    let reply = fleet.operator(vm).get("/v1/status");
    reply.expect("VM returns its status").body
}

/// Returns the status of a failure domain as a VM reports it, or null if the VM omits it.
fn domain_status(fleet: &Fleet, vm: &str, domain: &str) -> Value {
    let status = status(fleet, vm);
    let domains = status["failure_domains"]
        .as_array()
        .expect("status lists failure domains");
    let found = domains.iter().find(|other| other["name"] == json!(domain));
    found.cloned().unwrap_or_default()
}

#[test]
fn an_accepted_change_is_in_force_everywhere_and_stays() {
    for_each(&FAILURES, |failure| {
        let (_permit, mut fleet) = load_balanced::start(600);
        let revision_monitor = RevisionMonitor::start(&fleet);
        let entry = fleet.vms_in("a")[0].clone();
        let operator = fleet.operator(&entry);
        let base = resource(&operator)["spec"].clone();
        failure.begin(&mut fleet);
        let unreachable = failure.unreachable_vms(&fleet);
        for deadline_ms in [2_001, 2_002, 2_003] {
            let reply = put_deadline(&operator, &base, deadline_ms, None);
            assert_eq!(reply.status, 200, "{failure:?}: {}", reply.text);
            wait_until_in_force(&fleet, deadline_ms, &unreachable, &format!("{failure:?}"));
        }
        if *failure == Failure::DomainCutFromAll {
            let is_unknown = wait_until(CONVERGENCE_TIMEOUT, || {
                domain_status(&fleet, &entry, "c")["in_force"] == json!("unknown")
            });
            assert!(
                is_unknown,
                "status of {entry} does not report isolated domain c as unknown"
            );
        }
        failure.end(&mut fleet);
        wait_until_in_force(&fleet, 2_003, &[], &format!("after {failure:?}"));
        let is_in_force = wait_until(CONVERGENCE_TIMEOUT, || {
            ["a", "b", "c"]
                .iter()
                .all(|domain| domain_status(&fleet, &entry, domain)["in_force"] == json!("yes"))
        });
        assert!(is_in_force, "{failure:?}: {}", status(&fleet, &entry));
        load_balanced::wait_until_serving(&fleet);
        revision_monitor.check();
    });
}

#[test]
fn concurrent_conditional_changes_have_one_winner() {
    for_each(&[0, 3], |lost_replies| {
        let (_permit, fleet) = load_balanced::start(610);
        let revision_monitor = RevisionMonitor::start(&fleet);
        let [first, second] = ["a", "c"].map(|domain| fleet.operator(&fleet.vms_in(domain)[0]));
        let base = resource(&first)["spec"].clone();
        for round in 0..10 {
            if round == 5 {
                fleet.platform.change(|b| b.lost_replies = *lost_replies);
            }
            let generation = resource(&first)["generation"].as_u64().expect("generation");
            let deadline_ms = 3_000 + 2 * round;
            let change =
                |client, deadline_ms| put_deadline(client, &base, deadline_ms, Some(generation));
            let replies = std::thread::scope(|scope| {
                let first_change = scope.spawn(|| change(&first, deadline_ms));
                let reply = change(&second, deadline_ms + 1);
                [first_change.join().expect("a change panicked"), reply]
            });
            check_race(&replies, generation);
            let winner_index = usize::from(replies[1].status == 200) as u64;
            wait_until_in_force(&fleet, deadline_ms + winner_index, &[], "accepted change");
        }
        revision_monitor.check();
    });
}

/// Checks that one of two changes of the same generation was accepted and the other rejected
/// with the generation that the accepted one created.
fn check_race(replies: &[Reply; 2], generation: u64) {
    let mut statuses = replies.each_ref().map(|reply| reply.status);
    statuses.sort_unstable();
    assert_eq!(
        statuses,
        [200, 409],
        "{} / {}",
        replies[0].text,
        replies[1].text
    );
    let winner = replies.iter().find(|reply| reply.status == 200);
    let loser = replies.iter().find(|reply| reply.status == 409);
    let (winner, loser) = (
        &winner.expect("one change is accepted").body,
        &loser.expect("one change is rejected").body,
    );
    assert_eq!(loser["expected"], json!(generation));
    assert_eq!(loser["actual"], winner["generation"]);
    assert_eq!(loser["verdict"], json!("not-run"));
}

#[test]
fn platform_outage_rejects_changes_but_serves_requests() {
    for_each(&[Outage::Reject, Outage::Unresponsive], |outage| {
        let (_permit, mut fleet) = load_balanced::start(620);
        let revision_monitor = RevisionMonitor::start(&fleet);
        let operator = fleet.operator(&fleet.vms_in("a")[0]);
        let before = resource(&operator);
        let base = before["spec"].clone();
        let callers = Callers::start(&fleet);
        fleet
            .platform
            .change(|behaviour| behaviour.outage = *outage);
        let rejected = put_deadline(&operator, &base, 2_500, None);
        assert_eq!(rejected.status, 503, "{}", rejected.text);
        assert_eq!(rejected.body["verdict"], json!("not-run"));
        assert!(rejected.header("Retry-After").is_some());
        // A VM that starts during the outage receives the configuration from its peers.
        let new_vm = fleet.add_vm("b").expect("VM starts");
        let deadline_ms = before["spec"]["deadline_ms"].as_u64().expect("deadline");
        wait_until_in_force(&fleet, deadline_ms, &[], "new VM");
        load_balanced::wait_until_serving(&fleet);
        // A VM whose failure domain has no other VM receives it from other failure domains.
        for old in fleet.vms_in("c") {
            fleet.kill(&old);
        }
        callers.update_targets(&fleet);
        let lone_vm = fleet.add_vm("c").expect("VM starts");
        callers.update_targets(&fleet);
        wait_until_in_force(
            &fleet,
            deadline_ms,
            &[],
            "new VM that is the only one in its failure domain",
        );
        fleet
            .platform
            .change(|behaviour| behaviour.outage = Outage::None);
        let is_accepted = wait_until(CONVERGENCE_TIMEOUT, || {
            put_deadline(&fleet.operator(&lone_vm), &base, 2_501, None).status == 200
        });
        assert!(is_accepted, "no change was accepted after the outage");
        wait_until_in_force(&fleet, 2_501, &[], "after the outage");
        let records = callers.stop();
        let new_address = fleet.vm(&new_vm).caller;
        let lost: Vec<_> = records
            .iter()
            .filter(|record| record.target == new_address && !record.has_reply())
            .collect();
        assert!(
            lost.is_empty(),
            "requests without a complete reply: {lost:#?}"
        );
        revision_monitor.check();
    });
}

#[test]
fn an_undecided_change_is_resolved_after_the_outage() {
    let (_permit, fleet) = load_balanced::start(630);
    let entry = fleet.vms_in("a")[0].clone();
    let operator = fleet.operator(&entry);
    let base = resource(&operator)["spec"].clone();
    let reply = put_during_platform_failure(&fleet, &operator, &base, 2_601);
    assert_eq!(reply.status, 202, "{}", reply.text);
    assert_eq!(reply.body["verdict"], json!("may-have-run"));
    fleet.platform.change(|b| b.outage = Outage::None);
    // The write took effect: the change comes into force, and the status reports it as accepted.
    wait_until_in_force(&fleet, 2_601, &[], "undecided change");
    let change = reply.body["change"].clone();
    let is_resolved = wait_until(CONVERGENCE_TIMEOUT, || {
        let status = status(&fleet, &entry);
        let undecided = status["undecided"]
            .as_array()
            .expect("status lists undecided changes");
        let accepted = json!("accepted");
        let mut undecided = undecided.iter();
        undecided.any(|other| other["change"] == change && other["state"] == accepted)
    });
    assert!(is_resolved, "{}", status(&fleet, &entry));
    let revision = status(&fleet, &entry)["revision"].clone();
    assert_eq!(resource(&operator)["generation"], revision);
}

/// Sends a change whose write takes effect while the reply to the write is lost. The platform is
/// unresponsive from then on.
fn put_during_platform_failure(
    fleet: &Fleet,
    operator: &Client,
    base: &Value,
    deadline_ms: u64,
) -> Reply {
    let writes_before = fleet.platform.calls().writes;
    fleet.platform.change(|behaviour| {
        behaviour.call_delay = Duration::from_millis(500);
        behaviour.lost_replies = 1;
    });
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let has_written = wait_until(CONVERGENCE_TIMEOUT, || {
                fleet.platform.calls().writes > writes_before
            });
            assert!(has_written, "the platform received no write");
            fleet.platform.change(|behaviour| {
                behaviour.call_delay = Duration::ZERO;
                behaviour.outage = Outage::Unresponsive;
            });
        });
        put_deadline(operator, base, deadline_ms, None)
    })
}
