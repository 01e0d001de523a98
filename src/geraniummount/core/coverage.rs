//! Which shards an answer includes and which it lacks.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Coverage of an answer: each shard of the layout is in exactly one list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Shards whose replies were merged, ascending.
    pub included: Vec<ShardName>,
    /// Shards without a reply, ascending.
    pub missing: Vec<Missing>,
}

/// A shard that an answer lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Missing {
    /// The shard.
    pub shard: ShardName,
    /// Why it is missing.
    pub reason: Reason,
}
