//! The dispatcher's connections to a leaf: the outcome of each kind of reply, the limit on
//! connections, cancellation and draining.

mod endless;
mod statuses;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use geraniummount::core::config::contract::Contract;
use geraniummount::core::gossip::Source;
use geraniummount::core::{leaf, vm};
use geraniummount::edge::dispatcher::{Dispatcher, Options};
use geraniummount::edge::reply_to::ReplyTo;
use geraniummount::prelude::*;
use geraniummount::util::published::Published;
use geraniummount_test_support::leaf::{self as stand_in, Behaviour, Delay, Fault};
use geraniummount_test_support::proxy::Proxy;

use crate::fixtures;

/// Deadline of parts that may fail.
const DEADLINE: Duration = Duration::from_millis(400);
/// Maximum wait for an event, and the deadline of parts that must not fail by their deadline.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const SHARD: &str = "tickets/a";

/// One stand-in leaf and the dispatcher of the VM that owns it.
struct Fixture {
    stand_in: stand_in::Leaf,
    view: Arc<Published<View>>,
    dispatcher: Dispatcher,
    notices: Arc<Mutex<Vec<bool>>>,
}

impl Fixture {
    fn start(behaviour: Behaviour) -> Fixture {
        let connections = behaviour.connections as u16;
        let slots = behaviour.slots as u16;
        let behaviour = Behaviour {
            shards: vec![SHARD.to_owned()],
            ..behaviour
        };
        let stand_in = stand_in::Leaf::start("leaf-1", behaviour, 7).unwrap();
        let leaf = Leaf {
            name: "leaf-1".to_owned(),
            address: stand_in.address(),
            failure_domain: "east".to_owned(),
            contract: Contract {
                slots,
                connections,
                open_ms: 1,
            },
            state: leaf::State::Serving,
        };
        let view = Arc::new(Published::new(view_of(leaf)));
        let notices = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&notices);
        let notice = Box::new(move |_: &LeafName, source, draining| {
            if source == Source::Leaf {
                recorded.lock().unwrap().push(draining);
            }
        });
        let options = Options {
            bind: IpAddr::V4(Ipv4Addr::LOCALHOST),
            max_reply_bytes: 64 * 1024,
        };
        Fixture {
            dispatcher: Dispatcher::new(options, Arc::clone(&view), notice),
            stand_in,
            view,
            notices,
        }
    }

    fn insert_proxy(&mut self) -> Proxy {
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, self.stand_in.address(), 7).unwrap();
        self.set_leaf_address(proxy.address());
        proxy
    }

    /// Registers the leaf at another address.
    fn set_leaf_address(&self, address: SocketAddr) {
        let mut view = View::clone(&self.view.get());
        let mut catalog = Catalog::clone(&view.catalog);
        let mut record = catalog.leaf("leaf-1").unwrap().clone();
        record.spec.address = address;
        catalog.leaves.put(record);
        view.catalog = Arc::new(catalog);
        self.view.set(view);
    }

    fn send(&self, part: Part) -> mpsc::Receiver<Outcome> {
        let (sender, receiver) = mpsc::channel();
        self.dispatcher.dispatch(part, ReplyTo::Caller(sender));
        receiver
    }

    fn send_and_wait(&self, part: Part) -> Outcome {
        let outcome = self.send(part).recv_timeout(TEST_TIMEOUT);
        outcome.expect("part has no outcome")
    }

    fn executions(&self) -> usize {
        self.stand_in.log().len()
    }
}

fn view_of(leaf: Leaf) -> View {
    let me = Vm {
        name: "vm-1".to_owned(),
        failure_domain: "east".to_owned(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        state: vm::State::Live,
        revision: 1,
    };
    let record = Record {
        generation: 1,
        spec: leaf,
    };
    View {
        me: me.name.clone(),
        failure_domain: me.failure_domain.clone(),
        catalog: Arc::new(Catalog {
            revision: 1,
            leaves: [record].into_iter().collect(),
            ..Catalog::default()
        }),
        vms: vec![me].into(),
        draining: Vec::new(),
        health_draining: Vec::new(),
        stopping: false,
    }
}

fn part(idempotent: bool, deadline: Duration) -> Part {
    Part {
        hops_left: 0,
        ..fixtures::part(idempotent, deadline)
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// One part, and the fault that it meets at the leaf.
struct Case {
    name: &'static str,
    fault: Option<Fault>,
    change: fn(&mut Behaviour),
    snapshot: Option<SnapshotId>,
    expected: Result<SnapshotId, (Verdict, Reason)>,
    executions: usize,
}

const BASE_CASE: Case = Case {
    name: "no fault",
    fault: None,
    change: |_| {},
    snapshot: Some(1),
    expected: Ok(1),
    executions: 1,
};

const CASES: &[Case] = &[
    BASE_CASE,
    Case {
        name: "truncated reply",
        fault: Some(Fault::Truncated),
        expected: Err((Verdict::MayHaveRun, Reason::Truncated)),
        ..BASE_CASE
    },
    Case {
        name: "another attempt's reply",
        fault: Some(Fault::WrongAttempt),
        expected: Err((Verdict::MayHaveRun, Reason::ReplyMismatch)),
        ..BASE_CASE
    },
    Case {
        name: "reply from another snapshot",
        fault: Some(Fault::WrongSnapshot),
        change: |behaviour| behaviour.snapshots = vec![1, 2],
        expected: Err((Verdict::Ran, Reason::SnapshotMismatch)),
        ..BASE_CASE
    },
    Case {
        name: "snapshot not held",
        snapshot: Some(9),
        expected: Err((Verdict::NotRun, Reason::SnapshotNotHeld)),
        executions: 0,
        ..BASE_CASE
    },
    Case {
        name: "request shed by the leaf",
        change: |behaviour| behaviour.slots = 0,
        expected: Err((Verdict::NotRun, Reason::Shed)),
        executions: 0,
        ..BASE_CASE
    },
    Case {
        name: "connection closed before reading",
        fault: Some(Fault::CloseBeforeRead),
        expected: Err((Verdict::MayHaveRun, Reason::ConnectionLost)),
        executions: 0,
        ..BASE_CASE
    },
    Case {
        name: "connection closed after reading",
        fault: Some(Fault::CloseAfterRead),
        expected: Err((Verdict::MayHaveRun, Reason::ConnectionLost)),
        executions: 0,
        ..BASE_CASE
    },
    Case {
        name: "connection closed after running",
        fault: Some(Fault::CloseAfterRun),
        expected: Err((Verdict::MayHaveRun, Reason::ConnectionLost)),
        ..BASE_CASE
    },
    Case {
        name: "no reply",
        fault: Some(Fault::NoReply),
        expected: Err((Verdict::MayHaveRun, Reason::Deadline)),
        ..BASE_CASE
    },
];

#[test]
fn each_reply_maps_to_its_verdict_and_reason() {
    for case in CASES {
        for idempotent in [true, false] {
            let fixture = Fixture::start(Behaviour::default());
            fixture.stand_in.change(case.change);
            if let Some(fault) = case.fault {
                fixture.stand_in.inject(fault, 1);
            }
            // Only a part without an answer ends at its deadline.
            let unanswered = case.fault == Some(Fault::NoReply);
            let deadline = if unanswered { DEADLINE } else { TEST_TIMEOUT };
            let mut part = part(idempotent, deadline);
            part.snapshot = case.snapshot;
            let attempt = part.attempt;
            let outcome = fixture.send_and_wait(part);
            assert_eq!(outcome.attempt, attempt, "{}", case.name);
            let result = outcome.result.map(|reply| reply.snapshot);
            let result = result.map_err(|failure| (failure.verdict, failure.reason));
            assert_eq!(result, case.expected, "{} {idempotent}", case.name);
            assert_eq!(
                fixture.executions(),
                case.executions,
                "{} {idempotent}",
                case.name
            );
        }
    }
}

#[test]
fn a_late_or_duplicate_reply_is_not_given_to_another_part() {
    let fixture = Fixture::start(Behaviour::default());
    fixture.stand_in.inject(Fault::Late(DEADLINE), 1);
    let late = fixture.send_and_wait(part(true, DEADLINE / 2));
    let failure = late.result.unwrap_err();
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
    fixture.stand_in.inject(Fault::DuplicateReply, 8);
    for _ in 0..16 {
        let part = part(true, TEST_TIMEOUT);
        let attempt = part.attempt;
        let outcome = fixture.send_and_wait(part);
        assert_eq!(outcome.attempt, attempt);
        // A duplicate that arrives after the next part is sent fails that part as a mismatch.
        let dropped = Failure::may_have_run(Reason::ReplyMismatch);
        assert!(outcome.result.is_ok() || outcome.result == Err(dropped));
    }
    fixture
        .send_and_wait(part(true, TEST_TIMEOUT))
        .result
        .expect("reply");
}

#[test]
fn a_part_for_an_unreachable_leaf_is_reported_as_not_run() {
    let mut fixture = Fixture::start(Behaviour::default());
    fixture
        .send_and_wait(part(true, TEST_TIMEOUT))
        .result
        .unwrap();
    fixture.stand_in.kill();
    wait_until("failure reported as not run", || {
        let failure = fixture
            .send_and_wait(part(false, DEADLINE))
            .result
            .unwrap_err();
        failure.verdict == Verdict::NotRun
    });
    fixture.stand_in.restart().unwrap();
    wait_until("answer after the leaf is back", || {
        fixture.send_and_wait(part(false, DEADLINE)).result.is_ok()
    });
}

#[test]
fn connections_stay_within_the_share() {
    const PARTS: usize = 200;
    let behaviour = Behaviour {
        slots: 8,
        connections: 9,
        delay: Delay::fixed(Duration::from_millis(1)),
        ..Behaviour::default()
    };
    let fixture = Fixture::start(behaviour);
    // The leaf's connections are divided between three VMs, and this VM gets a third. The leaf
    // rejects connections above the limit, after a grace period for noticing closed ones.
    const SHARE: usize = 3;
    fixture
        .stand_in
        .change(|behaviour| behaviour.connections = SHARE);
    let faults = [Fault::NoReply, Fault::CloseAfterRun, Fault::Truncated];
    for fault in faults {
        fixture.stand_in.inject(fault, 3);
        let receivers: Vec<_> = (0..PARTS)
            .map(|_| fixture.send(part(true, DEADLINE)))
            .collect();
        for receiver in receivers {
            receiver
                .recv_timeout(TEST_TIMEOUT)
                .expect("part has no outcome")
                .result
                .ok();
        }
    }
    let connections = fixture.stand_in.connections();
    assert_eq!(connections.violations, 0);
    assert!(connections.max_open <= SHARE, "{connections:?}");
    assert!(fixture.stand_in.max_busy() <= SHARE);
    wait_until("no part in flight", || fixture.dispatcher.in_flight() == 0);
}

#[test]
fn a_cancelled_part_ends_at_once_and_is_cancelled_at_the_leaf() {
    let behaviour = Behaviour {
        delay: Delay::fixed(TEST_TIMEOUT),
        ..Behaviour::default()
    };
    let fixture = Fixture::start(behaviour);
    let part = part(true, TEST_TIMEOUT * 2);
    let attempt = part.attempt;
    let receiver = fixture.send(part);
    let found = fixture
        .stand_in
        .wait_for(TEST_TIMEOUT, |run| run.attempt == attempt);
    assert!(found, "part did not start at the leaf");
    fixture.dispatcher.cancel(attempt, &"leaf-1".to_owned());
    let outcome = receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("part has no outcome");
    let failure = outcome.result.unwrap_err();
    assert_eq!(failure, Failure::may_have_run(Reason::Cancelled));
    let cancelled = |run: &stand_in::Execution| {
        let end = run.end.map(|(ending, _)| ending);
        run.attempt == attempt && end == Some(stand_in::Ending::Cancelled)
    };
    assert!(fixture.stand_in.wait_for(TEST_TIMEOUT, cancelled));
}

#[test]
fn parts_for_an_unresponsive_leaf_fail_at_the_deadline_and_the_leaf_is_reused() {
    let fixture = Fixture::start(Behaviour::default());
    for _ in 0..4 {
        fixture
            .send_and_wait(part(true, TEST_TIMEOUT))
            .result
            .unwrap();
    }
    fixture.stand_in.freeze();
    let receivers: Vec<_> = (0..8).map(|_| fixture.send(part(true, DEADLINE))).collect();
    for receiver in receivers {
        let outcome = receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("part has no outcome");
        assert!(outcome.result.is_err());
    }
    fixture.stand_in.thaw();
    wait_until("answer after the freeze", || {
        fixture.send_and_wait(part(false, DEADLINE)).result.is_ok()
    });
}

#[test]
fn an_unresponsive_connection_carries_no_non_idempotent_part() {
    let mut fixture = Fixture::start(Behaviour::default());
    let proxy = fixture.insert_proxy();
    wait_until("answer through the proxy", || {
        let answered = fixture.send_and_wait(part(false, DEADLINE)).result.is_ok();
        answered && proxy.open_connections() > 0
    });
    for idle in [Duration::ZERO, Duration::from_millis(200)] {
        proxy.blackhole_connections();
        // Exceeds the time for which a connection counts as verified after its last reply.
        thread::sleep(Duration::from_millis(60) + idle);
        let outcome = fixture.send_and_wait(part(false, TEST_TIMEOUT));
        outcome.result.expect("reply on a new connection");
    }
}

#[test]
fn a_cold_leaf_gets_few_parts_at_first() {
    const PARTS: usize = 16;
    let fixture = Fixture::start(Behaviour {
        slots: 8,
        state: stand_in::State::Cold,
        cold_factor: 1.0,
        delay: Delay::fixed(Duration::from_millis(20)),
        ..Behaviour::default()
    });
    fixture
        .send_and_wait(part(true, TEST_TIMEOUT))
        .result
        .expect("first reply");
    let send = || (0..PARTS).map(|_| fixture.send(part(true, TEST_TIMEOUT)));
    let receivers: Vec<_> = send().collect();
    wait_until("second part at the leaf", || fixture.executions() > 1);
    assert!(
        fixture.stand_in.max_busy() <= 2,
        "cold leaf got too many parts at once"
    );
    for receiver in receivers {
        receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("part has no outcome")
            .result
            .ok();
    }
    fixture
        .stand_in
        .change(|behaviour| behaviour.state = stand_in::State::Serving);
    wait_until("all slots in use", || {
        let receivers: Vec<_> = send().collect();
        receivers
            .iter()
            .for_each(|receiver| drop(receiver.recv_timeout(TEST_TIMEOUT)));
        fixture.stand_in.max_busy() > 2
    });
}

#[test]
fn a_draining_leaf_gets_no_new_part() {
    let fixture = Fixture::start(Behaviour::default());
    fixture
        .send_and_wait(part(true, TEST_TIMEOUT))
        .result
        .unwrap();
    fixture.stand_in.change(|behaviour| {
        behaviour.state = stand_in::State::Draining;
        behaviour.health = stand_in::Health::Always(stand_in::State::Serving);
    });
    fixture.send_and_wait(part(true, TEST_TIMEOUT)).result.ok();
    wait_until("notice of the drain", || {
        fixture.notices.lock().unwrap().contains(&true)
    });
    let before = fixture.executions();
    let failure = fixture
        .send_and_wait(part(true, DEADLINE))
        .result
        .unwrap_err();
    assert_eq!(failure, Failure::not_run(Reason::Leaving));
    assert_eq!(fixture.executions(), before);
}

#[test]
fn a_leaf_that_the_operator_drains_gets_no_new_part() {
    let fixture = Fixture::start(Behaviour::default());
    fixture
        .send_and_wait(part(true, TEST_TIMEOUT))
        .result
        .unwrap();
    let mut view = View::clone(&fixture.view.get());
    view.draining.push("leaf-1".to_owned());
    fixture.view.set(view);
    wait_until("rejection", || {
        let outcome = fixture.send_and_wait(part(true, DEADLINE));
        outcome.result == Err(Failure::not_run(Reason::Leaving))
    });
}

#[test]
fn holdings_are_known_before_the_first_part() {
    let fixture = Fixture::start(Behaviour {
        snapshots: vec![3, 4],
        ..Behaviour::default()
    });
    let service: Service = serde_json::from_str(
        r#"{"name": "tickets", "deadline_ms": 100, "max_deadline_ms": 1000,
            "shards": [{"name": "a", "replicas": ["leaf-1"]}]}"#,
    )
    .unwrap();
    let holdings = fixture.dispatcher.holdings(&service, TEST_TIMEOUT);
    let expected = Holding {
        service: "tickets".to_owned(),
        shard: "a".to_owned(),
        leaf: "leaf-1".to_owned(),
        snapshots: vec![3, 4],
    };
    assert_eq!(holdings, [expected]);
}

#[test]
fn stopping_rejects_new_parts_and_completes_those_in_flight() {
    let fixture = Fixture::start(Behaviour {
        delay: Delay::fixed(Duration::from_millis(50)),
        ..Behaviour::default()
    });
    let receiver = fixture.send(part(true, TEST_TIMEOUT));
    wait_until("part at the leaf", || fixture.executions() == 1);
    fixture.dispatcher.stop();
    let failure = fixture
        .send_and_wait(part(true, TEST_TIMEOUT))
        .result
        .unwrap_err();
    assert_eq!(failure.verdict, Verdict::NotRun);
    let outcome = receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("part has no outcome");
    outcome.result.expect("part in flight is completed");
}
