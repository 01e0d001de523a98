//! Shards that an answer includes and those it lacks.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Coverage of an answer. Each shard of the layout (the shards that the service covers) is in
/// exactly one of the two lists.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Shards whose replies were merged, in ascending order.
    pub included: Vec<ShardName>,
    /// Shards without a reply, in ascending order.
    pub missing: Vec<Missing>,
}

/// A shard that an answer lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Missing {
    /// Name of the shard.
    pub shard: ShardName,
    /// Reason why the shard is missing.
    pub reason: Reason,
}
