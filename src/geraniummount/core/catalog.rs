//! The configuration in force: all resources at one revision.

use serde::{Deserialize, Serialize};

use crate::core::change::{Action, Entry};
use crate::core::records::Records;
use crate::core::resource::{Kind, Resource};
use crate::prelude::*;

/// A resource with the generation of its last accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record<T> {
    /// Revision at which the resource was last changed.
    pub generation: Generation,
    /// What the operator declared.
    pub spec: T,
}

/// All resources at one revision. Copies share the records that did not change
/// between them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    /// Position in the log of changes.
    pub revision: Revision,
    /// Leaves by name.
    pub leaves: Records<Leaf>,
    /// Services by name.
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

    /// Returns a resource's generation; 0 where there is none.
    pub fn generation(&self, kind: Kind, name: &str) -> Generation {
        let found = match kind {
            Kind::Leaf => self.leaf(name).map(|record| record.generation),
            Kind::Service => self.service(name).map(|record| record.generation),
        };
        found.unwrap_or_default()
    }

    /// Returns the failure domains that have leaves, by name.
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

    /// Applies the entry that follows this revision.
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
