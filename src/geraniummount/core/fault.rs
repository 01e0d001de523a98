//! One thing that is wrong with a declared resource.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A fault with its place and what would be allowed there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Field at fault, such as `shards[2].replicas[0]`.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
    /// What is allowed.
    pub allowed: String,
}

impl Fault {
    /// Describes a fault.
    pub fn new(
        field: impl Into<String>,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Fault {
        Fault {
            field: field.into(),
            problem: problem.into(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            field,
            problem,
            allowed,
        } = self;
        write!(f, "{field}: {problem}; allowed: {allowed}")
    }
}

impl std::error::Error for Fault {}
