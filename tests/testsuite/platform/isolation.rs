//! A gateway takes itself as cut off by leaves of other domains only.

use std::time::Duration;

use geraniummount_test_support::platform::users::{Answer, Store};

use super::fixture::{Fixture, leaf, service_route};

/// Leaves of the own domain. One alone would soon be left alone.
const LEAVES: usize = 8;

/// Requests that the silent leaves get; more than a suspicion takes.
const REQUESTS: usize = 12;

/// Longer than a gateway waits for an answer that nobody waits for.
const SETTLE_DELAY: Duration = Duration::from_millis(500);

#[test]
fn platform_isolation_is_not_detected_from_unresponsive_leaves_of_the_same_domain() {
    let mut fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let leaves = [(); LEAVES].map(|()| leaf(&fixture, "one", b"record"));
    fixture.wait_until(|fixture| {
        fixture.get("/a/x", 2000);
        leaves.iter().all(|leaf| !leaf.runs().is_empty())
    });
    for leaf in &leaves {
        leaf.set_answer(Answer::Late(Duration::from_secs(5)));
    }
    drop(std::mem::replace(&mut fixture.store, Store::start()));
    for _ in 0..REQUESTS {
        assert_ne!(fixture.get("/a/x", 150).status, 200);
    }
    std::thread::sleep(SETTLE_DELAY);
    fixture.get("/a/x", 150);
    std::thread::sleep(SETTLE_DELAY);
    assert!(fixture.is_ready());
}
