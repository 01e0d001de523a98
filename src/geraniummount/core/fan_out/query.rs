//! A query as its caller sent it.

use std::sync::Arc;
use std::time::Instant;

use crate::core::service::Preference;
use crate::prelude::*;

/// A query as its caller sent it.
#[derive(Clone, Debug)]
pub struct Query {
    /// The caller's request.
    pub request: RequestId,
    /// Service asked.
    pub service: ServiceName,
    /// JSON body.
    pub body: Arc<[u8]>,
    /// When the caller's time ends.
    pub deadline: Instant,
    /// What counts more when a shard is late.
    pub prefer: Preference,
    /// Retries and hedges together, in percent of the parts sent first.
    pub extra_percent: u8,
}
