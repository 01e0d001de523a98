//! A configuration that has been accepted is in force everywhere within
//! seconds and never reverts.

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
const WATCH_PERIOD: Duration = Duration::from_millis(50);
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// What fails while a change is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
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

const TROUBLES: [Trouble; 9] = [
    Trouble::None,
    Trouble::PlatformSlow,
    Trouble::ReplyLost,
    Trouble::DomainCutFromPlatform,
    Trouble::DomainCutFromPeers,
    Trouble::DomainCutFromAll,
    Trouble::VmFrozen,
    Trouble::VmKilled,
    Trouble::VmKilledAndDomainCut,
];

impl Trouble {
    fn begin(self, fleet: &mut Fleet) {
        let (far, first) = (VmSelector::domain("c"), fleet.vms_in("c")[0].clone());
        match self {
            Trouble::None => {}
            Trouble::PlatformSlow => {
                let slowness = Duration::from_millis(300);
                fleet
                    .platform
                    .change(|behaviour| behaviour.call_delay = slowness);
            }
            Trouble::ReplyLost => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = 1);
            }
            Trouble::DomainCutFromPlatform => fleet.cut_platform(&far, Flow::Cut),
            Trouble::DomainCutFromPeers => cut_peers(fleet),
            Trouble::DomainCutFromAll => {
                cut_peers(fleet);
                fleet.cut_platform(&far, Flow::Cut);
            }
            Trouble::VmFrozen => fleet.freeze(&first),
            Trouble::VmKilled => fleet.kill(&first),
            Trouble::VmKilledAndDomainCut => {
                fleet.kill(&fleet.vms_in("b")[0].clone());
                fleet.cut_platform(&far, Flow::Cut);
            }
        }
    }

    fn end(self, fleet: &mut Fleet) {
        let (far, first) = (VmSelector::domain("c"), fleet.vms_in("c")[0].clone());
        match self {
            Trouble::DomainCutFromPeers => fleet.heal(),
            Trouble::DomainCutFromAll => {
                fleet.heal();
                fleet.cut_platform(&far, Flow::Open);
            }
            Trouble::VmFrozen => fleet.thaw(&first),
            _ => {}
        }
    }

    /// VMs that can't hear of a change while the trouble lasts.
    fn unaware(self, fleet: &Fleet) -> Vec<String> {
        match self {
            Trouble::DomainCutFromAll => fleet.vms_in("c"),
            _ => Vec::new(),
        }
    }
}

fn cut_peers(fleet: &mut Fleet) {
    for other in ["a", "b"] {
        fleet.cut(&VmSelector::domain("c"), &VmSelector::domain(other));
    }
}

/// Watches the revision of every VM, which may only grow.
struct Revisions {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Revisions {
    fn watch(fleet: &Fleet) -> Revisions {
        let stopped = Arc::new(AtomicBool::new(false));
        let watch = |address: SocketAddr| {
            let stopped = Arc::clone(&stopped);
            std::thread::spawn(move || watch_one(address, &stopped))
        };
        Revisions {
            threads: fleet.running().map(|vm| watch(vm.operator)).collect(),
            stopped,
        }
    }

    /// Ends the watch; panics when a revision fell.
    fn check(self) {
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("a revision fell");
        }
    }
}

fn watch_one(address: SocketAddr, stopped: &AtomicBool) {
    let client = Client::with_timeout(address, WATCH_TIMEOUT);
    let mut highest = 0;
    while !stopped.load(Ordering::Acquire) {
        if let Ok(reply) = client.get("/v1/status") {
            let revision = reply.body["revision"].as_u64().unwrap_or(highest);
            assert!(revision >= highest, "{revision} after {highest}");
            highest = revision;
        }
        std::thread::sleep(WATCH_PERIOD);
    }
}

/// Declares `tickets` with a deadline by which the change is known again.
fn put(client: &Client, base: &Value, deadline_ms: u64, if_match: Option<u64>) -> Reply {
    let mut spec = base.clone();
    spec["deadline_ms"] = json!(deadline_ms);
    let tag = if_match.map(|generation| generation.to_string());
    let headers: Vec<_> = tag.iter().map(|tag| ("If-Match", tag.as_str())).collect();
    let reply = client.call("PUT", SERVICE, &headers, spec.to_string());
    reply.expect("an operator gets a reply")
}

fn resource(client: &Client) -> Value {
    client.get(SERVICE).map_or(Value::Null, |reply| reply.body)
}

/// Whether `tickets` has this deadline on a VM.
fn has(fleet: &Fleet, vm: &str, deadline_ms: u64) -> bool {
    resource(&fleet.operator(vm))["spec"]["deadline_ms"] == json!(deadline_ms)
}

fn wait_in_force(fleet: &Fleet, deadline_ms: u64, except: &[String], what: &str) {
    let running = fleet.running().map(|vm| vm.name.clone());
    let mut expected: Vec<String> = running.filter(|vm| !except.contains(vm)).collect();
    let in_force = wait_until(CONVERGENCE_TIMEOUT, || {
        expected.retain(|vm| !has(fleet, vm, deadline_ms));
        expected.is_empty()
    });
    assert!(
        in_force,
        "{what}: {deadline_ms} is not in force on {expected:?}"
    );
}

fn status(fleet: &Fleet, vm: &str) -> Value {
    let reply = fleet.operator(vm).get("/v1/status");
    reply.expect("status").body
}

/// The status of a failure domain as a VM tells it.
fn domain_status(fleet: &Fleet, vm: &str, domain: &str) -> Value {
    let status = status(fleet, vm);
    let domains = status["failure_domains"].as_array().expect("domains");
    let found = domains.iter().find(|other| other["name"] == json!(domain));
    found.cloned().unwrap_or_default()
}

#[test]
fn an_accepted_change_is_in_force_everywhere_and_stays() {
    for_each(&TROUBLES, |trouble| {
        let (_permit, mut fleet) = load_balanced::start(600);
        let revisions = Revisions::watch(&fleet);
        let entry = fleet.vms_in("a")[0].clone();
        let operator = fleet.operator(&entry);
        let base = resource(&operator)["spec"].clone();
        trouble.begin(&mut fleet);
        let unaware = trouble.unaware(&fleet);
        for deadline_ms in [2_001, 2_002, 2_003] {
            let reply = put(&operator, &base, deadline_ms, None);
            assert_eq!(reply.status, 200, "{trouble:?}: {}", reply.text);
            wait_in_force(&fleet, deadline_ms, &unaware, &format!("{trouble:?}"));
        }
        if *trouble == Trouble::DomainCutFromAll {
            let unknown = wait_until(CONVERGENCE_TIMEOUT, || {
                domain_status(&fleet, &entry, "c")["in_force"] == json!("unknown")
            });
            assert!(unknown, "status claims to know a domain that is cut off");
        }
        trouble.end(&mut fleet);
        wait_in_force(&fleet, 2_003, &[], &format!("{trouble:?}, ended"));
        let known = wait_until(CONVERGENCE_TIMEOUT, || {
            ["a", "b", "c"]
                .iter()
                .all(|domain| domain_status(&fleet, &entry, domain)["in_force"] == json!("yes"))
        });
        assert!(known, "{trouble:?}: {}", status(&fleet, &entry));
        load_balanced::wait_until_serving(&fleet);
        revisions.check();
    });
}

#[test]
fn operators_who_race_get_one_winner() {
    for_each(&[0, 3], |lost_replies| {
        let (_permit, fleet) = load_balanced::start(610);
        let revisions = Revisions::watch(&fleet);
        let [one, other] = ["a", "c"].map(|domain| fleet.operator(&fleet.vms_in(domain)[0]));
        let base = resource(&one)["spec"].clone();
        for round in 0..10 {
            if round == 5 {
                fleet.platform.change(|b| b.lost_replies = *lost_replies);
            }
            let generation = resource(&one)["generation"].as_u64().expect("generation");
            let first = 3_000 + 2 * round;
            let race = |client, value| put(client, &base, value, Some(generation));
            let replies = std::thread::scope(|scope| {
                let running = scope.spawn(|| race(&one, first));
                let reply = race(&other, first + 1);
                [running.join().expect("operator"), reply]
            });
            check_race(&replies, generation);
            let winner = usize::from(replies[1].status == 200) as u64;
            wait_in_force(&fleet, first + winner, &[], "winner");
        }
        revisions.check();
    });
}

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
    let (winner, loser) = (&winner.expect("winner").body, &loser.expect("loser").body);
    assert_eq!(loser["expected"], json!(generation));
    assert_eq!(loser["actual"], winner["generation"]);
    assert_eq!(loser["verdict"], json!("not-run"));
}

#[test]
fn a_platform_that_is_down_stops_changes_but_no_traffic() {
    for_each(&[Outage::Reject, Outage::Unresponsive], |outage| {
        let (_permit, mut fleet) = load_balanced::start(620);
        let revisions = Revisions::watch(&fleet);
        let operator = fleet.operator(&fleet.vms_in("a")[0]);
        let before = resource(&operator);
        let base = before["spec"].clone();
        let callers = Callers::start(&fleet);
        fleet
            .platform
            .change(|behaviour| behaviour.outage = *outage);
        let refused = put(&operator, &base, 2_500, None);
        assert_eq!(refused.status, 503, "{}", refused.text);
        assert_eq!(refused.body["verdict"], json!("not-run"));
        assert!(refused.header("Retry-After").is_some());
        // A VM that starts now gets the configuration from its peers.
        let new = fleet.add_vm("b").expect("VM starts");
        let deadline_ms = before["spec"]["deadline_ms"].as_u64().expect("deadline");
        wait_in_force(&fleet, deadline_ms, &[], "new VM");
        load_balanced::wait_until_serving(&fleet);
        // Again, by way of other failure domains only, after its own died.
        for old in fleet.vms_in("c") {
            fleet.kill(&old);
        }
        callers.update_targets(&fleet);
        let alone = fleet.add_vm("c").expect("VM starts");
        callers.update_targets(&fleet);
        wait_in_force(
            &fleet,
            deadline_ms,
            &[],
            "new VM, alone in its failure domain",
        );
        fleet
            .platform
            .change(|behaviour| behaviour.outage = Outage::None);
        let accepted = wait_until(CONVERGENCE_TIMEOUT, || {
            put(&fleet.operator(&alone), &base, 2_501, None).status == 200
        });
        assert!(accepted, "changes are taken again");
        wait_in_force(&fleet, 2_501, &[], "after the outage");
        let ended = callers.stop();
        let here = fleet.vm(&new).caller;
        let lost: Vec<_> = ended
            .iter()
            .filter(|record| record.target == here && !record.has_reply())
            .collect();
        assert!(lost.is_empty(), "{lost:#?}");
        revisions.check();
    });
}

#[test]
fn an_undecided_change_is_settled_later() {
    let (_permit, fleet) = load_balanced::start(630);
    let entry = fleet.vms_in("a")[0].clone();
    let operator = fleet.operator(&entry);
    let base = resource(&operator)["spec"].clone();
    let reply = put_while_the_platform_goes_down(&fleet, &operator, &base, 2_601);
    assert_eq!(reply.status, 202, "{}", reply.text);
    assert_eq!(reply.body["verdict"], json!("may-have-run"));
    fleet.platform.change(|b| b.outage = Outage::None);
    // The write did take effect: it is in force once, and the status says so.
    wait_in_force(&fleet, 2_601, &[], "undecided");
    let change = reply.body["change"].clone();
    let settled = wait_until(CONVERGENCE_TIMEOUT, || {
        let status = status(&fleet, &entry);
        let undecided = status["undecided"].as_array().expect("undecided");
        let accepted = json!("accepted");
        let mut undecided = undecided.iter();
        undecided.any(|other| other["change"] == change && other["state"] == accepted)
    });
    assert!(settled, "{}", status(&fleet, &entry));
    let revision = status(&fleet, &entry)["revision"].clone();
    assert_eq!(resource(&operator)["generation"], revision);
}

/// Proposes a change whose write takes effect and loses its reply, after which
/// the platform is silent.
fn put_while_the_platform_goes_down(
    fleet: &Fleet,
    operator: &Client,
    base: &Value,
    deadline_ms: u64,
) -> Reply {
    let written = fleet.platform.calls().writes;
    fleet.platform.change(|behaviour| {
        behaviour.call_delay = Duration::from_millis(500);
        behaviour.lost_replies = 1;
    });
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let came = wait_until(CONVERGENCE_TIMEOUT, || {
                fleet.platform.calls().writes > written
            });
            assert!(came, "no write came");
            fleet.platform.change(|behaviour| {
                behaviour.call_delay = Duration::ZERO;
                behaviour.outage = Outage::Unresponsive;
            });
        });
        put(operator, base, deadline_ms, None)
    })
}
