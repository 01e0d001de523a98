//! The configuration in force: all resources at one revision.

use crate::prelude::*;

/// A resource with the count of its accepted changes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record<T> {
    /// Accepted changes of this resource so far.
    pub generation: Generation,
    /// What the operator declared.
    pub spec: T,
}

/// All resources at one revision, each list sorted by name.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
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
        let place = self
            .leaves
            .binary_search_by(|record| record.spec.name.as_str().cmp(name));
        place.ok().map(|index| &self.leaves[index])
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Record<Service>> {
        let place = self
            .services
            .binary_search_by(|record| record.spec.name.as_str().cmp(name));
        place.ok().map(|index| &self.services[index])
    }
}
