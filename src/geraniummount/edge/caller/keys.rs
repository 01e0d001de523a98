//! Claims of idempotency keys, as the callers' server needs them.

use std::time::Instant;

use crate::prelude::*;

/// Holder of the claims; it sees to it that a key is granted once.
pub trait Keys: Send + Sync {
    /// Claims a key; a failure is the request's end.
    fn claim(
        &self,
        service: &str,
        key: &str,
        request: &str,
        deadline: Instant,
    ) -> Result<AttemptId, Failure>;

    /// Gives a claim back after a request that certainly did not run.
    fn release(&self, service: &str, key: &str, claim: AttemptId);
}
