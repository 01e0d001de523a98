//! A gateway suspects that it is isolated only because of leaves in other failure domains.

use std::time::Duration;

use geraniummount_test_support::platform::users::{Answer, Store};

use super::fixture::{Fixture, leaf, service_route};

/// Number of leaves in the gateway's failure domain. A single leaf would soon be suspended and get
/// no more requests.
const LEAVES: usize = 8;

/// Number of requests to the unresponsive leaves; more than are needed to suspect isolation.
const REQUESTS: usize = 12;

/// Exceeds the time that a gateway waits for the response to an abandoned attempt.
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
