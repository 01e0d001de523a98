//! Tests that the cached state of the store never goes back to an older one.

use geraniummount::core::store_cache::StoreCache;
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
