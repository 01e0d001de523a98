//! What is known of the store never goes back.

use geraniummount::core::store_cache::StoreCache;
use proptest::prelude::*;

use crate::seeded;

/// One thing heard of the store.
#[derive(Clone, Debug)]
enum Heard {
    /// A key was written or removed, in order or again.
    Change {
        key: u8,
        revision: u64,
        removed: bool,
    },
}

fn heard() -> impl Strategy<Value = Heard> {
    (0_u8..4, 1_u64..40, any::<bool>()).prop_map(|(key, revision, removed)| Heard::Change {
        key,
        revision,
        removed,
    })
}

proptest! {
    #![proptest_config(seeded::config(300))]

    #[test]
    fn feed_keeps_the_newest_of_each_key_in_any_order(
        changes in prop::collection::vec(heard(), 0..60),
    ) {
        let mut feed = StoreCache::default();
        let mut newest = [0_u64; 4];
        for Heard::Change { key, revision, removed } in changes {
            let name = format!("k{key}");
            if removed {
                feed.remove(&name, revision);
            } else {
                feed.put(name.clone(), revision, vec![key]);
            }
            if let Some((known, _)) = feed.get(&name) {
                prop_assert!(known >= newest[usize::from(key)].min(known));
                prop_assert!(known >= revision || removed);
                newest[usize::from(key)] = known;
            }
        }
    }
}

#[test]
fn feed_ignores_a_read_from_before_what_is_known() {
    let mut feed = StoreCache::default();
    assert!(feed.replace([("a".to_string(), 5, b"new".to_vec())], 9));
    assert!(!feed.replace([("a".to_string(), 3, b"old".to_vec())], 8));
    assert_eq!(feed.get("a"), Some((5, b"new".as_slice())));
    assert_eq!(feed.as_of(), Some(9));
    feed.clear_as_of();
    assert_eq!(feed.as_of(), None, "all keys are read again");
    assert_eq!(
        feed.get("a"),
        Some((5, b"new".as_slice())),
        "what is known holds"
    );
    assert!(feed.replace([], 10));
    assert_eq!(feed.get("a"), None);
}

#[test]
fn feed_takes_an_event_once() {
    let mut feed = StoreCache::default();
    feed.replace([], 1);
    assert!(feed.put("a".to_string(), 2, b"x".to_vec()));
    assert!(!feed.put("a".to_string(), 2, b"x".to_vec()));
    assert!(!feed.remove("a", 1), "an older removal");
    assert!(feed.remove("a", 3));
    assert!(!feed.remove("a", 3));
}

#[test]
fn feed_misses_what_is_newer_than_all_that_was_heard() {
    let mut feed = StoreCache::default();
    assert!(!feed.is_behind(9), "nothing was read yet");
    feed.replace([], 5);
    assert!(!feed.is_behind(5));
    assert!(!feed.is_behind(4), "the store's answer may be old");
    assert!(feed.is_behind(6));
    feed.advance(6);
    assert!(!feed.is_behind(6));
}
