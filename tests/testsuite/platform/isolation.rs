//! A gateway takes itself as cut off by leaves of other domains only.

use std::time::Duration;

use geraniummount_test_support::platform::users::{Answer, Store};

use super::scene::{Scene, leaf, service_route};

/// Leaves of the own domain. One alone would soon be left alone.
const LEAVES: usize = 8;

/// Requests that the silent leaves get; more than a suspicion takes.
const REQUESTS: usize = 12;

/// Longer than a gateway waits for an answer that nobody waits for.
const SILENCE: Duration = Duration::from_millis(500);

#[test]
fn platform_isolation_is_not_shown_by_silent_leaves_of_the_own_domain() {
    let mut scene = Scene::start();
    scene.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let leaves = [(); LEAVES].map(|()| leaf(&scene, "one", b"record"));
    scene.wait(|scene| {
        scene.get("/a/x", 2000);
        leaves.iter().all(|leaf| !leaf.runs().is_empty())
    });
    for leaf in &leaves {
        leaf.set_answer(Answer::Late(Duration::from_secs(5)));
    }
    drop(std::mem::replace(&mut scene.store, Store::start()));
    for _ in 0..REQUESTS {
        assert_ne!(scene.get("/a/x", 150).status, 200);
    }
    std::thread::sleep(SILENCE);
    scene.get("/a/x", 150);
    std::thread::sleep(SILENCE);
    assert!(scene.is_ready());
}
