//! Query as received from its caller.

use std::sync::Arc;
use std::time::Instant;

use crate::core::service::Preference;
use crate::prelude::*;

/// Query as received from its caller.
#[derive(Clone, Debug)]
pub struct Query {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Service that is queried.
    pub service: ServiceName,
    /// JSON body.
    pub body: Arc<[u8]>,
    /// When the caller's deadline expires.
    pub deadline: Instant,
    /// Whether coverage or latency takes precedence when a shard is late.
    pub prefer: Preference,
    /// Maximum number of retries and hedges together, in percent of the first attempts.
    pub extra_percent: u8,
}
