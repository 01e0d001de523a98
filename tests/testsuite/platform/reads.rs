//! Reads of the store over a link that many VMs share: after all of them have started at the same
//! moment, an answer takes seconds, but its bytes keep arriving.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use geraniummount::core::store::freshness::Freshness;
use geraniummount::platform::Store;
use geraniummount_test_support::endless::{Endless, KINDS};

/// How a store sends the answer to a read.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Number of pieces that are sent; the answer has ten.
    pieces: usize,
    interval: Duration,
    is_read: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "at once",
        pieces: 10,
        interval: Duration::ZERO,
        is_read: true,
    },
    Case {
        name: "over a full link",
        pieces: 10,
        interval: Duration::from_millis(250),
        is_read: true,
    },
    Case {
        name: "until the connection falls silent",
        pieces: 4,
        interval: Duration::from_millis(50),
        is_read: false,
    },
    Case {
        name: "without end",
        pieces: 10,
        interval: Duration::from_millis(900),
        is_read: false,
    },
];

/// Answers one read piece by piece, and then keeps the connection open.
fn serve(listener: &TcpListener, case: &Case) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut request = [0; 1024];
    let _ = stream.read(&mut request);
    let body = format!(r#"{{"items":[],"truncated":false,"asOf":7}}{:>200}"#, "");
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let size = answer.len().div_ceil(10);
    for piece in answer.as_bytes().chunks(size).take(case.pieces) {
        if stream.write_all(piece).is_err() {
            return;
        }
        thread::sleep(case.interval);
    }
    // Returns once the client has closed the connection.
    let _ = stream.read(&mut request);
}

#[test]
fn platform_reads_end_only_when_no_more_bytes_arrive() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        thread::scope(|scope| {
            scope.spawn(|| serve(&listener, case));
            let mut store = Store::new(address);
            let read = store.range("", None, Freshness::Current);
            assert_eq!(read.is_ok(), case.is_read, "{}: {read:?}", case.name);
            drop(store);
        });
    }
}

/// What a store sends after the answer to the first call, before the second call.
#[derive(Debug)]
struct Extra {
    name: &'static str,
    /// Share of a copy of the answer that is sent at once, and later, in quarters.
    at_once: usize,
    later: usize,
    /// Whether the store closes the connection then.
    closes: bool,
}

const EXTRAS: &[Extra] = &[
    Extra {
        name: "nothing",
        at_once: 0,
        later: 0,
        closes: false,
    },
    Extra {
        name: "a copy at once",
        at_once: 4,
        later: 0,
        closes: false,
    },
    Extra {
        name: "a copy later",
        at_once: 0,
        later: 4,
        closes: false,
    },
    Extra {
        name: "a copy in two pieces",
        at_once: 2,
        later: 2,
        closes: false,
    },
    Extra {
        name: "the end of the connection",
        at_once: 0,
        later: 0,
        closes: true,
    },
];

/// Time after an answer at which a store sends more.
const LATER: Duration = Duration::from_millis(30);

/// Answers two calls with the revisions 1 and 2, and sends more after the first answer.
fn serve_with_extra(listener: &TcpListener, extra: &Extra) {
    let mut revision = 0;
    // The second connection is opened because the first one is not reused.
    for (mut stream, _) in (0..2).map_while(|_| listener.accept().ok()) {
        let mut request = [0; 1024];
        while matches!(stream.read(&mut request), Ok(count) if count > 0) {
            revision += 1;
            let body = format!(r#"{{"items":[],"truncated":false,"asOf":{revision}}}"#);
            let length = body.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            let quarter = answer.len().div_ceil(4);
            let cut = |quarters: usize| (quarters * quarter).min(answer.len());
            let (at_once, end) = match revision {
                1 => (cut(extra.at_once), cut(extra.at_once + extra.later)),
                2 => (0, 0),
                _ => return,
            };
            let first = format!("{answer}{}", &answer[..at_once]);
            if stream.write_all(first.as_bytes()).is_err() {
                break;
            }
            thread::sleep(LATER);
            // Fails if the client has closed the connection, as it should.
            let _ = stream.write_all(&answer.as_bytes()[at_once..end]);
            if (extra.closes && revision == 1) || revision == 2 {
                break;
            }
        }
        if revision == 2 {
            return;
        }
    }
}

#[test]
fn platform_reads_take_no_bytes_of_an_earlier_answer() {
    for extra in EXTRAS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        thread::scope(|scope| {
            scope.spawn(|| serve_with_extra(&listener, extra));
            let mut store = Store::new(address);
            for revision in 1..=2 {
                let read = store.range("", None, Freshness::Current);
                let read = read.unwrap_or_else(|error| panic!("{}: {error}", extra.name));
                assert_eq!(read.as_of, revision, "{}", extra.name);
                thread::sleep(2 * LATER);
            }
        });
    }
}

/// A store in trouble that sends without end costs a bounded number of bytes.
#[test]
fn platform_reads_of_answers_without_end_fail() {
    const MAX_TAKEN_BYTES: usize = 24 * 1024 * 1024;
    for kind in KINDS {
        let endless = Endless::start(*kind);
        let mut store = Store::new(endless.address());
        assert!(
            store.range("", None, Freshness::Current).is_err(),
            "{kind:?}"
        );
        assert!(
            endless.written() <= MAX_TAKEN_BYTES,
            "{kind:?}: {} bytes",
            endless.written()
        );
    }
}
