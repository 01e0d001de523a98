//! Requests of callers that another VM can serve.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::core::call::Plan;
use crate::core::delegation::{Completion, Purpose, Request};
use crate::core::key_lease::Keys;
use crate::core::tenant::Credential;
use crate::edge::gateway::calls::ForwardedRequest;
use crate::prelude::*;

/// A request of a caller that another VM can serve.
#[derive(Debug)]
pub(in crate::edge::gateway) struct CallerRequest {
    /// Key of the caller's connection.
    pub(in crate::edge::gateway) caller: usize,
    pub(in crate::edge::gateway) forwarded: Arc<ForwardedRequest>,
    pub(in crate::edge::gateway) plan: Plan,
    /// Oldest version of the routes by which the request may be served.
    pub(in crate::edge::gateway) min_version: u64,
    pub(in crate::edge::gateway) started: Instant,
    /// How long the caller waits for the response, if the request states it.
    pub(in crate::edge::gateway) timeout: Option<Duration>,
    /// Why the request is passed to another VM.
    pub(in crate::edge::gateway) purpose: Purpose,
    /// Who sends the request.
    pub(in crate::edge::gateway) credential: Credential,
    /// Whether this VM could confirm the key of the request.
    pub(in crate::edge::gateway) keys: Keys,
    /// Number of leaves of each shard that may have received the request from this VM.
    pub(in crate::edge::gateway) sends: u32,
}

/// A delegated request, with the caller that waits for it.
#[derive(Debug)]
pub(super) struct Delegated {
    /// Number that tells the request from others that had the same key.
    pub(super) serial: u64,
    pub(super) caller_request: CallerRequest,
    pub(super) request: Request,
    /// Key of the connection to the VM that has the request.
    pub(super) connection: Option<usize>,
    /// What has arrived from that VM and has not been passed to the request yet.
    pub(super) arrived: Option<Completion>,
    /// Number of VMs that the request was passed to.
    pub(super) asked: u32,
    /// Earliest timer that is set for the request.
    pub(super) wake_at: Option<Instant>,
}

impl Delegated {
    /// Returns whether the request waits for the outcome of a handoff.
    pub(super) fn awaits(&self, handoff: HandoffId) -> bool {
        self.arrived.is_none() && self.request.handoff() == Some(handoff)
    }
}
