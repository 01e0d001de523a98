//! Access of the operators' HTTP API to the state of its process.

use std::fmt;

use serde_json::Value;

use crate::edge::metrics::{Load, Metrics};
use crate::edge::registry::Registry;

/// Function that returns a part of the process's current state as JSON.
pub type JsonSource = Box<dyn Fn() -> Value + Send + Sync>;

/// State of the process that the operators' HTTP API exposes.
pub struct Process {
    /// Resources declared by the operators.
    pub registry: Registry,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Returns the queue state of each leaf that this process owns (whose queue it holds); called
    /// on each request for the metrics.
    pub loads: Box<dyn Fn() -> Vec<Load> + Send + Sync>,
    /// Returns the state of the fleet (all VMs) as known to this process.
    pub status: JsonSource,
    /// Returns the complete internal state of this process.
    pub state: JsonSource,
    /// Returns whether this process is stopping.
    pub is_stopping: Box<dyn Fn() -> bool + Send + Sync>,
}

impl fmt::Debug for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Process").finish_non_exhaustive()
    }
}
