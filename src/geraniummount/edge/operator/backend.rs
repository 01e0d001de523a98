//! What the operators' listener needs of the process.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use crate::core::resource::Kind;
use crate::edge::operator::Refusal;
use crate::prelude::*;

/// The process as its operators see it.
pub trait Backend: Send + Sync + 'static {
    /// Resources of a kind, as in force here.
    fn list(&self, kind: Kind) -> Listing;

    /// One resource, as in force here.
    fn get(&self, kind: Kind, name: &str) -> Result<Entry, Refusal>;

    /// Creates or replaces a resource; `if_match` makes it conditional.
    fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &str,
        if_match: Option<Generation>,
    ) -> Result<Accepted, Refusal>;

    /// Removes a resource.
    fn delete(
        &self,
        kind: Kind,
        name: &str,
        if_match: Option<Generation>,
    ) -> Result<Accepted, Refusal>;

    /// Waits until the revision here is past `after`, or the time is over.
    fn wait_for(&self, after: Revision, wait: Duration) -> Changes;

    /// What holds in the fleet, as far as this process knows.
    fn status(&self) -> Value;

    /// Everything that this process holds.
    fn state(&self) -> Value;

    /// Whether this process is stopping.
    fn is_stopping(&self) -> bool;
}

/// Resources of one kind.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Revision in force.
    pub revision: Revision,
    /// Resources by name.
    pub items: Vec<Entry>,
}

/// One resource.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Accepted changes of it so far.
    pub generation: Generation,
    /// What the operator declared.
    pub spec: Value,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Generation of the resource after it; none once it is removed.
    pub generation: Option<Generation>,
    /// Revision that has it.
    pub revision: Revision,
}

/// What became of the configuration after a revision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Revision in force.
    pub revision: Revision,
    /// Changes since the revision asked for, where they are still known.
    pub changes: Vec<Change>,
}

/// One change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Revision that has it.
    pub revision: Revision,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: String,
    /// What was done: `put` or `delete`.
    pub action: &'static str,
}
