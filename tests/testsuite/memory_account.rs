//! The account of memory and connections: which connections are closed, and what is admitted.

use std::time::{Duration, Instant};

use geraniummount::core::memory_account::{Account, Candidate, Holder, Limits, Share};

const MB: usize = 1024 * 1024;

/// Bound of the account in most tests.
const MAX_BYTES: usize = 40 * MB;

fn account(max_bytes: usize, max_connections: usize) -> Account {
    Account::new(Limits {
        max_bytes,
        max_connections,
    })
}

/// A connection of the replay.
struct Connection {
    since: Instant,
    share: Share,
}

/// The load pattern: callers open connections, announce 900 KB and stop one byte short of it, while
/// ordinary callers send 2 to 900 KB within 60 ms. Guards against a crowd that keeps ordinary callers
/// out, and against ordinary callers that are closed for the crowd.
#[test]
fn memory_account_closes_the_crowd_and_not_ordinary_callers() {
    const CROWD_BODY: usize = 900_000;
    const TICK: Duration = Duration::from_millis(20);
    const ORDINARY_TIME: Duration = Duration::from_millis(60);
    let account = account(MAX_BYTES, usize::MAX);
    let start = Instant::now();
    let mut crowd: Vec<(usize, Connection)> = Vec::new();
    let mut ordinary: Vec<Connection> = Vec::new();
    let (mut refused, mut served, mut most) = (0, 0, 0);
    for step in 0..500_u32 {
        let now = start + TICK * step;
        ordinary.retain(|connection| now < connection.since + ORDINARY_TIME);
        // Two of the crowd and one ordinary caller arrive in each step.
        let bodies = [
            CROWD_BODY,
            CROWD_BODY,
            [2_000, 50_000, CROWD_BODY][step as usize % 3],
        ];
        for (number, body) in bodies.into_iter().enumerate() {
            let candidates = crowd.iter().map(|(key, connection)| (*key, connection));
            let numbered = ordinary.iter().enumerate();
            let candidates = candidates.chain(numbered.map(|(key, open)| (1_000_000 + key, open)));
            let candidates = candidates.map(|(key, connection)| Candidate {
                key,
                bytes: connection.share.bytes(),
                since: connection.since,
            });
            let chosen = account.choose(body, candidates.collect(), now);
            assert!(chosen.iter().all(|key| *key < 1_000_000), "ordinary closed");
            crowd.retain(|(key, _)| !chosen.contains(key));
            let is_ordinary = number == 2;
            if !account.admits(0, body) {
                refused += usize::from(is_ordinary);
                continue;
            }
            let mut connection = Connection {
                since: now,
                share: account.share(Holder::Bodies),
            };
            connection.share.resize(body);
            served += usize::from(is_ordinary);
            match is_ordinary {
                true => ordinary.push(connection),
                false => crowd.push((step as usize * 2 + number, connection)),
            }
        }
        most = most.max(account.total());
    }
    assert_eq!((refused, served), (0, 500));
    assert!(most <= MAX_BYTES + MAX_BYTES / 8, "{most} bytes");
    drop((crowd, ordinary));
    assert_eq!(account.total(), 0);
}

/// Guards against a choice of the newest connection, or of one that holds next to nothing.
#[test]
fn memory_account_chooses_what_holds_most_for_longest() {
    struct Case {
        name: &'static str,
        /// Bytes and age in milliseconds of each connection.
        connections: &'static [(usize, u64)],
        needed: usize,
        closed: &'static [usize],
    }
    const CASES: &[Case] = &[
        Case {
            name: "there is room",
            connections: &[(8 * MB, 900), (1, 900)],
            needed: MB,
            closed: &[],
        },
        Case {
            name: "all have just begun",
            connections: &[(30 * MB, 100), (10 * MB, 200)],
            needed: MB,
            closed: &[],
        },
        Case {
            name: "the slowest of equal ones",
            connections: &[(20 * MB, 400), (20 * MB, 900)],
            needed: MB,
            closed: &[1],
        },
        Case {
            name: "a large one before an older small one",
            connections: &[(MB, 4_000), (39 * MB, 400)],
            needed: MB,
            closed: &[1],
        },
        Case {
            name: "as many as needed",
            connections: &[(20 * MB, 900), (20 * MB, 800), (1, 9_000)],
            needed: 30 * MB,
            closed: &[0, 1],
        },
    ];
    for case in CASES {
        let account = account(MAX_BYTES, usize::MAX);
        let now = Instant::now() + Duration::from_secs(60);
        let mut held = account.share(Holder::Bodies);
        held.resize(case.connections.iter().map(|(bytes, _)| bytes).sum());
        let candidates = case.connections.iter().enumerate();
        let candidates = candidates.map(|(key, (bytes, age_ms))| Candidate {
            key,
            bytes: *bytes,
            since: now - Duration::from_millis(*age_ms),
        });
        let closed = account.choose(case.needed, candidates.collect(), now);
        assert_eq!(closed, case.closed, "{}", case.name);
    }
}

#[test]
fn memory_account_admits_a_single_request_of_any_size_and_small_ones_into_a_reserve() {
    let account = account(MB, 8);
    assert!(account.admits(0, 5 * MB), "nothing else is held");
    let mut share = account.share(Holder::Bodies);
    share.resize(MB);
    assert!(account.admits(MB, 4 * MB), "only its own bytes are held");
    assert!(!account.admits(0, 64 * 1024));
    assert!(account.admits(0, 1_000), "small, into the reserve");
    share.resize(MB + MB / 8);
    assert!(!account.admits(0, 1_000), "the reserve is used up");
    drop(share);
    assert_eq!(account.total(), 0);
}

/// Guards against connections to many leaves that leave no descriptor to callers.
#[test]
fn memory_account_accepts_callers_within_the_descriptors() {
    let account = account(MB, 80);
    assert!(account.accepts(39, 40));
    assert!(!account.accepts(40, 40));
    assert!(account.accepts(9, 400));
    assert!(!account.accepts(10, 400));
    let now = Instant::now() + Duration::from_secs(60);
    let candidates = [300, 900, 100].map(|age_ms| Candidate {
        key: age_ms as usize,
        bytes: 1,
        since: now - Duration::from_millis(age_ms),
    });
    assert_eq!(account.choose_connection(&candidates, now), Some(900));
    assert_eq!(account.choose_connection(&candidates[2..], now), None);
}
