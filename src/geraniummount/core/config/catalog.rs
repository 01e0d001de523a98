//! The catalog: the whole configuration, with every resource at one revision.

use serde::{Deserialize, Serialize};

use crate::core::config::change::{Action, Entry};
use crate::core::config::resource::{Kind, Resource};
use crate::core::records::Records;
use crate::prelude::*;

/// A declared resource and the generation of its last accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record<T> {
    /// Revision at which the resource was last changed.
    pub generation: Generation,
    /// Resource as the operator declared it.
    pub spec: T,
}

/// All resources at one revision. Clones share the records that have not changed
/// since the clone was made.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    /// Position in the log of all accepted changes up to which changes are applied; 0 if there are
    /// none.
    pub revision: Revision,
    /// Leaves, sorted by name.
    pub leaves: Records<Leaf>,
    /// Services, sorted by name.
    pub services: Records<Service>,
}

impl Catalog {
    /// Finds a leaf by name.
    pub fn leaf(&self, name: &str) -> Option<&Record<Leaf>> {
        self.leaves.get(name)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Record<Service>> {
        self.services.get(name)
    }

    /// Returns the generation of a resource, or 0 if it does not exist.
    pub fn generation(&self, kind: Kind, name: &str) -> Generation {
        let found = match kind {
            Kind::Leaf => self.leaf(name).map(|record| record.generation),
            Kind::Service => self.service(name).map(|record| record.generation),
        };
        found.unwrap_or_default()
    }

    /// Returns the failure domains that contain at least one leaf, sorted by name.
    pub fn failure_domains(&self) -> Vec<DomainName> {
        let mut domains: Vec<&DomainName> = self
            .leaves
            .iter()
            .map(|record| &record.spec.failure_domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains.into_iter().cloned().collect()
    }

    /// Applies an entry of the change log. The entry's revision must directly follow the catalog's.
    pub fn apply(&mut self, entry: &Entry) {
        debug_assert_eq!(entry.revision, self.revision + 1);
        self.revision = entry.revision;
        match &entry.change.action {
            Action::Put(Resource::Leaf(leaf)) => self.leaves.put(self.record(leaf)),
            Action::Put(Resource::Service(service)) => self.services.put(self.record(service)),
            Action::Delete => self.delete(entry.change.kind, &entry.change.name),
        }
    }

    fn record<T: Clone>(&self, spec: &T) -> Record<T> {
        Record {
            generation: self.revision,
            spec: spec.clone(),
        }
    }

    fn delete(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Leaf => self.leaves.remove(name),
            Kind::Service => self.services.remove(name),
        }
    }
}
