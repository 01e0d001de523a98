//! Targets that serve the requests of a route.
//!
//! A leaf is one of the server processes of a service. A query over many shards has one part for
//! each.

use crate::prelude::*;

/// Target that serves the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// Any leaf of one service.
    Service(ServiceName),
    /// One of several services, chosen in proportion to their weights.
    Split(Vec<WeightedService>),
    /// One leaf of every shard.
    Gather(Gather),
}

impl Target {
    /// Returns the services to which requests may be sent.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Target::Service(service) => vec![service],
            Target::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Target::Gather(gather) => gather.shards.iter().collect(),
        }
    }
}

/// Service with its weight in a split.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight of the service, relative to the sum of all weights.
    pub weight: f64,
}

/// Target of a query over many shards, whose parts are merged into one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Services that hold one shard each.
    pub shards: Vec<ServiceName>,
    /// Maximum number of records in the answer.
    pub top_k: usize,
    /// Minimum share of the shards that an answer includes.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns the minimum number of shards that an answer includes, which is at least one.
    pub fn min_shards(&self) -> usize {
        let share = self.min_coverage * self.shards.len() as f64;
        // Corrects rounding errors such as 0.75 * 20 = 15.000000000000002, which would require a
        // 16th shard.
        let min_shards = (share - 1e-9).ceil() as usize;
        min_shards.max(1)
    }
}
