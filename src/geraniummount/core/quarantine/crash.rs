//! A leaf that crashed while it had a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fields::Fields;
use crate::prelude::*;

/// A leaf that closed the connection while it had a request. Times are in milliseconds since the
/// Unix epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Id or name of the leaf, for operators.
    pub leaf: String,
    /// When the leaf was started; `None` if that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
    /// VM that sent the request to the leaf.
    pub vm: VmName,
    /// When the request arrived at the VM that sent it to the leaf.
    pub arrived_ms: u64,
    /// When the leaf closed the connection.
    pub at_ms: u64,
    /// Fields that a later version has added. They are written again as they were read.
    #[serde(flatten)]
    pub other: Fields,
}

impl Crash {
    /// Creates the crash of a leaf at `at_ms` that had a request which arrived `age` before.
    pub fn after(
        leaf: impl Into<String>,
        vm: impl Into<VmName>,
        age: Duration,
        at_ms: u64,
    ) -> Crash {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Crash {
            leaf: leaf.into(),
            started_at_ms: None,
            vm: vm.into(),
            arrived_ms: at_ms.saturating_sub(age_ms),
            at_ms,
            other: Fields::default(),
        }
    }

    /// Returns the crash of the same leaf that was started at this time.
    pub fn of_run(self, started_at_ms: Option<u64>) -> Crash {
        Crash {
            started_at_ms,
            ..self
        }
    }

    /// Returns whether another crash is certainly that of the same run of the same leaf. A run
    /// crashes once: a leaf that is gone may go on to accept and close connections, for example if
    /// a proxy is in front of it, and a VM that has just started takes that for a crash.
    pub(super) fn is_same_run(&self, other: &Crash) -> bool {
        self.is_of_run(&other.leaf, other.started_at_ms)
    }

    /// Returns whether this is certainly the crash of the run of a leaf that began at a time.
    pub(super) fn is_of_run(&self, leaf: &str, started_at_ms: Option<u64>) -> bool {
        self.started_at_ms.is_some() && self.started_at_ms == started_at_ms && self.leaf == leaf
    }
}
