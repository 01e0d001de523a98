//! The gateway follows a store that comes back from an older copy of itself: revisions go back and
//! are given out again, and what was written since the copy was made is lost.

use std::time::Duration;

use super::fixture::{Fixture, document, leaf, service_route};

/// Time in which a gateway that reaches the store has received every change. It pauses between its
/// calls.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time for which the store keeps a removed leaf as the last choice.
const UNREGISTERED_TIME: Duration = Duration::from_millis(2_500);

#[test]
fn platform_restore_applies_what_is_written_after_the_store_went_back() {
    let fixture = Fixture::start();
    let routes = [service_route("/a/", "idempotent", "one")];
    fixture.configure(1, &routes);
    let backup = fixture.store.back_up();
    // More changes than are made after the restore, so that revisions are given out again.
    for number in 0..40 {
        fixture.store.put("servers/odd", format!("change {number}"));
    }
    fixture.configure(2, &routes);
    fixture.store.restore(&backup);
    std::thread::sleep(SETTLE_TIME);
    assert_ne!(
        fixture.get("/v2/", 1000).status,
        404,
        "the version in force never goes back"
    );
    let late = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    fixture.store.put("op/config", document(2, &routes));
    fixture.configure(3, &routes);
    drop(late);
}

/// How a leaf left after the copy was made.
#[derive(Debug)]
enum Departure {
    RegisteredAsLeaving,
    Removed,
}

#[test]
fn platform_restore_gives_no_work_to_a_leaf_that_had_left() {
    for departure in [Departure::RegisteredAsLeaving, Departure::Removed] {
        let fixture = Fixture::start();
        fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
        let left = leaf(&fixture, "one", b"one");
        fixture.wait_for_leaf("/a/x");
        let backup = fixture.store.back_up();
        match departure {
            Departure::RegisteredAsLeaving => left.register(&fixture.store, "draining"),
            Departure::Removed => fixture.store.remove(&left.key()),
        }
        std::thread::sleep(UNREGISTERED_TIME + SETTLE_TIME);
        let before = left.arrivals().len();
        fixture.store.restore(&backup);
        std::thread::sleep(SETTLE_TIME);
        for _ in 0..10 {
            assert_eq!(fixture.get("/a/x", 1000).status, 503, "{departure:?}");
        }
        assert_eq!(left.arrivals().len(), before, "{departure:?}");
        // A later heartbeat shows that the leaf lives.
        left.register(&fixture.store, "ready");
        fixture.wait_for_leaf("/a/x");
    }
}

#[test]
fn platform_restore_keeps_leaves_that_the_copy_lists() {
    let fixture = Fixture::start();
    fixture.configure(1, &[service_route("/a/", "idempotent", "one")]);
    let one = leaf(&fixture, "one", b"one");
    fixture.wait_for_leaf("/a/x");
    let backup = fixture.store.back_up();
    fixture.store.put("servers/odd", "a change");
    std::thread::sleep(SETTLE_TIME);
    fixture.store.restore(&backup);
    for _ in 0..100 {
        assert_eq!(fixture.get("/a/x", 1000).status, 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(one);
}
