//! Checks the change log in the platform's key-value service: reuse of slots, and checkpoints that
//! are split into several values.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use geraniummount::core::config::change::Entry;
use geraniummount::core::config::change_log::{
    ChangeLog, Delta, LOG_SLOTS, REVISIONS_PER_CHECKPOINT,
};
use geraniummount::core::config::resource::Kind;
use geraniummount::edge::metrics::Metrics;
use geraniummount::edge::platform::Platform;
use geraniummount::edge::platform::log_store::LogStore;
use geraniummount::edge::registry::{Error, Registry};
use geraniummount::prelude::*;
use geraniummount::util::published::Published;
use geraniummount_test_support::platform::{self, Outage};

use serde_json::json;

use crate::control_change_log::leaf_put;

fn store(platform: &platform::Platform) -> LogStore {
    let client = Platform::new(platform.address(), "test", Metrics::default());
    LogStore::new(client)
}

/// Creates a registry whose copy of the log merges each update immediately.
fn registry(store: &LogStore) -> Registry {
    let log = Arc::new(Published::new(ChangeLog::default()));
    let copy = Mutex::new(ChangeLog::default());
    let published = Arc::clone(&log);
    let merge_delta = move |delta: Delta| {
        let mut copy = copy.lock().expect("the mutex is not poisoned");
        if copy.merge(delta) {
            published.set(copy.clone());
        }
    };
    Registry::new(log, store.clone(), Box::new(merge_delta))
}

fn spec(open_ms: u64) -> String {
    format!(
        r#"{{"name": "one", "address": "10.0.0.1:80", "failure_domain": "east",
            "contract": {{"slots": 2, "connections": 25, "open_ms": {open_ms}}}}}"#
    )
}

#[test]
fn slots_are_reused_once_a_checkpoint_covers_them() {
    let platform = platform::Platform::start().expect("start the platform");
    let store = store(&platform);
    let registry = registry(&store);
    let last = LOG_SLOTS + REVISIONS_PER_CHECKPOINT / 2;
    let mut reads = 0;
    for revision in 1..=last {
        if revision == LOG_SLOTS + 2 {
            reads = platform.calls().reads;
        }
        let accepted = registry.put(Kind::Leaf, "one", &spec(revision), None);
        assert_eq!(accepted.map(|accepted| accepted.revision), Ok(revision));
    }
    // After the VM has seen the checkpoint, a change reads only its own slot.
    assert_eq!(platform.calls().reads - reads, last - LOG_SLOTS - 1);
    // A VM that starts now loads the checkpoint and reads the slots of the later revisions.
    let mut log = ChangeLog::default();
    assert!(log.install_catalog(store.load_checkpoint().expect("load the checkpoint")));
    assert_eq!(log.revision() % REVISIONS_PER_CHECKPOINT, 0);
    while let Some(entry) = store.read(log.revision() + 1).and_then(|slot| slot.entry) {
        if !log.append(entry) {
            break;
        }
    }
    assert_eq!(log.catalog(), &registry.catalog());
    assert_eq!(log.revision(), last);
}

#[test]
fn a_slot_is_reused_only_if_a_checkpoint_covers_it() {
    struct Case {
        name: &'static str,
        /// Revision of a copy that was received whole from a peer.
        copy: Revision,
        accepted: bool,
    }
    let cases = [
        Case {
            name: "the copy is at a checkpoint revision and is stored as a checkpoint",
            copy: LOG_SLOTS,
            accepted: true,
        },
        Case {
            name: "no checkpoint is known",
            copy: LOG_SLOTS + 1,
            accepted: false,
        },
    ];
    for case in cases {
        let platform = platform::Platform::start().expect("start the platform");
        let store = store(&platform);
        let mut copy = ChangeLog::default();
        copy.install_catalog(Catalog {
            revision: case.copy,
            ..Catalog::default()
        });
        let log = Arc::new(Published::new(copy));
        let registry = Registry::new(log, store.clone(), Box::new(|_| {}));
        let answer = registry.put(Kind::Leaf, "one", &spec(1), None);
        if case.accepted {
            let accepted = answer.map(|accepted| accepted.revision);
            assert_eq!(accepted, Ok(case.copy + 1), "{}", case.name);
            assert_eq!(
                store.checkpoint_revision(),
                Some(LOG_SLOTS),
                "{}",
                case.name
            );
        } else {
            let is_rejected = matches!(answer, Err(Error::PlatformDown { .. }));
            assert!(is_rejected, "{}: {answer:?}", case.name);
            assert_eq!(platform.calls().writes, 0, "{}", case.name);
        }
    }
}

#[test]
fn a_checkpoint_is_read_back_whole() {
    let platform = platform::Platform::start().expect("start the platform");
    let store = store(&platform);
    let mut catalog = Catalog::default();
    for revision in 1..=8 * REVISIONS_PER_CHECKPOINT {
        // Long names make the catalog larger than one value.
        let name = format!("{}-{revision}", "leaf".repeat(100));
        let change = leaf_put(revision, &name, revision as u16, 0);
        catalog.apply(&Entry { revision, change });
    }
    assert_eq!(store.load_checkpoint(), Some(Catalog::default()));
    assert_eq!(store.save_checkpoint(&catalog), Some(()));
    assert_eq!(store.load_checkpoint().as_ref(), Some(&catalog));
    // An older checkpoint does not replace a newer one.
    let older = Catalog {
        revision: REVISIONS_PER_CHECKPOINT,
        ..Catalog::default()
    };
    assert_eq!(store.save_checkpoint(&older), Some(()));
    assert_eq!(store.load_checkpoint().as_ref(), Some(&catalog));
    platform.change(|behaviour| behaviour.outage = Outage::Reject);
    assert_eq!(store.load_checkpoint(), None);
}

/// An entry of another writer in the platform's list of members must cost none of the others.
#[test]
fn control_members_are_read_without_entries_that_cannot_be_read() {
    let platform = platform::Platform::start().expect("start the platform");
    let client = Platform::new(platform.address(), "test", Metrics::default());
    let address = "127.0.0.1:9".parse().unwrap();
    let sound = platform::Member {
        name: "leaf-1".to_owned(),
        address,
        failure_domain: "a".to_owned(),
        state: platform::MemberState::Leaving,
    };
    platform.set_members([sound]);
    let odd = [
        json!(null),
        json!(7),
        json!("leaf-2"),
        json!({}),
        json!({"name": "leaf-3", "address": "nowhere", "state": "live"}),
        json!({"name": "leaf & +#%", "address": "127.0.0.1:9", "state": "gone"}),
        json!({"name": 4, "address": "127.0.0.1:9", "state": "live"}),
    ];
    for odd in odd {
        platform.set_odd_members([odd.clone()]);
        let members = client.members(None, Duration::ZERO).flatten();
        let members = members
            .unwrap_or_else(|| panic!("no list with {odd}"))
            .members;
        let names: Vec<&str> = members.iter().map(|member| member.name.as_str()).collect();
        assert_eq!(names, ["leaf-1"], "{odd}");
    }
}
