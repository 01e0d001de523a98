//! The configuration in force: all resources at one revision.

use serde::{Deserialize, Serialize};

use crate::core::change::{Action, Entry};
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

/// All resources at one revision, each list sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    /// Position in the log of changes.
    pub revision: Revision,
    /// Leaves by name.
    pub leaves: Vec<Record<Leaf>>,
    /// Services by name.
    pub services: Vec<Record<Service>>,
}

impl Catalog {
    /// Finds a leaf by name.
    pub fn leaf(&self, name: &str) -> Option<&Record<Leaf>> {
        let place = self.leaf_place(name).ok()?;
        Some(&self.leaves[place])
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Record<Service>> {
        let place = self.service_place(name).ok()?;
        Some(&self.services[place])
    }

    /// Returns a resource's generation; 0 where there is none.
    pub fn generation(&self, kind: Kind, name: &str) -> Generation {
        let found = match kind {
            Kind::Leaf => self.leaf(name).map(|record| record.generation),
            Kind::Service => self.service(name).map(|record| record.generation),
        };
        found.unwrap_or_default()
    }

    /// Returns a copy of a resource with its generation.
    pub fn resource(&self, kind: Kind, name: &str) -> Option<Record<Resource>> {
        match kind {
            Kind::Leaf => self.leaf(name).map(|found| Record {
                generation: found.generation,
                spec: Resource::Leaf(found.spec.clone()),
            }),
            Kind::Service => self.service(name).map(|found| Record {
                generation: found.generation,
                spec: Resource::Service(found.spec.clone()),
            }),
        }
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
            Action::Put(Resource::Leaf(leaf)) => self.put_leaf(leaf),
            Action::Put(Resource::Service(service)) => self.put_service(service),
            Action::Delete => self.delete(entry.change.kind, &entry.change.name),
        }
    }

    fn put_leaf(&mut self, leaf: &Leaf) {
        let record = Record {
            generation: self.revision,
            spec: leaf.clone(),
        };
        match self.leaf_place(&leaf.name) {
            Ok(place) => self.leaves[place] = record,
            Err(place) => self.leaves.insert(place, record),
        }
    }

    fn put_service(&mut self, service: &Service) {
        let record = Record {
            generation: self.revision,
            spec: service.clone(),
        };
        match self.service_place(&service.name) {
            Ok(place) => self.services[place] = record,
            Err(place) => self.services.insert(place, record),
        }
    }

    fn delete(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Leaf => self.leaves.retain(|record| record.spec.name != name),
            Kind::Service => self.services.retain(|record| record.spec.name != name),
        }
    }

    fn leaf_place(&self, name: &str) -> Result<usize, usize> {
        self.leaves
            .binary_search_by(|record| record.spec.name.as_str().cmp(name))
    }

    fn service_place(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|record| record.spec.name.as_str().cmp(name))
    }
}
