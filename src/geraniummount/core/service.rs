//! A query service: a layout of shards and the limits callers live by.

use serde::{Deserialize, Serialize};

use crate::core::records::Named;
use crate::prelude::*;

/// A service as its operator declares it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: ServiceName,
    /// Own shards. Empty in a service that is only composed of others.
    #[serde(default)]
    pub shards: Vec<Shard>,
    /// Services whose shards this one covers as well.
    #[serde(default)]
    pub includes: Vec<ServiceName>,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u32,
    /// Longest deadline that a request may ask for, in milliseconds.
    pub max_deadline_ms: u32,
    /// What counts more when a shard is late.
    #[serde(default)]
    pub prefer: Preference,
    /// Retries and hedges together, in percent of the parts sent first.
    #[serde(default = "default_extra_percent")]
    pub extra_percent: u8,
}

const DEFAULT_EXTRA_PERCENT: u8 = 4;

fn default_extra_percent() -> u8 {
    DEFAULT_EXTRA_PERCENT
}

impl Named for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

/// A shard and the leaves that hold a replica of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Name, unique within the service.
    pub name: ShardName,
    /// Leaves that hold it.
    pub replicas: Vec<LeafName>,
}

/// What a service gives up when a shard is late.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Answers sooner with the shards at hand.
    Latency,
    /// Waits for every shard until the deadline.
    #[default]
    Coverage,
}
