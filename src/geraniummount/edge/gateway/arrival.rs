//! A request that was read completely and has no call yet.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::calls::ForwardedRequest;
use super::content::Content;
use super::delegation::CallerRequest;
use crate::core::delegation::Terms;
use crate::core::fingerprint::{self, Fingerprint};
use crate::core::memory_account::Share;
use crate::core::route::{Route, Table};
use crate::core::tenant::Credential;
use crate::platform::headers::{self, CallerFields};
use crate::prelude::*;
use crate::util::h1::{Body, Request};

/// A request that was read completely and has no call yet.
#[derive(Debug)]
pub(super) struct Arrival {
    /// Key of the connection that it arrived on.
    pub(super) key: usize,
    pub(super) request: Request,
    pub(super) content: Vec<u8>,
    pub(super) caller_fields: CallerFields,
    /// Who sends the request.
    pub(super) credential: Credential,
    pub(super) fingerprint: Fingerprint,
    /// When the request had been read. It may have waited since, here or at a stronger VM.
    pub(super) arrived: Instant,
    /// Time that the request had taken before, at the VM that delegated it to this one.
    pub(super) elapsed: Duration,
    /// Number of leaves of each shard that may have received the request from other VMs.
    pub(super) sends: u32,
    /// Tenant of whose quota the request has a token.
    pub(super) token: Option<TenantName>,
    /// Whether the request was passed to a stronger VM, which has not served it.
    pub(super) was_offloaded: bool,
}

impl Arrival {
    /// Reads what the gateway needs to know about a request. `terms` are given for one that another
    /// VM has delegated to this one.
    pub(super) fn new(
        key: usize,
        request: Request,
        content: Vec<u8>,
        terms: Option<&Terms>,
        now: Instant,
    ) -> Arrival {
        let host = request.host().unwrap_or_default();
        let caller_fields = headers::read_caller_fields(&request.fields);
        Arrival {
            key,
            credential: terms.map_or(caller_fields.credential, |terms| terms.credential),
            caller_fields,
            fingerprint: fingerprint(host, &request, &content),
            arrived: now,
            elapsed: terms.map_or(Duration::ZERO, |terms| terms.elapsed),
            sends: terms.map_or(0, |terms| terms.sends),
            request,
            content,
            token: None,
            was_offloaded: false,
        }
    }

    /// Returns a request that was passed to a stronger VM, as one that is to be served here.
    pub(super) fn from_offloaded(offloaded: CallerRequest) -> Arrival {
        let ForwardedRequest {
            id,
            fingerprint,
            method,
            target,
            fields,
            content,
        } = Arc::unwrap_or_clone(offloaded.forwarded);
        Arrival {
            key: offloaded.caller,
            caller_fields: CallerFields {
                id,
                timeout: offloaded.timeout,
                credential: offloaded.credential,
            },
            credential: offloaded.credential,
            fingerprint,
            arrived: offloaded.started,
            elapsed: Duration::ZERO,
            sends: offloaded.sends,
            token: None,
            was_offloaded: true,
            request: Request {
                method,
                target,
                fields,
                body: Body::Length(0),
                is_persistent: true,
                expects_continue: false,
            },
            content: Content::into_bytes(content),
        }
    }

    /// Returns the number of bytes that the request holds.
    pub(super) fn held_bytes(&self) -> usize {
        self.request.held_bytes() + self.content.capacity()
    }

    /// Returns the route of the request.
    pub(super) fn find_route<'a>(&self, table: &'a Table) -> Option<&'a Route> {
        let host = self.request.host().unwrap_or_default();
        table.find(host, self.request.path())
    }

    /// Returns when the request arrived at the first VM.
    pub(super) fn started(&self) -> Instant {
        self.arrived
            .checked_sub(self.elapsed)
            .unwrap_or(self.arrived)
    }

    /// Returns the request as it is forwarded; `share` is that of the memory which it takes.
    pub(super) fn into_forwarded(self, share: Share) -> ForwardedRequest {
        let head_bytes = self.request.held_bytes();
        ForwardedRequest {
            id: self.caller_fields.id,
            fingerprint: self.fingerprint,
            method: self.request.method,
            target: self.request.target,
            fields: self.request.fields,
            content: Arc::new(Content::new(self.content, head_bytes, share)),
        }
    }
}

/// Returns the fingerprint of a request, which is the same for each repetition of it.
fn fingerprint(host: &str, request: &Request, content: &[u8]) -> Fingerprint {
    let parts = [host, &request.method, &request.target];
    let parts = parts.iter().map(|part| part.as_bytes());
    fingerprint::of(parts.chain([content]))
}
