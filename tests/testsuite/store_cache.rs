//! Tests that the cached state of the store never goes back to an older one.

use geraniummount::core::store::cache::{AnswerEra, StoreCache};
use proptest::prelude::*;

use crate::seeded;

/// An event received from the store.
#[derive(Clone, Debug)]
enum Event {
    /// A key was written or removed. Changes may arrive out of order or more than once.
    Change {
        key: u8,
        revision: u64,
        is_removed: bool,
    },
}

fn event() -> impl Strategy<Value = Event> {
    (0_u8..4, 1_u64..40, any::<bool>()).prop_map(|(key, revision, is_removed)| Event::Change {
        key,
        revision,
        is_removed,
    })
}

proptest! {
    #![proptest_config(seeded::config(300))]

    #[test]
    fn store_cache_keeps_the_newest_revision_of_each_key_in_any_order(
        changes in prop::collection::vec(event(), 0..60),
    ) {
        let mut cache = StoreCache::default();
        let mut newest = [0_u64; 4];
        for Event::Change { key, revision, is_removed } in changes {
            let name = format!("k{key}");
            if is_removed {
                cache.remove(&name, revision);
            } else {
                cache.put(name.clone(), revision, vec![key]);
            }
            if let Some((cached_revision, _)) = cache.get(&name) {
                prop_assert!(cached_revision >= newest[usize::from(key)].min(cached_revision));
                prop_assert!(cached_revision >= revision || is_removed);
                newest[usize::from(key)] = cached_revision;
            }
        }
    }
}

#[test]
fn store_cache_ignores_a_read_older_than_the_cached_data() {
    let mut cache = StoreCache::default();
    assert!(cache.replace([("a".to_string(), 5, b"new".to_vec())], 9));
    assert!(!cache.replace([("a".to_string(), 3, b"old".to_vec())], 8));
    assert_eq!(cache.get("a"), Some((5, b"new".as_slice())));
    assert_eq!(cache.as_of(), Some(9));
    cache.clear_as_of();
    assert_eq!(cache.as_of(), None, "all keys have to be read again");
    assert_eq!(
        cache.get("a"),
        Some((5, b"new".as_slice())),
        "the cached keys stay"
    );
    assert!(cache.replace([], 10));
    assert_eq!(cache.get("a"), None);
}

#[test]
fn store_cache_applies_an_event_once() {
    let mut cache = StoreCache::default();
    cache.replace([], 1);
    assert!(cache.put("a".to_string(), 2, b"x".to_vec()));
    assert!(!cache.put("a".to_string(), 2, b"x".to_vec()));
    assert!(!cache.remove("a", 1), "an older removal is ignored");
    assert!(cache.remove("a", 3));
    assert!(!cache.remove("a", 3));
}

#[test]
fn store_cache_is_behind_a_revision_newer_than_all_it_received() {
    let mut cache = StoreCache::default();
    assert!(!cache.is_behind(9), "nothing has been read yet");
    cache.replace([], 5);
    assert!(!cache.is_behind(5));
    assert!(!cache.is_behind(4), "the store's answer may be outdated");
    assert!(cache.is_behind(6));
    cache.advance(6);
    assert!(!cache.is_behind(6));
}

/// The eras of two answers, and how the second one compares with the data of the first.
#[derive(Debug)]
struct EraCase {
    known: Option<u64>,
    answer: Option<u64>,
    compared: AnswerEra,
}

const ERA_CASES: &[EraCase] = &[
    EraCase {
        known: None,
        answer: None,
        compared: AnswerEra::Current,
    },
    EraCase {
        known: None,
        answer: Some(3),
        compared: AnswerEra::Current,
    },
    EraCase {
        known: Some(3),
        answer: None,
        compared: AnswerEra::Current,
    },
    EraCase {
        known: Some(3),
        answer: Some(3),
        compared: AnswerEra::Current,
    },
    EraCase {
        known: Some(3),
        answer: Some(4),
        compared: AnswerEra::Newer,
    },
    EraCase {
        known: Some(3),
        answer: Some(2),
        compared: AnswerEra::Older,
    },
];

#[test]
fn store_cache_compares_revisions_only_within_an_era() {
    for case in ERA_CASES {
        let mut cache = StoreCache::default();
        cache.observe_era(case.known);
        cache.replace([("a".to_string(), 8, b"first".to_vec())], 9);
        assert_eq!(cache.observe_era(case.answer), case.compared, "{case:?}");
        let is_newer = case.compared == AnswerEra::Newer;
        assert_eq!(cache.as_of(), (!is_newer).then_some(9), "{case:?}");
        assert_eq!(cache.get("a"), Some((8, b"first".as_slice())), "{case:?}");
        let is_replaced = cache.replace([("a".to_string(), 2, b"second".to_vec())], 4);
        assert_eq!(is_replaced, is_newer, "{case:?}");
    }
}

#[test]
fn store_cache_replaces_only_the_keys_with_the_prefix() {
    let mut cache = StoreCache::default();
    let keys = ["a/1", "b/1", "b/2", "c/1"];
    cache.replace(keys.map(|key| (key.to_string(), 1, Vec::new())), 1);
    let read = [("b/2".to_string(), 5, b"new".to_vec())];
    assert!(cache.replace_under("b/", None, read, 7));
    let under: Vec<_> = cache.iter_under("b/").collect();
    assert_eq!(under, [("b/2", 5, b"new".as_slice())]);
    assert!(cache.get("a/1").is_some() && cache.get("c/1").is_some());
    assert_eq!(cache.as_of(), Some(1), "other keys may have changed");
    assert!(!cache.replace_under("b/", None, [], 6), "the read is older");
}

#[test]
fn store_cache_keeps_the_keys_after_the_end_of_a_read_that_is_not_complete() {
    let mut cache = StoreCache::default();
    let keys = ["a", "b", "c", "d"];
    cache.replace(keys.map(|key| (key.to_string(), 3, b"old".to_vec())), 4);
    let read = [("a", 6), ("d", 7)].map(|(key, at)| (key.to_string(), at, b"new".to_vec()));
    assert!(cache.replace_under("", Some("b"), read, 8));
    let known: Vec<_> = cache.iter_under("").map(|(key, at, _)| (key, at)).collect();
    assert_eq!(known, [("a", 6), ("c", 3), ("d", 7)], "b was removed");
    assert_eq!(cache.as_of(), Some(4), "further changes may be missing");
}

#[test]
fn store_cache_keeps_the_newest_state_of_a_key_that_a_read_contains_twice() {
    let mut cache = StoreCache::default();
    let read = [("a", 2), ("b", 5), ("a", 4), ("b", 1), ("a", 3)];
    cache.replace(
        read.map(|(key, at)| (key.to_string(), at, vec![at as u8])),
        9,
    );
    let known: Vec<_> = cache.iter_under("").collect();
    assert_eq!(known, [("a", 4, [4].as_slice()), ("b", 5, [5].as_slice())]);
}
