//! Sends attempts over connections to leaves, and takes them back.
//!
//! A connection is first assigned to an attempt. The request is written once the connection is
//! established, if the attempt may still be sent then. An attempt that is abandoned before that has
//! not run; one that is abandoned later may have.

use std::sync::Arc;
use std::time::Duration;

use super::{ABANDONED_GRACE, MIN_SILENCE};
use crate::core::call::Reply;
use crate::edge::gateway::Gateway;
use crate::edge::gateway::timers::Timer;
use crate::platform::headers;
use crate::prelude::*;

impl Gateway {
    /// Assigns a connection to an attempt, whose request is written as soon as the connection is
    /// established. Until then no byte of it exists that could leave after the attempt has been
    /// abandoned. Releases the connection if the attempt is no longer in flight.
    pub(in crate::edge::gateway) fn assign(&mut self, connection: usize, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.get_mut(&attempt) else {
            return self.release(connection);
        };
        in_flight.connection = Some(connection);
        let leaf = &mut self.leaf_connections[connection];
        leaf.attempt = Some(attempt);
        leaf.is_awaiting_response = true;
        leaf.requested_at = self.now;
        leaf.has_sent_bytes = false;
        leaf.received = 0;
        leaf.mismatched = 0;
        leaf.abandoned_at = None;
        leaf.abandoned_request = None;
        if leaf.connected_at.is_some() {
            self.write_attempt(connection, attempt);
        }
    }

    /// Writes the request of the attempt that an established connection is assigned to, unless the
    /// attempt may no longer be sent.
    fn write_attempt(&mut self, connection: usize, attempt: AttemptId) {
        self.read_clock();
        let remaining = self.may_send(attempt).then(|| self.time_to_write(attempt));
        let Some(remaining) = remaining.flatten() else {
            self.unassign(connection);
            self.queue_reply(attempt, Reply::Withheld);
            return self.release(connection);
        };
        let in_flight = &self.attempts[&attempt];
        let state = &self.calls[in_flight.call];
        let replica = self
            .placement
            .replica(&in_flight.service, in_flight.replica);
        let leaf_id = replica.map_or("", |replica| replica.instance.id.as_str());
        let forwarded = &state.forwarded;
        let mut request = Vec::with_capacity(512);
        forwarded.write_head(&mut request);
        headers::write_leaf_fields(&mut request, remaining, leaf_id);
        forwarded.write_head_end(&mut request);
        let content = Arc::clone(&forwarded.content);
        let leaf = &mut self.leaf_connections[connection];
        leaf.request_id.clone_from(&forwarded.id);
        leaf.requested_at = self.now;
        leaf.reader.begin(forwarded.method == "HEAD");
        leaf.socket.queue_with_body(request, content);
        self.flush_leaf(connection);
    }

    /// Returns the time that is left for an attempt in flight that is written now; `None` if it is too
    /// short.
    fn time_to_write(&self, attempt: AttemptId) -> Option<Duration> {
        let call = &self.calls[self.attempts[&attempt].call].call;
        call.plan().time_to_write(Duration::ZERO, self.now)
    }

    /// Returns whether an attempt may still be sent: its call is not finished and has enough time
    /// left, and its leaf accepts requests. Each attempt is checked when its request is written, as
    /// it may have waited for a connection.
    pub(in crate::edge::gateway) fn may_send(&self, attempt: AttemptId) -> bool {
        let Some(in_flight) = self.attempts.get(&attempt) else {
            return false;
        };
        let call = &self.calls[in_flight.call].call;
        let (service, key) = (&in_flight.service, in_flight.replica);
        !call.is_finished()
            && call.plan().has_time_for_attempt(self.now)
            && self.placement.accepts_requests(service, key, self.now)
    }

    /// Ends the use of a connection by an attempt of which nothing was written.
    fn unassign(&mut self, connection: usize) {
        let leaf = &mut self.leaf_connections[connection];
        leaf.attempt = None;
        leaf.is_awaiting_response = false;
    }

    /// Writes the request that a connection was opened for. If that was taken back meanwhile, the
    /// connection is kept for another one.
    pub(super) fn on_leaf_connected(&mut self, connection: usize) {
        let leaf = &self.leaf_connections[connection];
        match leaf.attempt {
            Some(attempt) => self.write_attempt(connection, attempt),
            None if leaf.is_check => self.flush_leaf(connection),
            None => self.release(connection),
        }
    }

    /// Abandons an attempt. If no byte of its request was written, the request is taken back, and
    /// the connection is free for another one. Otherwise the connection stays open for a short time
    /// in case the response arrives.
    pub(in crate::edge::gateway) fn abandon(&mut self, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(connection) = in_flight.connection else {
            return self.remove_waiting(in_flight.replica, attempt);
        };
        let state = &self.calls[in_flight.call];
        let is_unanswered = state.call.included_count() == 0;
        let fingerprint = is_unanswered.then_some(state.forwarded.fingerprint);
        let leaf = &mut self.leaf_connections[connection];
        let (replica, requested_at) = (leaf.replica, leaf.requested_at);
        let is_connected = leaf.connected_at.is_some();
        if leaf.has_sent_bytes {
            leaf.attempt = None;
            leaf.abandoned_at = Some(self.now);
            leaf.abandoned_request = fingerprint;
            let timer = Timer::Leaf(connection, leaf.serial);
            self.timers.add(self.now + ABANDONED_GRACE, timer);
        } else {
            leaf.socket.take_back();
            self.unassign(connection);
            if is_connected {
                self.release(connection);
            }
        }
        if self.now.saturating_duration_since(requested_at) >= MIN_SILENCE {
            self.leaf_links.on_silent(replica, requested_at);
            self.check_leaf_links();
        }
    }
}
