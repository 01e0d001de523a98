//! Guards against a reply whose status is no final one and that passes for an answer.

use geraniummount_test_support::raw_server::RawServer;

use super::*;
use crate::platform::status_cases::{CASES, response};

#[test]
fn leaf_edge_statuses_other_than_final_ones_mean_that_the_part_may_have_run() {
    for case in CASES {
        let server = RawServer::start(|arrival| response(case.start, arrival));
        let fixture = Fixture::start(Behaviour::default());
        fixture.set_leaf_address(server.address());
        let outcomes = [(); 2].map(|()| fixture.send_and_wait(part(false, TEST_TIMEOUT / 2)));
        for outcome in outcomes {
            let verdict = outcome.result.map_err(|failure| failure.verdict);
            match case.passed {
                Some(200) => assert!(verdict.is_ok(), "{:?}: {verdict:?}", case.start),
                _ => assert_eq!(verdict.err(), Some(Verdict::MayHaveRun), "{:?}", case.start),
            }
        }
        let parts = server.arrivals();
        let mut parts = parts.iter().filter(|part| part.head.starts_with("POST"));
        let pair = (parts.next().unwrap(), parts.next().unwrap());
        let is_reused = pair.0.connection == pair.1.connection;
        assert!(!is_reused || case.passed.is_some(), "{:?}", case.start);
    }
}
