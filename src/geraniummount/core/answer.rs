//! The answer to a query, merged from the replies of its shards.

use std::time::Duration;

use crate::core::coverage::Coverage;
use crate::prelude::*;

/// Answer to one query. All its replies are read from one snapshot, a version of the index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Snapshot that every reply was read from.
    pub snapshot: SnapshotId,
    /// Revision (position in the log of all accepted changes) of the configuration that defined the
    /// layout, that is, which shards the service covers.
    pub revision: Revision,
    /// Shards that the answer includes and those it lacks.
    pub coverage: Coverage,
    /// Replies of the included shards, in ascending order of shard name.
    pub results: Vec<ShardResult>,
}

/// Reply of one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardResult {
    /// The shard.
    pub shard: ShardName,
    /// JSON body of the leaf's reply, unchanged.
    pub body: Vec<u8>,
}

/// How one shard of a query was processed, for finding slow shards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardTrace {
    /// The shard.
    pub shard: ShardName,
    /// Leaf of the last attempt with an outcome; `None` if no attempt had one.
    pub leaf: Option<LeafName>,
    /// VM that holds that leaf's queue; `None` unless the shard was settled by an outcome that this
    /// VM sent.
    pub owner: Option<VmName>,
    /// Number of attempts sent. Each is one try to run the shard's part of the query at one leaf.
    pub attempts: u32,
    /// Number of these attempts that were hedges, sent in addition to an earlier one in flight.
    pub hedges: u32,
    /// Time from the start of the query until the shard was settled.
    pub took: Option<Duration>,
}
