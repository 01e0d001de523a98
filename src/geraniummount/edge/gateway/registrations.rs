//! Registrations of the leaves as they were last parsed.
//!
//! Most registrations are the same from one read of the store to the next, so each is parsed only
//! when its key has a new revision, and an invalid one is logged only once.

use log::warn;

use crate::core::instance::Instance;
use crate::core::store::cache::StoreCache;
use crate::platform;
use crate::prelude::*;

/// Parsed registrations of the leaves.
#[derive(Debug, Default)]
pub(super) struct Registrations {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Era of the store in which the revisions of the entries were given out.
    era: Era,
}

/// A registration, parsed.
#[derive(Debug)]
struct Entry {
    /// Key of the store.
    key: String,
    /// Revision of the store at the last change of the key.
    revision: Revision,
    /// The leaf; `None` if the registration is invalid.
    instance: Option<Instance>,
}

impl Registrations {
    /// Parses the registrations that changed; returns all valid ones.
    pub(super) fn update(&mut self, cache: &StoreCache) -> Vec<Instance> {
        let mut known = std::mem::take(&mut self.entries);
        if cache.era() != self.era {
            self.era = cache.era();
            known.clear();
        }
        let keys = cache.iter_under(platform::REGISTRATION_PREFIX);
        self.entries = keys
            .map(|(key, revision, value)| Entry::reuse_or_parse(&known, key, revision, value))
            .collect();
        let instances = self.entries.iter();
        instances
            .filter_map(|entry| entry.instance.clone())
            .collect()
    }
}

impl Entry {
    fn reuse_or_parse(known: &[Entry], key: &str, revision: Revision, value: &[u8]) -> Entry {
        let index = known.binary_search_by(|entry| entry.key.as_str().cmp(key));
        let unchanged = index.ok().map(|index| &known[index]);
        let instance = match unchanged.filter(|entry| entry.revision == revision) {
            Some(entry) => entry.instance.clone(),
            None => parse(key, value),
        };
        Entry {
            key: key.to_string(),
            revision,
            instance,
        }
    }
}

fn parse(key: &str, value: &[u8]) -> Option<Instance> {
    match platform::registration::read(key, value) {
        Ok(instance) => Some(instance),
        Err(error) => {
            warn!(
                "leaf key={key:?} outcome=ignored error={:?}",
                error.to_string()
            );
            None
        }
    }
}
