//! The edge to peers: an entry VM, an owner in another failure domain, a leaf.

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

const DEADLINE: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(20);
const ENTRY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 7, 1));
const OWNER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 7, 2));

/// An entry VM "west", an owner VM "east" behind a proxy, and a leaf there.
struct Bench {
    entry: Node,
    owner: Node,
    proxy: Proxy,
    stand_in: stand_in::Leaf,
    catalog: Catalog,
}

impl Bench {
    fn start(delay: Duration) -> Bench {
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
        // On a busy machine the first connection may take too long.
        let peers = entry.dispatcher.peers();
        wait_until("connection", || {
            peers.status(proxy.address(), LIMIT).is_some()
        });
        Bench {
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

    fn ask(&self, part: Part) -> Outcome {
        let attempt = part.attempt;
        let outcome = self.send(part).recv_timeout(LIMIT);
        let outcome = outcome.expect("part has no outcome");
        assert_eq!(outcome.attempt, attempt);
        outcome
    }

    fn ran(&self, attempt: AttemptId) -> bool {
        self.stand_in.log().iter().any(|run| run.attempt == attempt)
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "never seen: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_part_goes_to_the_owner_and_its_reply_comes_back() {
    let bench = Bench::start(Duration::from_millis(1));
    for idempotent in [true, false] {
        let outcome = bench.ask(part(idempotent, LIMIT));
        let reply = outcome.result.expect("reply");
        assert_eq!(reply.snapshot, 1);
        assert_eq!(outcome.report.expect("report").owner, "east");
    }
    let holdings = bench
        .entry
        .dispatcher
        .holdings(&bench.catalog.service("tickets").unwrap().spec, LIMIT);
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
    let bench = Bench::start(Duration::from_millis(1));
    let waits: Vec<_> = (0..200)
        .map(|_| {
            let part = part(true, LIMIT);
            (part.attempt, bench.send(part))
        })
        .collect();
    for (attempt, wait) in waits {
        let outcome = wait.recv_timeout(LIMIT).expect("no outcome");
        assert_eq!(outcome.attempt, attempt);
        assert!(wait.recv_timeout(Duration::from_millis(1)).is_err());
        assert_eq!(outcome.result.is_ok(), bench.ran(attempt));
    }
    wait_until("no part in flight", || {
        bench.entry.dispatcher.in_flight() == 0
    });
}

/// What happens to the way between entry and owner.
struct Case {
    name: &'static str,
    break_way: fn(&mut Bench),
    mend_way: fn(&mut Bench),
}

const CASES: &[Case] = &[
    Case {
        name: "open connections go silent",
        break_way: |bench| bench.proxy.blackhole_connections(),
        mend_way: |_| {},
    },
    Case {
        name: "open connections break",
        break_way: |bench| bench.proxy.close_connections(),
        mend_way: |_| {},
    },
    Case {
        name: "cut both ways",
        break_way: |bench| {
            bench.proxy.change_all(|link| {
                link.forward = Flow::Cut;
                link.back = Flow::Cut;
            });
        },
        mend_way: |bench| {
            bench.proxy.change_all(|link| {
                link.forward = Flow::Open;
                link.back = Flow::Open;
            });
        },
    },
    Case {
        name: "cut on the way back",
        break_way: |bench| bench.proxy.change_all(|link| link.back = Flow::Cut),
        mend_way: |bench| bench.proxy.change_all(|link| link.back = Flow::Open),
    },
    Case {
        name: "connections refused",
        break_way: |bench| {
            bench.proxy.change_all(|link| link.refuse = true);
            bench.proxy.close_connections();
        },
        mend_way: |bench| bench.proxy.change_all(|link| link.refuse = false),
    },
    Case {
        name: "owner's process ends",
        break_way: |bench| bench.owner.server = None,
        mend_way: |_| {},
    },
];

#[test]
fn a_refusal_as_not_run_is_true_whatever_happens_to_the_way() {
    for case in CASES {
        let mut bench = Bench::start(Duration::from_millis(20));
        bench.ask(part(true, LIMIT)).result.expect("first reply");
        let mut sent = Vec::new();
        for round in 0..6 {
            for idempotent in [true, false] {
                let part = part(idempotent, DEADLINE);
                sent.push((part.attempt, bench.send(part)));
            }
            if round == 1 {
                thread::sleep(Duration::from_millis(5));
                (case.break_way)(&mut bench);
            }
            thread::sleep(Duration::from_millis(10));
        }
        let mut not_run = Vec::new();
        for (attempt, wait) in sent {
            let outcome = wait.recv_timeout(LIMIT).expect(case.name);
            match outcome.result {
                Ok(_) => assert!(bench.ran(attempt), "{}", case.name),
                Err(failure) if failure.verdict == Verdict::NotRun => not_run.push(attempt),
                Err(_) => {}
            }
        }
        (case.mend_way)(&mut bench);
        thread::sleep(DEADLINE);
        for attempt in not_run {
            assert!(!bench.ran(attempt), "{}", case.name);
        }
    }
}

#[test]
fn traffic_goes_on_after_the_way_is_mended() {
    for case in &CASES[..CASES.len() - 1] {
        let mut bench = Bench::start(Duration::from_millis(1));
        bench.ask(part(true, LIMIT)).result.expect("first reply");
        (case.break_way)(&mut bench);
        thread::sleep(DEADLINE);
        (case.mend_way)(&mut bench);
        wait_until(case.name, || {
            bench.ask(part(false, DEADLINE)).result.is_ok()
        });
    }
}

#[test]
fn a_silent_connection_carries_no_part_after_a_quiet_time() {
    let bench = Bench::start(Duration::from_millis(1));
    bench.ask(part(false, LIMIT)).result.expect("first reply");
    bench.proxy.blackhole_connections();
    // Longer than a connection is trusted without a sign of life.
    thread::sleep(Duration::from_millis(1500));
    wait_until("reply on a new connection", || {
        let result = bench.ask(part(false, LIMIT)).result;
        // No other failure may come, not even once.
        let refused = Err(Reason::ConnectFailed);
        let reason = result.map(drop).map_err(|failure| failure.reason);
        assert!(reason.is_ok() || reason == refused, "{reason:?}");
        reason.is_ok()
    });
}

#[test]
fn a_part_for_a_peer_that_does_not_answer_is_refused_as_not_run() {
    let mut bench = Bench::start(Duration::from_millis(1));
    bench.ask(part(true, LIMIT)).result.expect("first reply");
    let cut = CASES
        .iter()
        .find(|case| case.name == "cut both ways")
        .unwrap();
    (cut.break_way)(&mut bench);
    // Connections to the proxy still open, but nobody answers on them.
    wait_until("refusal long before the deadline", || {
        let failure = bench.ask(part(false, LIMIT)).result.unwrap_err();
        failure.verdict == Verdict::NotRun && failure.reason == Reason::ConnectFailed
    });
    (cut.mend_way)(&mut bench);
    wait_until("answer", || bench.ask(part(false, DEADLINE)).result.is_ok());
}

#[test]
fn a_cancelled_part_ends_at_once_and_at_the_leaf() {
    let bench = Bench::start(LIMIT);
    let part = part(true, LIMIT * 2);
    let attempt = part.attempt;
    let wait = bench.send(part);
    assert!(bench.stand_in.wait_for(LIMIT, |run| run.attempt == attempt));
    bench.entry.dispatcher.cancel(attempt, &"leaf-1".to_owned());
    let outcome = wait.recv_timeout(LIMIT).expect("no outcome");
    let failure = outcome.result.unwrap_err();
    assert_eq!(failure, Failure::may_have_run(Reason::Cancelled));
    assert!(
        bench
            .stand_in
            .wait_for(LIMIT, |run| is_cancelled(run, attempt))
    );
}

#[test]
fn a_part_of_a_lost_caller_is_cancelled_at_the_leaf() {
    let bench = Bench::start(LIMIT);
    let part = part(true, LIMIT * 2);
    let attempt = part.attempt;
    let wait = bench.send(part);
    assert!(bench.stand_in.wait_for(LIMIT, |run| run.attempt == attempt));
    bench.proxy.close_connections();
    let outcome = wait.recv_timeout(LIMIT).expect("no outcome");
    let failure = outcome.result.unwrap_err();
    assert_eq!(failure, Failure::may_have_run(Reason::Unreachable));
    assert!(
        bench
            .stand_in
            .wait_for(LIMIT, |run| is_cancelled(run, attempt))
    );
}

fn is_cancelled(run: &stand_in::Execution, attempt: AttemptId) -> bool {
    let end = run.end.map(|(ending, _)| ending);
    run.attempt == attempt && end == Some(stand_in::Ending::Cancelled)
}

#[test]
fn a_part_without_hops_left_is_refused_by_a_vm_that_owns_no_share() {
    let bench = Bench::start(Duration::from_millis(1));
    let part = Part {
        hops_left: 0,
        ..part(true, DEADLINE)
    };
    let failure = bench.ask(part).result.unwrap_err();
    assert_eq!(
        (failure.verdict, failure.reason),
        (Verdict::NotRun, Reason::NoOwner)
    );
}

#[test]
fn a_finished_server_has_answered_the_parts_in_flight() {
    let bench = Bench::start(Duration::from_millis(100));
    let waits: Vec<_> = (0..8).map(|_| bench.send(part(true, LIMIT))).collect();
    wait_until("parts at the leaf", || bench.stand_in.log().len() == 8);
    bench.owner.server.as_ref().unwrap().drain();
    for wait in waits {
        let outcome = wait.recv_timeout(LIMIT).expect("no outcome");
        outcome.result.expect("part in flight was cut off");
    }
}

#[test]
fn control_asks_peers_for_changes_and_status() {
    let bench = Bench::start(Duration::from_millis(1));
    let peers = bench.entry.dispatcher.peers();
    let changes = peers
        .changes(bench.proxy.address(), 5, LIMIT)
        .expect("changes");
    assert_eq!(changes.revision, 7);
    assert_eq!(changes.entries, [b"one".to_vec(), b"two".to_vec()]);
    let status = peers.status(bench.proxy.address(), LIMIT);
    assert_eq!(status.as_deref(), Some(&b"{}"[..]));
    bench.proxy.change_all(|link| link.back = Flow::Cut);
    assert_eq!(peers.changes(bench.proxy.address(), 5, DEADLINE), None);
}
