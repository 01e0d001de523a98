//! Replies of a leaf that never end: the part fails before its deadline, and the VM takes a bounded
//! number of bytes.

use geraniummount_test_support::endless::{ANSWERED_KINDS, Endless, KINDS};

use super::*;

/// Maximum number of bytes that one part takes of such a reply, including the buffers of the
/// sockets: a small share of a VM's memory.
const MAX_TAKEN_BYTES: usize = 16 * 1024 * 1024;

#[test]
fn leaf_edge_endless_replies_fail_before_the_deadline() {
    for kind in KINDS {
        let endless = Endless::start(*kind);
        let fixture = Fixture::start(Behaviour::default());
        fixture.set_leaf_address(endless.address());
        let outcome = fixture.send_and_wait(part(true, TEST_TIMEOUT / 2));
        let failure = outcome.result.expect_err("an endless reply is no reply");
        assert_eq!(failure.verdict, Verdict::MayHaveRun, "{kind:?}");
        assert_ne!(failure.reason, Reason::Deadline, "{kind:?}");
        let taken = endless.written() / endless.connections();
        assert!(taken <= MAX_TAKEN_BYTES, "{kind:?}: {taken} bytes");
    }
}

/// The replies lack what names their attempt, so they end the part at once; what follows them belongs
/// to nobody.
#[test]
fn leaf_edge_endless_bytes_after_a_reply_are_not_kept() {
    for kind in ANSWERED_KINDS {
        let endless = Endless::start(*kind);
        let fixture = Fixture::start(Behaviour::default());
        fixture.set_leaf_address(endless.address());
        for _ in 0..4 {
            let outcome = fixture.send_and_wait(part(true, TEST_TIMEOUT / 2));
            let failure = outcome.result.expect_err("no reply to this attempt");
            assert_ne!(failure.reason, Reason::Deadline, "{kind:?}");
            thread::sleep(Duration::from_millis(100));
        }
        let taken = endless.written() / endless.connections();
        assert!(taken <= MAX_TAKEN_BYTES, "{kind:?}: {taken} bytes");
    }
}
