//! What the store's answers hold.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize};

use crate::prelude::*;

/// A key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; in messages as base64 text.
    #[serde(deserialize_with = "base64_text")]
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// A page of keys under one prefix.
#[derive(Debug, Deserialize)]
pub struct Range {
    /// Keys with values, sorted by key.
    pub items: Vec<Item>,
    /// Whether more keys follow.
    #[serde(default)]
    pub truncated: bool,
    /// The store's revision.
    #[serde(rename = "asOf")]
    pub as_of: Revision,
}

/// Changes under one prefix.
#[derive(Debug, Deserialize)]
pub struct Events {
    /// Changes in order.
    pub events: Vec<Event>,
    /// Revision from which to go on.
    #[serde(rename = "asOf")]
    pub as_of: Revision,
}

/// One change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Written(Item),
    /// A key was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// A lease; the keys written under it are removed when it ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Lease {
    /// Number of the lease.
    #[serde(rename = "lease")]
    pub id: u64,
    /// Time until it ends, in milliseconds from the call's arrival.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// A change of several keys, all or nothing.
#[derive(Debug, Serialize)]
pub(super) struct Change<'a> {
    /// Keys with the revisions that they have to be at; none here.
    #[serde(rename = "precondition")]
    pub(super) conditions: [(); 0],
    pub(super) puts: [Put<'a>; 1],
    /// Keys to remove; none here.
    pub(super) remove: [(); 0],
}

/// A key to be written under a lease.
#[derive(Debug, Serialize)]
pub(super) struct Put<'a> {
    pub(super) key: &'a str,
    /// As base64 text.
    pub(super) value: String,
    /// Number of the lease.
    pub(super) lease: u64,
}

/// Returns a value as it stands in messages.
pub(super) fn to_base64(value: &[u8]) -> String {
    STANDARD.encode(value)
}

fn base64_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}
