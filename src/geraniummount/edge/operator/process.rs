//! What the operators' listener shows of its process.

use std::fmt;

use serde_json::Value;

use crate::edge::metrics::{Load, Metrics};
use crate::edge::registry::Registry;

/// Writes a part of the process's state as JSON.
pub type JsonSource = Box<dyn Fn() -> Value + Send + Sync>;

/// The process as its operators see it.
pub struct Process {
    /// The resources.
    pub registry: Registry,
    /// Counters.
    pub metrics: Metrics,
    /// Queues of the leaves that this process owns, read at each scrape.
    pub loads: Box<dyn Fn() -> Vec<Load> + Send + Sync>,
    /// What holds in the fleet, as far as this process knows.
    pub status: JsonSource,
    /// Everything that this process holds.
    pub state: JsonSource,
    /// Whether this process is stopping.
    pub is_stopping: Box<dyn Fn() -> bool + Send + Sync>,
}

impl fmt::Debug for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Process").finish_non_exhaustive()
    }
}
