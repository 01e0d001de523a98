//! What serves the requests of a route.

use crate::prelude::*;

/// What serves the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// Any leaf of one service.
    Service(ServiceName),
    /// One of several services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// One leaf of each of several shards.
    Gather(Gather),
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, in proportion to the sum of all weights.
    pub weight: f64,
}

/// A query over many shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// The services that hold one shard each.
    pub shards: Vec<ServiceName>,
    /// Records in the answer.
    pub top_k: usize,
    /// Share of the shards that an answer has to include.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns how many shards an answer has to include; one at least.
    pub fn min_shards(&self) -> usize {
        let share = self.min_coverage * self.shards.len() as f64;
        // Guards against 0.75 * 20 = 15.000000000000002.
        let min_shards = (share - 1e-9).ceil() as usize;
        min_shards.max(1)
    }
}
