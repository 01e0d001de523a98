//! Messages in the answers of the key-value store of the users' platform. A revision of the store
//! is the position of a change among all changes of keys.
//!
//! One entry that can't be read must not cost the others of its page, so entries are read one by
//! one.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use log::warn;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::prelude::*;
use crate::util::json;

/// A key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Item {
    /// Key, including the prefix by which it was found.
    pub key: String,
    /// Value, encoded as base64 in messages; empty if it can't be decoded.
    #[serde(deserialize_with = "base64_text")]
    pub value: Vec<u8>,
    /// Revision of the last change to the key.
    pub revision: Revision,
}

/// Id of a lease of the store. Keys that a lease holds are removed when it ends.
pub type LeaseId = u64;

/// Answer to the request of a lease.
#[derive(Debug, Deserialize)]
pub(super) struct Granted {
    /// The lease.
    pub(super) lease: LeaseId,
}

/// One page of the keys with a prefix.
#[derive(Debug)]
pub struct Range {
    /// Keys of this page with their values, sorted by key, without those that can't be read.
    pub items: Vec<Item>,
    /// Last key of this page that can be read, whether or not the rest of its entry can be;
    /// `None` if there is none.
    pub last_key: Option<String>,
    /// Whether further keys follow on the next page.
    pub truncated: bool,
    /// Revision of the store at which the page was read.
    pub as_of: Revision,
    /// Era of the store; `None` if the answer does not state it.
    pub era: Option<Era>,
}

/// A page as the store sends it.
#[derive(Deserialize)]
struct Page<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    truncated: bool,
    #[serde(rename = "asOf")]
    as_of: Revision,
}

/// The part of an entry by which a read continues.
#[derive(Deserialize)]
struct Keyed {
    key: String,
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Range, D::Error> {
        let page = Page::deserialize(deserializer)?;
        Ok(Range {
            last_key: last_key(&page.items),
            items: read_items(page.items),
            truncated: page.truncated,
            as_of: page.as_of,
            era: None,
        })
    }
}

fn last_key(entries: &[&RawValue]) -> Option<String> {
    let mut keyed = entries
        .iter()
        .rev()
        .filter_map(|entry| serde_json::from_str(entry.get()).ok());
    keyed.next().map(|keyed: Keyed| keyed.key)
}

/// Changes to the keys with a prefix.
#[derive(Debug, Deserialize)]
pub struct Events {
    /// Changes in revision order, without those that can't be read.
    #[serde(deserialize_with = "readable")]
    pub events: Vec<Event>,
    /// Revision after which the next watch continues.
    #[serde(rename = "asOf")]
    pub as_of: Revision,
    /// Era of the store; `None` if the answer does not state it.
    #[serde(skip)]
    pub era: Option<Era>,
}

/// A change to one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Written(Item),
    /// A key was removed.
    Removed {
        /// The removed key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

impl Event {
    /// Returns the revision of the store at the change.
    pub fn revision(&self) -> Revision {
        match self {
            Event::Written(item) => item.revision,
            Event::Removed { revision, .. } => *revision,
        }
    }
}

fn base64_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    // The key is known to have changed, so the value that it had before does not hold any more.
    Ok(STANDARD.decode(text).unwrap_or_else(|error| {
        warn!(
            "store event=value-unreadable action=take-as-empty error={:?}",
            error.to_string()
        );
        Vec::new()
    }))
}

/// Reads a list without the entries that do not have the expected form.
fn readable<'de, D: Deserializer<'de>, T: DeserializeOwned>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    Vec::<&'de RawValue>::deserialize(deserializer).map(read_items)
}

fn read_items<T: DeserializeOwned>(entries: Vec<&RawValue>) -> Vec<T> {
    json::read_entries(entries, |error| {
        warn!(
            "store event=entry-unreadable action=skip error={:?}",
            error.to_string()
        );
    })
}
