//! A validation fault: one error in a declared resource.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One error in a declared resource: the field, the problem and the allowed values.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Path of the faulty field, such as `shards[2].replicas[0]`.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Fault {
    /// Creates a fault.
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
