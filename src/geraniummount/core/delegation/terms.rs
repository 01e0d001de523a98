//! What a VM says about a request that it delegates.

use std::time::Duration;

use super::Purpose;
use crate::core::tenant::Credential;
use crate::prelude::*;

/// What a VM says about a request that it delegates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Name of the VM that delegates the request.
    pub from: VmName,
    /// Oldest version of the routes by which the request may be served. The caller may have seen
    /// the effect of this version.
    pub min_version: u64,
    /// Time that the request has taken so far, with the round trip between the VMs. The answer is
    /// due earlier by this time.
    pub elapsed: Duration,
    /// Number of leaves of each shard that may have received the request already.
    pub sends: u32,
    /// Why the request is delegated.
    pub purpose: Purpose,
    /// Who sends the request.
    pub credential: Credential,
}
