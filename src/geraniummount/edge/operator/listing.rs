//! Resources and their changes as operators read them.

use serde::Serialize;
use serde_json::Value;

use crate::core::change::{self, Entry};
use crate::core::change_log::Delta;
use crate::core::resource::{Kind, Resource};
use crate::prelude::*;

/// Resources of one kind.
#[derive(Debug, Serialize)]
pub(super) struct Listing {
    /// Revision in force.
    pub(super) revision: Revision,
    /// Resources by name.
    pub(super) items: Vec<Item>,
}

/// One resource.
#[derive(Debug, Serialize)]
pub(super) struct Item {
    kind: Kind,
    name: String,
    /// Revision of its last change.
    pub(super) generation: Generation,
    spec: Value,
}

/// What became of the configuration after a revision.
#[derive(Debug, Serialize)]
pub(super) struct Changes {
    /// Revision in force.
    revision: Revision,
    /// Whether single changes are missing, as they are no longer kept.
    gap: bool,
    changes: Vec<Change>,
}

/// One change of the configuration.
#[derive(Debug, Serialize)]
struct Change {
    revision: Revision,
    action: &'static str,
    kind: Kind,
    name: String,
}

impl Item {
    pub(super) fn new(record: &Record<Resource>) -> Item {
        let spec = match &record.spec {
            Resource::Leaf(leaf) => serde_json::to_value(leaf),
            Resource::Service(service) => serde_json::to_value(service),
        };
        Item {
            kind: record.spec.kind(),
            name: record.spec.name().to_string(),
            generation: record.generation,
            spec: spec.unwrap_or_default(),
        }
    }
}

impl Changes {
    pub(super) fn new(delta: &Delta) -> Changes {
        Changes {
            revision: delta.revision,
            gap: delta.catalog.is_some(),
            changes: delta
                .entries
                .iter()
                .map(|entry| Change::new(entry))
                .collect(),
        }
    }
}

impl Change {
    fn new(entry: &Entry) -> Change {
        Change {
            revision: entry.revision,
            action: match entry.change.action {
                change::Action::Put(_) => "put",
                change::Action::Delete => "delete",
            },
            kind: entry.change.kind,
            name: entry.change.name.clone(),
        }
    }
}
