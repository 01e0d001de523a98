//! The answer to a query, merged from the replies of its shards.

use std::time::Duration;

use crate::core::coverage::Coverage;
use crate::prelude::*;

/// Answer to one query, read from one snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The caller's request.
    pub request: RequestId,
    /// Snapshot that every reply was read from.
    pub snapshot: SnapshotId,
    /// Revision of the configuration whose layout was used.
    pub revision: Revision,
    /// Shards included and missing.
    pub coverage: Coverage,
    /// Replies of the included shards, ascending by shard.
    pub results: Vec<ShardResult>,
}

/// Reply of one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardResult {
    /// The shard.
    pub shard: ShardName,
    /// The leaf's JSON body, unchanged.
    pub body: Vec<u8>,
}

/// How one shard of a query went, for those who look for slow ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardTrace {
    /// The shard.
    pub shard: ShardName,
    /// Replica whose outcome settled it.
    pub leaf: Option<LeafName>,
    /// VM that held that replica's queue.
    pub owner: Option<VmName>,
    /// Attempts sent.
    pub attempts: u32,
    /// Hedges among them.
    pub hedges: u32,
    /// Time from the query's start until it was settled.
    pub took: Option<Duration>,
}
