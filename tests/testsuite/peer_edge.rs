//! Parts that an entry VM forwards to the VM that owns the leaf, over links that fail.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use geraniummount::edge::reply_to::ReplyTo;
use geraniummount::prelude::*;
use geraniummount_test_support::leaf::{self as stand_in};
use geraniummount_test_support::proxy::{Flow, Proxy};

use crate::fixtures::{behaviour, catalog, live_vm, part};
use crate::node::Node;

/// Deadline of parts that may fail.
const DEADLINE: Duration = Duration::from_millis(400);
/// Maximum wait for an event, and the deadline of parts that must not fail by their deadline.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const ENTRY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 7, 1));
const OWNER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 7, 2));

/// An entry VM `west`, an owner VM `east` behind a proxy, and a leaf that `east` owns.
struct Fixture {
    entry: Node,
    owner: Node,
    proxy: Proxy,
    stand_in: stand_in::Leaf,
    catalog: Catalog,
}

impl Fixture {
    fn start(delay: Duration) -> Fixture {
        let stand_in = stand_in::Leaf::start("leaf-1", behaviour(delay), 7).unwrap();
        let entry = Node::start("west", ENTRY);
        let owner = Node::start("east", OWNER);
        let proxy = Proxy::start(OWNER, owner.address(), 7).unwrap();
        let catalog = catalog(stand_in.address());
        let vms = [
            live_vm("east", proxy.address()),
            live_vm("west", entry.address()),
        ];
        entry.publish(&catalog, &vms);
        owner.publish(&catalog, &vms);
        // The first connection may take longer than a part's deadline on a busy machine.
        let peers = entry.dispatcher.peers();
        wait_until("connection to the owner", || {
            peers.status(proxy.address(), TEST_TIMEOUT).is_some()
        });
        Fixture {
            entry,
            owner,
            proxy,
            stand_in,
            catalog,
        }
    }

    fn send(&self, part: Part) -> mpsc::Receiver<Outcome> {
        let (sender, receiver) = mpsc::channel();
        let reply = ReplyTo::Caller(sender);
        self.entry.dispatcher.dispatch(part, reply);
        receiver
    }

    fn send_and_wait(&self, part: Part) -> Outcome {
        let attempt = part.attempt;
        let outcome = self.send(part).recv_timeout(TEST_TIMEOUT);
        let outcome = outcome.expect("part has no outcome");
        assert_eq!(outcome.attempt, attempt);
        outcome
    }

    fn has_run(&self, attempt: AttemptId) -> bool {
        self.stand_in.log().iter().any(|run| run.attempt == attempt)
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_part_goes_to_the_owner_and_its_reply_comes_back() {
    let fixture = Fixture::start(Duration::from_millis(1));
    for idempotent in [true, false] {
        let outcome = fixture.send_and_wait(part(idempotent, TEST_TIMEOUT));
        let reply = outcome.result.expect("reply");
        assert_eq!(reply.snapshot, 1);
        assert_eq!(outcome.report.expect("outcome has a report").owner, "east");
    }
    let holdings = fixture.entry.dispatcher.holdings(
        &fixture.catalog.service("tickets").unwrap().spec,
        TEST_TIMEOUT,
    );
    let expected = Holding {
        service: "tickets".to_owned(),
        shard: "a".to_owned(),
        leaf: "leaf-1".to_owned(),
        snapshots: vec![1],
    };
    assert_eq!(holdings, [expected]);
}

#[test]
fn each_of_many_parts_gets_its_own_reply() {
    let fixture = Fixture::start(Duration::from_millis(1));
    let receivers: Vec<_> = (0..200)
        .map(|_| {
            let part = part(true, TEST_TIMEOUT);
            (part.attempt, fixture.send(part))
        })
        .collect();
    for (attempt, receiver) in receivers {
        let outcome = receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("part has no outcome");
        assert_eq!(outcome.attempt, attempt);
        assert!(receiver.recv_timeout(Duration::from_millis(1)).is_err());
        assert_eq!(outcome.result.is_ok(), fixture.has_run(attempt));
    }
    wait_until("no part in flight", || {
        fixture.entry.dispatcher.in_flight() == 0
    });
}

/// A failure of the link between the entry VM and the owner.
struct Case {
    name: &'static str,
    break_link: fn(&mut Fixture),
    restore_link: fn(&mut Fixture),
}

const CASES: &[Case] = &[
    Case {
        name: "open connections deliver nothing",
        break_link: |fixture| fixture.proxy.blackhole_connections(),
        restore_link: |_| {},
    },
    Case {
        name: "open connections break",
        break_link: |fixture| fixture.proxy.close_connections(),
        restore_link: |_| {},
    },
    Case {
        name: "link cut in both directions",
        break_link: |fixture| {
            fixture.proxy.change_all(|link| {
                link.forward = Flow::Cut;
                link.back = Flow::Cut;
            });
        },
        restore_link: |fixture| {
            fixture.proxy.change_all(|link| {
                link.forward = Flow::Open;
                link.back = Flow::Open;
            });
        },
    },
    Case {
        name: "link cut from the owner to the entry VM",
        break_link: |fixture| fixture.proxy.change_all(|link| link.back = Flow::Cut),
        restore_link: |fixture| fixture.proxy.change_all(|link| link.back = Flow::Open),
    },
    Case {
        name: "connections refused",
        break_link: |fixture| {
            fixture.proxy.change_all(|link| link.refuse = true);
            fixture.proxy.close_connections();
        },
        restore_link: |fixture| fixture.proxy.change_all(|link| link.refuse = false),
    },
    Case {
        name: "owner stops",
        break_link: |fixture| fixture.owner.server = None,
        restore_link: |_| {},
    },
];

#[test]
fn a_part_reported_as_not_run_never_runs_however_the_link_fails() {
    for case in CASES {
        let mut fixture = Fixture::start(Duration::from_millis(20));
        fixture
            .send_and_wait(part(true, TEST_TIMEOUT))
            .result
            .expect("first reply");
        let mut sent = Vec::new();
        for round in 0..6 {
            for idempotent in [true, false] {
                let part = part(idempotent, DEADLINE);
                sent.push((part.attempt, fixture.send(part)));
            }
            if round == 1 {
                thread::sleep(Duration::from_millis(5));
                (case.break_link)(&mut fixture);
            }
            thread::sleep(Duration::from_millis(10));
        }
        let mut not_run = Vec::new();
        for (attempt, receiver) in sent {
            let outcome = receiver.recv_timeout(TEST_TIMEOUT).expect(case.name);
            match outcome.result {
                Ok(_) => assert!(fixture.has_run(attempt), "{}", case.name),
                Err(failure) if failure.verdict == Verdict::NotRun => not_run.push(attempt),
                Err(_) => {}
            }
        }
        (case.restore_link)(&mut fixture);
        thread::sleep(DEADLINE);
        for attempt in not_run {
            assert!(!fixture.has_run(attempt), "{}", case.name);
        }
    }
}

#[test]
fn traffic_resumes_after_the_link_is_restored() {
    for case in &CASES[..CASES.len() - 1] {
        let mut fixture = Fixture::start(Duration::from_millis(1));
        fixture
            .send_and_wait(part(true, TEST_TIMEOUT))
            .result
            .expect("first reply");
        (case.break_link)(&mut fixture);
        thread::sleep(DEADLINE);
        (case.restore_link)(&mut fixture);
        wait_until(case.name, || {
            fixture.send_and_wait(part(false, DEADLINE)).result.is_ok()
        });
    }
}

#[test]
fn an_unresponsive_connection_carries_no_part_after_an_idle_period() {
    let fixture = Fixture::start(Duration::from_millis(1));
    fixture
        .send_and_wait(part(false, TEST_TIMEOUT))
        .result
        .expect("first reply");
    fixture.proxy.blackhole_connections();
    // Exceeds the time for which a peer counts as responsive after its last answer.
    thread::sleep(Duration::from_millis(1500));
    wait_until("reply on a new connection", || {
        let result = fixture.send_and_wait(part(false, TEST_TIMEOUT)).result;
        // Any other failure would mean that the part was sent on the unresponsive connection.
        let refused = Err(Reason::ConnectFailed);
        let reason = result.map(drop).map_err(|failure| failure.reason);
        assert!(reason.is_ok() || reason == refused, "{reason:?}");
        reason.is_ok()
    });
}

#[test]
fn a_part_for_an_unresponsive_peer_is_reported_as_not_run() {
    let mut fixture = Fixture::start(Duration::from_millis(1));
    fixture
        .send_and_wait(part(true, TEST_TIMEOUT))
        .result
        .expect("first reply");
    let cut = CASES
        .iter()
        .find(|case| case.name == "link cut in both directions")
        .unwrap();
    (cut.break_link)(&mut fixture);
    // The proxy still accepts connections, but no bytes pass through them.
    wait_until("rejection long before the deadline", || {
        let failure = fixture
            .send_and_wait(part(false, TEST_TIMEOUT))
            .result
            .unwrap_err();
        failure.verdict == Verdict::NotRun && failure.reason == Reason::ConnectFailed
    });
    (cut.restore_link)(&mut fixture);
    wait_until("answer", || {
        fixture.send_and_wait(part(false, DEADLINE)).result.is_ok()
    });
}

#[test]
fn a_cancelled_part_ends_at_once_and_is_cancelled_at_the_leaf() {
    let fixture = Fixture::start(TEST_TIMEOUT);
    let part = part(true, TEST_TIMEOUT * 2);
    let attempt = part.attempt;
    let receiver = fixture.send(part);
    assert!(
        fixture
            .stand_in
            .wait_for(TEST_TIMEOUT, |run| run.attempt == attempt)
    );
    fixture
        .entry
        .dispatcher
        .cancel(attempt, &"leaf-1".to_owned());
    let outcome = receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("part has no outcome");
    let failure = outcome.result.unwrap_err();
    assert_eq!(failure, Failure::may_have_run(Reason::Cancelled));
    assert!(
        fixture
            .stand_in
            .wait_for(TEST_TIMEOUT, |run| is_cancelled(run, attempt))
    );
}

#[test]
fn a_part_whose_connection_breaks_is_cancelled_at_the_leaf() {
    let fixture = Fixture::start(TEST_TIMEOUT);
    let part = part(true, TEST_TIMEOUT * 2);
    let attempt = part.attempt;
    let receiver = fixture.send(part);
    assert!(
        fixture
            .stand_in
            .wait_for(TEST_TIMEOUT, |run| run.attempt == attempt)
    );
    fixture.proxy.close_connections();
    let outcome = receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("part has no outcome");
    let failure = outcome.result.unwrap_err();
    assert_eq!(failure, Failure::may_have_run(Reason::Unreachable));
    assert!(
        fixture
            .stand_in
            .wait_for(TEST_TIMEOUT, |run| is_cancelled(run, attempt))
    );
}

fn is_cancelled(run: &stand_in::Execution, attempt: AttemptId) -> bool {
    let end = run.end.map(|(ending, _)| ending);
    run.attempt == attempt && end == Some(stand_in::Ending::Cancelled)
}

#[test]
fn a_part_without_hops_left_is_rejected_by_a_vm_without_a_share() {
    let fixture = Fixture::start(Duration::from_millis(1));
    let part = Part {
        hops_left: 0,
        ..part(true, DEADLINE)
    };
    let failure = fixture.send_and_wait(part).result.unwrap_err();
    assert_eq!(
        (failure.verdict, failure.reason),
        (Verdict::NotRun, Reason::NoOwner)
    );
}

#[test]
fn a_drained_server_has_answered_the_parts_in_flight() {
    let fixture = Fixture::start(Duration::from_millis(100));
    let receivers: Vec<_> = (0..8)
        .map(|_| fixture.send(part(true, TEST_TIMEOUT)))
        .collect();
    wait_until("parts at the leaf", || fixture.stand_in.log().len() == 8);
    fixture.owner.server.as_ref().unwrap().drain();
    for receiver in receivers {
        let outcome = receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("part has no outcome");
        outcome.result.expect("part in flight is completed");
    }
}

#[test]
fn control_requests_changes_and_status_from_peers() {
    let fixture = Fixture::start(Duration::from_millis(1));
    let peers = fixture.entry.dispatcher.peers();
    let changes = peers
        .changes(fixture.proxy.address(), 5, TEST_TIMEOUT)
        .expect("peer sends its changes");
    assert_eq!(changes.revision, 7);
    assert_eq!(changes.entries, [b"one".to_vec(), b"two".to_vec()]);
    let status = peers.status(fixture.proxy.address(), TEST_TIMEOUT);
    assert_eq!(status.as_deref(), Some(&b"{}"[..]));
    fixture.proxy.change_all(|link| link.back = Flow::Cut);
    assert_eq!(peers.changes(fixture.proxy.address(), 5, DEADLINE), None);
}
