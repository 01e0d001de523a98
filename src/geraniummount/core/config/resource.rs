//! A resource that an operator declares, and the kinds of resources.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::core::config::fault::Fault;
use crate::prelude::*;

/// Kind of a resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A [`Leaf`].
    Leaf,
    /// A [`Service`].
    Service,
}

impl Kind {
    /// All kinds, in the order in which a set of resources is applied.
    pub const ALL: [Kind; 2] = [Kind::Leaf, Kind::Service];

    /// Returns the name of the kind, as used in HTTP paths and in files.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Leaf => "leaf",
            Kind::Service => "service",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Kind, Fault> {
        let found = Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| Fault::new("kind", format!("`{text}` is unknown"), "leaf, service"))
    }
}

/// A resource, as the operator declares it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Resource {
    /// A leaf.
    Leaf(Leaf),
    /// A service.
    Service(Service),
}

impl Resource {
    /// Parses a resource of the given kind from JSON. If the JSON is not a valid resource of that
    /// kind, the returned fault names the line and column.
    pub fn parse(kind: Kind, json: &str) -> Result<Resource, Fault> {
        let parsed = match kind {
            Kind::Leaf => serde_json::from_str(json).map(Resource::Leaf),
            Kind::Service => serde_json::from_str(json).map(Resource::Service),
        };
        parsed.map_err(|error| {
            let location = format!("line {}, column {}", error.line(), error.column());
            Fault::new(location, error.to_string(), format!("a {kind} in JSON"))
        })
    }

    /// Returns the kind of the resource.
    pub fn kind(&self) -> Kind {
        match self {
            Resource::Leaf(_) => Kind::Leaf,
            Resource::Service(_) => Kind::Service,
        }
    }

    /// Returns the name of the resource, unique within its kind.
    pub fn name(&self) -> &str {
        match self {
            Resource::Leaf(leaf) => &leaf.name,
            Resource::Service(service) => &service.name,
        }
    }
}
