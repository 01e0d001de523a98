//! Resources and their changes as operators read them.

use serde::Serialize;

use crate::core::change::{self, Entry};
use crate::core::change_log::Delta;
use crate::core::resource::Kind;
use crate::prelude::*;

/// Resources of one kind.
#[derive(Debug, Serialize)]
pub(super) struct Listing<'a> {
    /// Revision in force.
    revision: Revision,
    /// Resources by name.
    items: Vec<Item<'a>>,
}

/// One resource.
#[derive(Debug, Serialize)]
pub(super) struct Item<'a> {
    kind: Kind,
    name: &'a str,
    /// Revision of its last change.
    pub(super) generation: Generation,
    spec: Spec<'a>,
}

/// What the operator declared.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Spec<'a> {
    Leaf(&'a Leaf),
    Service(&'a Service),
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

impl<'a> Listing<'a> {
    /// Lists the resources of a kind.
    pub(super) fn new(catalog: &'a Catalog, kind: Kind) -> Listing<'a> {
        let items = match kind {
            Kind::Leaf => catalog.leaves.iter().map(Item::of_leaf).collect(),
            Kind::Service => catalog.services.iter().map(Item::of_service).collect(),
        };
        Listing {
            revision: catalog.revision,
            items,
        }
    }
}

impl<'a> Item<'a> {
    /// Finds one resource.
    pub(super) fn find(catalog: &'a Catalog, kind: Kind, name: &str) -> Option<Item<'a>> {
        match kind {
            Kind::Leaf => catalog.leaf(name).map(Item::of_leaf),
            Kind::Service => catalog.service(name).map(Item::of_service),
        }
    }

    fn of_leaf(record: &'a Record<Leaf>) -> Item<'a> {
        Item {
            kind: Kind::Leaf,
            name: &record.spec.name,
            generation: record.generation,
            spec: Spec::Leaf(&record.spec),
        }
    }

    fn of_service(record: &'a Record<Service>) -> Item<'a> {
        Item {
            kind: Kind::Service,
            name: &record.spec.name,
            generation: record.generation,
            spec: Spec::Service(&record.spec),
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
