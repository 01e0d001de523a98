//! JSON representation of resources and configuration changes in the operators' HTTP API.
//!
//! The revision of a change is its position in the log of all accepted changes.

use serde::Serialize;

use crate::core::config::change::{self, Entry};
use crate::core::config::change_log::Delta;
use crate::core::config::resource::Kind;
use crate::prelude::*;

/// All resources of one kind.
#[derive(Debug, Serialize)]
pub(super) struct Listing<'a> {
    /// Revision of the configuration in force.
    revision: Revision,
    /// Resources of the kind, sorted by name.
    items: Vec<Item<'a>>,
}

/// One resource.
#[derive(Debug, Serialize)]
pub(super) struct Item<'a> {
    kind: Kind,
    name: &'a str,
    /// Revision of the last change to the resource.
    pub(super) generation: Generation,
    spec: Spec<'a>,
}

/// Specification of a resource, as an operator declared it.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Spec<'a> {
    Leaf(&'a Leaf),
    Service(&'a Service),
}

/// Configuration changes after a revision.
#[derive(Debug, Serialize)]
pub(super) struct Changes {
    /// Revision of the configuration in force.
    revision: Revision,
    /// Whether the list is incomplete because the log no longer keeps the entries of some
    /// changes.
    gap: bool,
    /// Changes in the order of their revisions.
    changes: Vec<Change>,
}

/// One configuration change.
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
    /// Finds a resource by kind and name.
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
