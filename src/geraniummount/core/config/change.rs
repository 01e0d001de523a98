//! A change to one resource, as an operator proposes it.

use serde::{Deserialize, Serialize};

use crate::core::config::resource::{Kind, Resource};
use crate::prelude::*;

/// A change that is accepted only if the resource still has the generation [`Change::base`], which
/// is the revision at which it was last changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Random id by which the proposer recognizes its own change in the change log.
    pub id: ChangeId,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: String,
    /// Generation that the change replaces; 0 if the resource does not exist yet.
    pub base: Generation,
    /// Whether the resource is written or deleted.
    pub action: Action,
}

/// What a change does to its resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Creates or replaces the resource.
    Put(Resource),
    /// Deletes the resource.
    Delete,
}

/// An accepted change and its position in the change log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the change log, which is the revision that the configuration has once this
    /// change is applied.
    pub revision: Revision,
    /// Accepted change.
    pub change: Change,
}
