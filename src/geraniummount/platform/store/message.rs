//! What the store's answers hold.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};

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

fn base64_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}
