//! Checks that the stand-ins of leaves, the platform and the network implement their documented
//! interfaces and inject the requested faults.

use std::net::{IpAddr, Ipv4Addr, UdpSocket};
use std::time::Duration;

use geraniummount_test_support::client::{Client, Reply};
use geraniummount_test_support::deployment::{Deployment, Layout};
use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, wait_until};
use geraniummount_test_support::leaf::{Behaviour, Delay, Ending, Fault, Leaf};
use geraniummount_test_support::platform::{Outage, Platform};
use geraniummount_test_support::proxy::{Flow, Proxy};

/// Timeout of calls that must get no reply; longer than a stand-in takes to reply.
const NO_REPLY_TIMEOUT: Duration = Duration::from_millis(300);

fn leaf(change: impl FnOnce(&mut Behaviour)) -> Leaf {
    let mut behaviour = Behaviour {
        shards: vec!["parts/1".to_string()],
        snapshots: vec![7, 8],
        ..Behaviour::default()
    };
    change(&mut behaviour);
    Leaf::start("leaf-1", behaviour, 1).expect("leaf starts")
}

fn search(client: &Client, attempt: &str, snapshot: &str) -> Option<Reply> {
    let headers = [
        ("Attempt-Id", attempt),
        ("Request-Id", "request-1"),
        ("Shard", "parts/1"),
        ("Snapshot", snapshot),
        ("Deadline-Ms", "5000"),
    ];
    client.call("POST", "/search", &headers, "{}").ok()
}

/// A leaf fault, and the expected effects on the reply and the log of the request it applies to.
struct FaultCase {
    fault: Option<Fault>,
    /// Snapshot that the request asks for.
    snapshot: &'static str,
    /// Status of the reply; `None` if there is no complete reply.
    status: Option<u16>,
    /// `Attempt-Id` header of the reply.
    attempt_header: Option<&'static str>,
    /// `Snapshot` header of the reply.
    snapshot_header: Option<&'static str>,
    /// Whether the leaf runs the request.
    is_run: bool,
}

impl FaultCase {
    fn complete_reply(fault: Option<Fault>) -> FaultCase {
        FaultCase {
            fault,
            snapshot: "7",
            status: Some(200),
            attempt_header: Some("12"),
            snapshot_header: Some("7"),
            is_run: true,
        }
    }

    fn no_reply(fault: Fault, is_run: bool) -> FaultCase {
        FaultCase {
            fault: Some(fault),
            snapshot: "7",
            status: None,
            attempt_header: None,
            snapshot_header: None,
            is_run,
        }
    }
}

#[test]
fn stand_in_leaf_applies_each_fault_once() {
    let cases = [
        FaultCase::complete_reply(None),
        FaultCase::complete_reply(Some(Fault::DuplicateReply)),
        FaultCase::complete_reply(Some(Fault::Late(Duration::from_millis(20)))),
        FaultCase {
            snapshot_header: Some("8"),
            ..FaultCase::complete_reply(Some(Fault::WrongSnapshot))
        },
        FaultCase {
            attempt_header: Some("13"),
            ..FaultCase::complete_reply(Some(Fault::WrongAttempt))
        },
        FaultCase {
            snapshot: "9",
            status: Some(410),
            snapshot_header: None,
            is_run: false,
            ..FaultCase::complete_reply(None)
        },
        FaultCase::no_reply(Fault::CloseBeforeRead, false),
        FaultCase::no_reply(Fault::CloseAfterRead, false),
        FaultCase::no_reply(Fault::CloseAfterRun, true),
        FaultCase::no_reply(Fault::NoReply, true),
        FaultCase::no_reply(Fault::Truncated, true),
    ];
    for case in cases {
        check_fault(&case);
    }
}

fn check_fault(case: &FaultCase) {
    let leaf = leaf(|_| {});
    let default_client = Client::new(leaf.address());
    let client = match case.status {
        Some(_) => default_client.clone(),
        None => Client::with_timeout(leaf.address(), NO_REPLY_TIMEOUT),
    };
    if let Some(fault) = case.fault {
        leaf.inject(fault, 1);
    }
    let reply = search(&client, "12", case.snapshot);
    let header = |name| reply.as_ref().and_then(|reply| reply.header(name));
    let context = format!("{:?}, snapshot {}", case.fault, case.snapshot);
    let status = reply.as_ref().map(|reply| reply.status);
    assert_eq!(status, case.status, "{context}");
    assert_eq!(header("Attempt-Id"), case.attempt_header, "{context}");
    assert_eq!(header("Snapshot"), case.snapshot_header, "{context}");
    assert_eq!(leaf.log().len(), usize::from(case.is_run), "{context}");
    let next = search(&default_client, "14", "7").map(|reply| reply.status);
    assert_eq!(next, Some(200), "{context}");
}

#[test]
fn stand_in_leaf_sheds_cancels_and_limits_connections() {
    let leaf = leaf(|behaviour| {
        behaviour.slots = 1;
        behaviour.connections = 2;
        behaviour.delay = Delay::fixed(Duration::from_secs(60));
    });
    let client = Client::new(leaf.address());
    std::thread::scope(|scope| {
        let running = scope.spawn(|| search(&client, "1", "7"));
        assert!(leaf.wait_for(CONVERGENCE_TIMEOUT, |entry| entry.attempt == 1));
        assert_eq!(
            search(&client, "2", "7").map(|reply| reply.status),
            Some(429)
        );
        let open_connection =
            std::net::TcpStream::connect(leaf.address()).expect("second connection opens");
        assert!(wait_until(CONVERGENCE_TIMEOUT, || leaf.connections().open == 2));
        assert!(
            search(&client, "3", "7").is_none(),
            "a request on a connection above the limit was answered"
        );
        drop(open_connection);
        // The leaf resets the next connection as long as it counts this one.
        assert!(wait_until(CONVERGENCE_TIMEOUT, || leaf.connections().open == 1));
        let cancelled = client
            .call("DELETE", "/attempts/1", &[], "")
            .expect("leaf replies to the cancellation");
        assert_eq!(cancelled.body["ended"], "running");
        let ended = running
            .join()
            .expect("search panicked")
            .expect("search gets a reply");
        assert_eq!(ended.status, 499);
    });
    let log = leaf.log();
    assert_eq!(log.len(), 1);
    assert_eq!(
        log[0].end.map(|(ending, _)| ending),
        Some(Ending::Cancelled)
    );
    assert_eq!(leaf.connections().violations, 1);
    assert_eq!(leaf.connections().max_open, 3);
}

#[test]
fn stand_in_platform_compares_and_swaps() {
    let platform = Platform::start().expect("platform starts");
    let client = Client::with_timeout(platform.address(), NO_REPLY_TIMEOUT);
    let put = |expected: &str, value: &str| {
        client
            .call("PUT", "/kv/a/b", &[("If-Version", expected)], value)
            .ok()
    };
    let version = |reply: &Reply| reply.header("Version").map(str::to_string);
    let absent = client.get("/kv/a/b").expect("platform replies");
    assert_eq!(
        (absent.status, version(&absent).as_deref()),
        (404, Some("0"))
    );
    let created = put("0", "one").expect("platform replies");
    assert_eq!(
        (created.status, version(&created).as_deref()),
        (200, Some("1"))
    );
    let conflict = put("0", "two").expect("platform replies");
    assert_eq!((conflict.status, conflict.text.as_str()), (409, "one"));
    let unchanged = client
        .get("/kv/a/b?watch=1&wait_ms=50")
        .expect("platform replies");
    assert_eq!(unchanged.status, 304);
    platform.change(|behaviour| behaviour.lost_replies = 1);
    assert!(
        put("1", "two").is_none(),
        "the reply to the write arrived although it was to be lost"
    );
    assert_eq!(platform.value("a/b"), Some((2, b"two".to_vec())));
    platform.change(|behaviour| behaviour.outage = Outage::Reject);
    assert_eq!(put("2", "three").map(|reply| reply.status), Some(503));
    platform.change(|behaviour| behaviour.outage = Outage::Unresponsive);
    assert!(
        put("2", "three").is_none(),
        "the platform replied although it was to be unresponsive"
    );
    platform.change(|behaviour| behaviour.outage = Outage::None);
    let changed = client
        .get("/kv/a/b?watch=1&wait_ms=50")
        .expect("platform replies");
    assert_eq!((changed.status, changed.text.as_str()), (200, "two"));
    assert_eq!(platform.calls().watches, 2);
}

#[test]
fn stand_in_proxy_cuts_and_blackholes_connections() {
    let leaf = leaf(|_| {});
    let proxy = Proxy::start(Ipv4Addr::LOCALHOST, leaf.address(), 1).expect("proxy starts");
    let client = Client::with_timeout(proxy.address(), NO_REPLY_TIMEOUT);
    let status = |attempt| search(&client, attempt, "7").map(|reply| reply.status);
    assert_eq!(status("1"), Some(200));
    proxy.change_all(|link| link.back = Flow::Cut);
    assert_eq!(status("2"), None, "the link is cut");
    proxy.change_all(|link| link.back = Flow::Open);
    assert_eq!(status("3"), Some(200));
    proxy.change_all(|link| link.refuse = true);
    assert_eq!(status("4"), None, "connections are refused");
    proxy.change_all(|link| link.refuse = false);
    leaf.change(|behaviour| behaviour.delay = Delay::fixed(Duration::from_millis(100)));
    let blackholed = std::thread::scope(|scope| {
        let call = scope.spawn(|| status("5"));
        assert!(leaf.wait_for(CONVERGENCE_TIMEOUT, |entry| entry.attempt == 5));
        proxy.blackhole_connections();
        call.join().expect("search panicked")
    });
    assert_eq!(blackholed, None, "the connection discards all bytes");
    assert_eq!(status("6"), Some(200));
    let ran: Vec<u64> = leaf.log().iter().map(|entry| entry.attempt).collect();
    assert_eq!(ran, [1, 3, 5, 6]);
}

#[test]
fn stand_in_proxy_drops_datagrams_of_one_source() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("socket binds");
    receiver
        .set_read_timeout(Some(NO_REPLY_TIMEOUT))
        .expect("read timeout is set");
    let upstream = receiver.local_addr().expect("socket has an address");
    let proxy = Proxy::start(Ipv4Addr::LOCALHOST, upstream, 1).expect("proxy starts");
    let cut: IpAddr = Ipv4Addr::new(127, 0, 0, 2).into();
    proxy.change(cut, |link| link.forward = Flow::Cut);
    for ip in [cut, Ipv4Addr::new(127, 0, 0, 3).into()] {
        let sender = UdpSocket::bind((ip, 0)).expect("socket binds");
        let text = ip.to_string();
        sender
            .send_to(text.as_bytes(), proxy.address())
            .expect("datagram is sent");
    }
    let mut buffer = [0; 64];
    let length = receiver
        .recv(&mut buffer)
        .expect("the datagram of the open link arrives");
    assert_eq!(&buffer[..length], b"127.0.0.3");
    assert!(
        receiver.recv(&mut buffer).is_err(),
        "the datagram of the cut link arrived"
    );
}

#[test]
fn stand_in_deployments_have_expected_sizes() {
    struct Case {
        deployment: Deployment,
        leaves: usize,
        services: usize,
    }
    let cases = [
        Case {
            deployment: Deployment::arusha(),
            leaves: 109,
            services: 54,
        },
        Case {
            deployment: Deployment::alfold_regio(),
            leaves: 108,
            services: 54,
        },
    ];
    for case in cases {
        for layout in [Layout::Replicas, Layout::Shards] {
            assert_eq!(case.deployment.leaves(layout).len(), case.leaves);
            assert_eq!(case.deployment.services(layout).len(), case.services);
        }
    }
}
