//! The service resource: the shards that a query covers and the limits that apply to callers.

use serde::{Deserialize, Serialize};

use crate::core::records::Named;
use crate::prelude::*;

/// A query service, as the operator declares it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, unique among services.
    pub name: ServiceName,
    /// Shards that the service declares itself; empty if it only includes other services.
    #[serde(default)]
    pub shards: Vec<Shard>,
    /// Services whose shards this service covers in addition to its own.
    #[serde(default)]
    pub includes: Vec<ServiceName>,
    /// Default deadline of a request that specifies none, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum deadline that a request may specify, in milliseconds.
    pub max_deadline_ms: u32,
    /// Whether low latency or full coverage takes priority when a shard is late.
    #[serde(default)]
    pub prefer: Preference,
    /// Maximum number of retries (attempts after a failed one) and hedges (attempts in addition to
    /// a late one) together, in percent of the first attempts.
    #[serde(default = "default_extra_percent")]
    pub extra_percent: u8,
}

/// Value of [`Service::extra_percent`] if the operator declares none.
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
    /// Name of the shard, unique within the service.
    pub name: ShardName,
    /// Leaves that hold a replica of the shard.
    pub replicas: Vec<LeafName>,
}

/// What a service gives priority to when a shard is late.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Low latency: the query is answered early with the shards that have replied.
    Latency,
    /// Full coverage: the query waits for every shard until the deadline.
    #[default]
    Coverage,
}
