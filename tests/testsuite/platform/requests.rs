//! Requests through the gateway: routing, answers, failing leaves, cancellation and a graceful
//! stop.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::platform::users::{Answer, signature};

use super::fixture::{
    Fixture, HOST, connect, exchange, gather_route, leaf, request, service_route,
};

#[test]
fn platform_requests_are_routed_by_host_and_longest_prefix() {
    struct Case {
        path: &'static str,
        /// Body of the answer, which names the leaf; `None` for 404.
        answer: Option<&'static str>,
    }
    const CASES: &[Case] = &[
        Case {
            path: "/a/x",
            answer: Some("one"),
        },
        Case {
            path: "/a/b/x?q=/c/",
            answer: Some("two"),
        },
        Case {
            path: "/a/b",
            answer: Some("one"),
        },
        Case {
            path: "/ab/x",
            answer: None,
        },
        Case {
            path: "/",
            answer: None,
        },
    ];
    let fixture = Fixture::start();
    fixture.configure(
        1,
        &[
            service_route("/a/", "idempotent", "one"),
            service_route("/a/b/", "idempotent", "two"),
        ],
    );
    let leaves = [leaf(&fixture, "one", b"one"), leaf(&fixture, "two", b"two")];
    fixture.wait_for_leaf("/a/x");
    fixture.wait_for_leaf("/a/b/x");
    for case in CASES {
        let reply = fixture.get(case.path, 2000);
        match case.answer {
            Some(body) => assert_eq!(reply.body, body.as_bytes(), "{}", case.path),
            None => assert_eq!(reply.status, 404, "{}", case.path),
        }
    }
    let other_host = "GET /a/x HTTP/1.1\r\nHost: other.example\r\nRequest-Id: 1\r\n\r\n";
    let reply = exchange(fixture.callers_address, other_host.as_bytes()).unwrap();
    assert_eq!(reply.status, 404);
    drop(leaves);
}

#[test]
fn platform_requests_forward_method_body_and_answer_unchanged() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "non_idempotent", "one")]);
    let one = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    let reply = fixture.send("POST", "/a/order", 2000, b"rope, 12 m");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, b"rope, 12 m");
    let id = one.runs().pop().unwrap();
    let stamp = signature(one.id(), &id);
    assert_eq!(reply.field("Server-Stamp"), Some(stamp.as_str()));
    let chunks = format!(
        "POST /a/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n\
         4\r\nrope\r\n6\r\n, 12 m\r\n0\r\n\r\n"
    );
    let reply = exchange(fixture.callers_address, chunks.as_bytes()).unwrap();
    assert_eq!(reply.body, b"rope, 12 m");
}

/// The answer of a failing leaf, and what the caller gets.
#[derive(Debug)]
struct Case {
    answer: Answer,
    /// Status of an idempotent request if there is a second, correct leaf.
    idempotent_status: u16,
    /// Status of a non-idempotent request if there is no other leaf.
    non_idempotent_status: u16,
    /// Whether the leaf ran the non-idempotent request.
    has_run: bool,
}

const CASES: &[Case] = &[
    Case {
        answer: Answer::Whole,
        idempotent_status: 200,
        non_idempotent_status: 200,
        has_run: true,
    },
    Case {
        answer: Answer::Rejected,
        idempotent_status: 200,
        non_idempotent_status: 503,
        has_run: false,
    },
    Case {
        answer: Answer::Failed,
        idempotent_status: 200,
        non_idempotent_status: 500,
        has_run: true,
    },
    Case {
        answer: Answer::Lost,
        idempotent_status: 200,
        non_idempotent_status: 502,
        has_run: true,
    },
    Case {
        answer: Answer::Truncated,
        idempotent_status: 200,
        non_idempotent_status: 502,
        has_run: true,
    },
    Case {
        answer: Answer::Unframed,
        idempotent_status: 200,
        non_idempotent_status: 200,
        has_run: true,
    },
    Case {
        answer: Answer::Doubled,
        idempotent_status: 200,
        non_idempotent_status: 200,
        has_run: true,
    },
    Case {
        answer: Answer::ForeignFirst,
        idempotent_status: 200,
        non_idempotent_status: 200,
        has_run: true,
    },
    Case {
        answer: Answer::Garbage,
        idempotent_status: 200,
        non_idempotent_status: 502,
        has_run: true,
    },
    Case {
        answer: Answer::Encoded,
        idempotent_status: 200,
        non_idempotent_status: 502,
        has_run: true,
    },
];

/// Response time of a leaf without a fault.
const NORMAL_DELAY: Duration = Duration::from_millis(50);

/// Number of requests that earn an allowance of one or two retries.
const ALLOWANCE_REQUESTS: usize = 10;

#[test]
fn platform_requests_that_are_idempotent_survive_a_failing_leaf() {
    for case in CASES {
        let fixture = Fixture::start();
        fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
        let bad = leaf(&fixture, "one", b"record");
        let good = leaf(&fixture, "one", b"record");
        // A slow normal response keeps requests on a busy machine from counting as late. A hedge
        // would spend the retry allowance that the requests below need.
        bad.set_answer(Answer::Late(NORMAL_DELAY));
        good.set_answer(Answer::Late(NORMAL_DELAY));
        fixture.wait_until(|fixture| {
            fixture.get("/a/x", 2000);
            !bad.runs().is_empty() && !good.runs().is_empty()
        });
        // Five requests earn the allowance for one extra attempt.
        for _ in 0..ALLOWANCE_REQUESTS {
            fixture.get("/a/x", 2000);
        }
        bad.set_answer(case.answer);
        for _ in 0..3 {
            let reply = fixture.get("/a/x", 2000);
            assert_eq!(reply.status, case.idempotent_status, "{:?}", case.answer);
            assert_eq!(reply.body, b"record", "{:?}", case.answer);
        }
    }
}

#[test]
fn platform_requests_that_are_not_idempotent_report_whether_they_ran() {
    for case in CASES {
        let fixture = Fixture::start();
        fixture.configure(1, &[service_route("/a/", "non_idempotent", "one")]);
        let one = leaf(&fixture, "one", b"record");
        fixture.wait_for_leaf("/a/x");
        one.set_answer(case.answer);
        let before = one.runs().len();
        let reply = fixture.send("POST", "/a/order", 2000, b"rope");
        assert_eq!(
            reply.status, case.non_idempotent_status,
            "{:?}",
            case.answer
        );
        let runs = one.runs().len() - before;
        assert_eq!(runs, usize::from(case.has_run), "{:?}", case.answer);
        assert_eq!(reply.field("Retry-After").is_some(), reply.status == 503);
    }
}

#[test]
fn platform_requests_for_a_replaced_leaf_are_not_run_by_its_successor() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "non_idempotent", "one")]);
    let one = leaf(&fixture, "one", b"record");
    fixture.wait_for_leaf("/a/x");
    // A new registration with the same address stands for a process that replaced the leaf.
    let entry = format!(
        r#"{{"backend":"one","address":"{}","zone":"near","concurrency":2,"state":"ready"}}"#,
        one.address()
    );
    fixture.store.remove(&one.key());
    fixture.store.put("servers/i-other", entry);
    std::thread::sleep(Duration::from_millis(2800));
    let before = one.runs().len();
    let reply = fixture.send("POST", "/a/order", 2000, b"rope");
    assert_eq!(reply.status, 503);
    assert_eq!(one.runs().len(), before);
}

#[test]
fn platform_requests_over_shards_return_the_top_records_and_count_missing_shards() {
    let fixture = Fixture::start();
    fixture.configure(1, &[gather_route("/q/", &["s1", "s2", "s3"], 3, 0.6)]);
    let records = |letters: &[u8]| {
        letters
            .iter()
            .flat_map(|letter| [*letter; 16])
            .collect::<Vec<u8>>()
    };
    let leaves = [
        leaf(&fixture, "s1", &records(b"ad")),
        leaf(&fixture, "s2", &records(b"zb")),
        leaf(&fixture, "s3", &records(b"dx")),
    ];
    fixture.wait_until(|fixture| fixture.get("/q/x", 2000).field("Missing-Parts") == Some("0"));
    let reply = fixture.get("/q/x", 2000);
    assert_eq!(reply.body, records(b"zxd"));
    assert_eq!(reply.field("Part-Stamps").unwrap().split(", ").count(), 3);
    leaves[1].set_answer(Answer::Late(Duration::from_secs(2)));
    let reply = fixture.get("/q/x", 2000);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.field("Missing-Parts"), Some("1"));
    assert_eq!(reply.body, records(b"xdd"));
    leaves[0].set_answer(Answer::Failed);
    let reply = fixture.get("/q/x", 900);
    assert!(
        reply.status >= 500,
        "a third of the shards is below the minimum coverage"
    );
}

#[test]
fn platform_requests_of_a_disconnected_caller_are_cancelled_at_the_leaf() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let one = leaf(&fixture, "one", b"record");
    fixture.wait_for_leaf("/a/x");
    one.set_answer(Answer::Late(Duration::from_millis(1500)));
    let mut stream = connect(fixture.callers_address);
    let before = one.runs().len();
    stream
        .write_all(&request("GET", "/a/x", 3000, b""))
        .unwrap();
    fixture.wait_until(|_| one.runs().len() > before);
    stream.shutdown(Shutdown::Both).unwrap();
    fixture.wait_until(|_| one.cancelled() > 0);
}

#[test]
fn platform_requests_in_flight_are_answered_during_a_graceful_stop() {
    let mut fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let one = leaf(&fixture, "one", b"record");
    fixture.wait_for_leaf("/a/x");
    one.set_answer(Answer::Late(Duration::from_millis(700)));
    let mut stream = connect(fixture.callers_address);
    let before = one.runs().len();
    stream
        .write_all(&request("GET", "/a/x", 3000, b""))
        .unwrap();
    fixture.wait_until(|_| one.runs().len() > before);
    fixture.stop();
    fixture.wait_until(|fixture| !fixture.is_ready());
    let reply = Reply::read(&mut stream).expect("gateway sends a whole answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.field("Connection"), Some("close"));
    assert!(fixture.join());
}

/// Covers attempts that end before the next one is sent. Their addresses have no listener, and
/// connecting fails immediately.
#[test]
fn platform_requests_survive_leaves_that_refuse_connections() {
    let fixture = Fixture::start();
    let shards = ["s1", "s2", "s3", "s4", "s5", "s6"];
    fixture.configure(
        1,
        &[
            gather_route("/q/", &shards, 3, 0.9),
            service_route("/a/", "idempotent", "one"),
        ],
    );
    let one = leaf(&fixture, "one", b"record");
    for (number, shard) in shards.iter().enumerate() {
        for replica in 0..2 {
            let entry = format!(
                r#"{{"backend":"{shard}","address":"127.0.0.1:{}","zone":"near","concurrency":2,"state":"ready"}}"#,
                1 + number * 2 + replica
            );
            fixture
                .store
                .put(&format!("servers/i-none-{number}-{replica}"), entry);
        }
    }
    fixture.wait_for_leaf("/a/x");
    for _ in 0..30 {
        let reply = fixture.get("/q/x", 1000);
        assert_eq!(reply.status, 503, "request reached a leaf");
        assert_eq!(fixture.get("/a/x", 1000).status, 200);
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(one.runs().len() >= 30);
}

#[test]
fn platform_requests_pipelined_beyond_the_buffer_are_all_answered() {
    const REQUESTS: usize = 900;
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let _leaf = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    let path = format!("/a/{}", "x".repeat(1_000));
    let mut stream = connect(fixture.callers_address);
    let mut writer = stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        for _ in 0..REQUESTS {
            writer
                .write_all(&request("GET", &path, 20_000, b""))
                .unwrap();
        }
    });
    // Replies may arrive together.
    let mut replies = Vec::new();
    let mut chunk = [0; 16 * 1024];
    let count = |replies: &[u8]| replies.windows(12).filter(|w| w == b"HTTP/1.1 200").count();
    while count(&replies) < REQUESTS {
        let read = stream.read(&mut chunk).expect("all requests are answered");
        assert!(read > 0, "the connection stays open");
        replies.extend_from_slice(&chunk[..read]);
    }
    sender.join().unwrap();
}

/// Requests that wait for a connection get a new one when an answer ends with its connection. The
/// new one may have the same key as the old one, and must not be closed in its place.
#[test]
fn platform_requests_that_wait_are_served_when_answers_end_their_connections() {
    const CALLERS: usize = 40;
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let one = leaf(&fixture, "one", b"record");
    fixture.wait_for_leaf("/a/x");
    one.set_answer(Answer::Unframed);
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| [(); 5].map(|()| fixture.get("/a/x", 2_000).status)))
            .collect();
        let statuses = callers.into_iter().map(|caller| caller.join().unwrap());
        statuses.flatten().collect()
    });
    let unserved = statuses.iter().filter(|status| **status != 200);
    assert_eq!(unserved.count(), 0, "{statuses:?}");
}
