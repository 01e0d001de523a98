//! Reads the responses of other VMs, and drops those to other requests.

use log::{info, warn};
use mio::Interest;

use crate::core::delegation::{Answer, Outcome};
use crate::core::memory_account::SMALL_BYTES;
use crate::core::not_run::Author;
use crate::edge::gateway::Gateway;
use crate::edge::gateway::delegation::assignment::Assignment;
use crate::edge::gateway::delegation::wire;
use crate::edge::gateway::socket::ReadStatus;
use crate::edge::gateway::token::EventSource;
use crate::platform::headers;
use crate::util::h1::{self, Field, Head};

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of responses to other requests that are dropped at once.
const MAX_FOREIGN: usize = 16;

/// Maximum number of parts in the response to a request whose route this VM does not know.
const MAX_PARTS_WITHOUT_ROUTE: usize = 16;

impl Gateway {
    /// Reads the response; `closed` means that the event reported the end of input or an error.
    pub(in crate::edge::gateway) fn read_peer(&mut self, connection: usize, closed: bool) {
        let Some(open) = self.delegation.connections.get_mut(connection) else {
            return;
        };
        if open.connected_at.is_none() && !closed {
            return;
        }
        let buffered = open.socket.input.len();
        let status = open.socket.read(&mut self.read_buf, closed);
        open.received += open.socket.input.len() - buffered;
        let Some(assignment) = open.assignment else {
            // The VM closed the idle connection.
            self.delegation.connections.remove(connection);
            return;
        };
        let Ok(response) = self.read_own_response(connection, assignment) else {
            return self.fail_peer(connection);
        };
        let received = self.delegation.connections[connection].received;
        match response {
            Some(response) => self.on_peer_response(connection, assignment, response, status),
            None if received > self.max_answer_bytes(assignment)
                || (received > SMALL_BYTES && self.account.is_over()) =>
            {
                self.fail_peer(connection);
            }
            None if status == ReadStatus::Open => {}
            None if status == ReadStatus::Interrupted => self.register_peer_again(connection),
            None => self.fail_peer(connection),
        }
    }

    /// Returns the response to the request of an assignment once it is complete. Responses to others,
    /// such as a second copy of an earlier one, are dropped.
    fn read_own_response(
        &mut self,
        connection: usize,
        assignment: Assignment,
    ) -> Result<Option<h1::Response>, h1::Fault> {
        for _ in 0..=MAX_FOREIGN {
            let open = &mut self.delegation.connections[connection];
            let response = open.reader.read(&mut open.socket.input)?;
            let interim = open.reader.interim.take();
            let state = self.delegation.requests.get(assignment.request);
            let id = state.map_or("", |state| &state.caller_request.forwarded.id);
            let is_own = |head: &Head| {
                let named = wire::read_handoff(&head.fields);
                named.is_none_or(|named| named == assignment.handoff)
                    && !headers::names_other_request(&head.fields, id)
            };
            let is_foreign = response.as_ref().is_some_and(|found| !is_own(&found.head));
            open.reader.must_close |= is_foreign;
            if let Some(interim) = interim.filter(is_own) {
                self.on_peer_acknowledged(assignment, &interim.fields);
            }
            if !is_foreign {
                return Ok(response);
            }
            info!("delegation event=foreign-response action=drop");
        }
        Err(h1::Fault::Foreign)
    }

    /// Records that the VM has read the request of an assignment.
    fn on_peer_acknowledged(&mut self, assignment: Assignment, fields: &[Field]) {
        let version = wire::read_version(fields);
        self.routes.on_seen(version);
        if let Some(state) = self.delegation.awaiting(assignment) {
            let is_newer = version > state.caller_request.min_version;
            state.request.on_acknowledged(assignment.handoff, is_newer);
        }
    }

    /// Records what a connection holds.
    pub(in crate::edge::gateway) fn settle_peer(&mut self, connection: usize) {
        if let Some(open) = self.delegation.connections.get_mut(connection) {
            open.socket.settle();
        }
    }

    /// Returns the maximum size of the response to a delegated request. It may contain a whole
    /// reply of a leaf for each part.
    fn max_answer_bytes(&self, assignment: Assignment) -> usize {
        let delegated = self.delegation.requests.get(assignment.request);
        let plan = delegated.map(|delegated| &delegated.caller_request.plan);
        let parts = match plan.map_or(0, |plan| plan.services.len()) {
            0 => MAX_PARTS_WITHOUT_ROUTE,
            parts => parts,
        };
        self.options
            .max_reply_bytes
            .saturating_mul(parts)
            .saturating_add(MAX_HEAD_BYTES)
    }

    fn register_peer_again(&mut self, connection: usize) {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Peer(connection).token();
        let stream = &mut self.delegation.connections[connection].socket.stream;
        if let Err(error) = self.poll.registry().reregister(stream, token, interest) {
            warn!("delegation event=not-registered action=close error=\"{error}\"");
            self.fail_peer(connection);
        }
    }

    /// Handles a complete response. The connection is reused if no input or output is left on it.
    fn on_peer_response(
        &mut self,
        connection: usize,
        assignment: Assignment,
        response: h1::Response,
        status: ReadStatus,
    ) {
        let open = &mut self.delegation.connections[connection];
        let is_clean = open.socket.input.is_empty() && !open.socket.has_pending_output();
        let is_reusable = is_clean && !open.reader.must_close && status == ReadStatus::Open;
        if is_reusable {
            self.keep_idle(connection);
        } else {
            self.delegation.connections.remove(connection);
        }
        let outcome = read_outcome(response);
        if let Outcome::Answered(answer) = &outcome
            && let Some(state) = self.delegation.awaiting(assignment)
        {
            let is_newer = answer.version > state.caller_request.min_version;
            state.request.on_acknowledged(assignment.handoff, is_newer);
        }
        self.complete(assignment, outcome);
    }
}

/// Interprets the response of a VM to a delegated request.
fn read_outcome(mut response: h1::Response) -> Outcome {
    let fields = &mut response.head.fields;
    if let Some(decline) = wire::read_decline(fields) {
        return Outcome::Declined {
            decline,
            retry_after: headers::read_retry_after(fields),
        };
    }
    let version = wire::read_version(fields);
    let is_examined = wire::read_handoff(fields).is_some();
    let author = match headers::is_from_leaf(fields) {
        true => Author::Leaf,
        false => Author::Vm,
    };
    wire::strip(fields);
    h1::strip_hop_by_hop(fields);
    Outcome::Answered(Answer {
        status: response.head.status,
        fields: std::mem::take(fields),
        body: response.content,
        version,
        author,
        is_examined,
    })
}
