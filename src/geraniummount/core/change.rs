//! A change of one resource, as an operator proposes it.

use serde::{Deserialize, Serialize};

use crate::core::resource::{Kind, Resource};
use crate::prelude::*;

/// A change that is valid only on top of the generation it names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Random number by which the proposer finds its change again.
    pub id: ChangeId,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: String,
    /// Generation that the change replaces; 0 where there is no resource.
    pub base: Generation,
    /// What becomes of the resource.
    pub action: Action,
}

/// What a change does to its resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Creates or replaces it.
    Put(Resource),
    /// Removes it.
    Delete,
}

/// An accepted change at its place in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Revision that the configuration has from this change on.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}
