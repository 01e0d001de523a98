//! Writes responses on the connections from callers.

use std::net::Shutdown;
use std::time::Duration;

use super::{Origin, State};
use crate::core::not_run::{Author, may_reach_caller};
use crate::core::route::Repeat;
use crate::edge::gateway::{Gateway, delegation};
use crate::platform::headers;
use crate::util::h1;

impl Gateway {
    /// Writes a complete response and makes the connection ready for the next request.
    pub(in crate::edge::gateway) fn send_response(&mut self, key: usize, answer: Vec<u8>) {
        let must_close = self.should_close_callers();
        let Some(caller) = self.caller_connections.get_mut(key) else {
            return;
        };
        caller.closes_after_response |= must_close;
        caller.may_have_run = false;
        caller.socket.queue_message(answer);
        caller.state_since = self.now;
        if !matches!(caller.state, State::Closing) {
            caller.state = State::Idle;
        }
        self.flush_caller(key);
        if self.caller_connections.contains(key) {
            self.start_caller_timer(key);
        }
    }

    /// Returns whether callers have to move to other VMs because this one is stopping or isolated.
    fn should_close_callers(&self) -> bool {
        self.stop.is_some() || self.isolation.is_isolated()
    }

    /// Writes the fields of a response that concern only the connection with this key: that it is
    /// closed afterwards, and for another VM the version of the routes and the handoff that it answers.
    pub(in crate::edge::gateway) fn write_connection_fields(&self, out: &mut Vec<u8>, key: usize) {
        if self.closes_after_response(key) {
            h1::write_field(out, "Connection", b"close");
        }
        let caller = self.caller_connections.get(key);
        let Some(caller) = caller.filter(|caller| caller.origin == Origin::Peer) else {
            return;
        };
        delegation::write_version(out, self.routes.version());
        if let Some(handoff) = caller.handoff {
            delegation::write_handoff(out, handoff);
        }
    }

    /// Returns whether the connection is closed once the current response is written.
    fn closes_after_response(&self, key: usize) -> bool {
        self.should_close_callers()
            || self
                .caller_connections
                .get(key)
                .is_some_and(|caller| caller.closes_after_response)
    }

    /// Writes a response with a one-line plain-text body. A refusal of a request that another VM may
    /// have run becomes a failure, as a refusal promises that the request has not run.
    pub(in crate::edge::gateway) fn write_plain(
        &mut self,
        key: usize,
        status: u16,
        why: &str,
        retry_after: Option<Duration>,
    ) {
        let caller = self.caller_connections.get(key);
        let may_have_run = caller.is_some_and(|caller| caller.may_have_run);
        let repeat = Repeat::AtMostOnce;
        let (status, why, retry_after) =
            match may_reach_caller(status, Author::Vm, repeat, may_have_run) {
                true => (status, why, retry_after),
                false => (502, "no answer; it may have run", None),
            };
        let mut answer = Vec::with_capacity(160);
        h1::write_status_line(&mut answer, status);
        if let Some(wait) = retry_after {
            headers::write_retry_after(&mut answer, wait);
        }
        h1::write_field(&mut answer, "Content-Type", b"text/plain");
        h1::write_number_field(&mut answer, "Content-Length", why.len() as u64 + 1);
        self.write_connection_fields(&mut answer, key);
        h1::write_head_end(&mut answer);
        answer.extend_from_slice(why.as_bytes());
        answer.push(b'\n');
        self.send_response(key, answer);
    }

    /// Writes pending output. Once a connection's last response is written, closes the connection,
    /// or only its sending side if the state is [`State::Closing`].
    pub(in crate::edge::gateway) fn flush_caller(&mut self, key: usize) {
        let Some(caller) = self.caller_connections.get_mut(key) else {
            return;
        };
        let had_backlog = caller.has_backlog();
        if caller.socket.flush().is_err() {
            return self.on_caller_closed(key);
        }
        if had_backlog && !caller.has_backlog() {
            // Requests that have waited for the backlog are read next.
            self.answered_callers.push(key);
        }
        let answered = matches!(caller.state, State::Idle | State::Closing);
        if !caller.closes_after_response || !answered || caller.socket.has_pending_output() {
            return;
        }
        if matches!(caller.state, State::Closing) {
            // If this fails, the connection is broken and the next read reports that.
            let _ = caller.socket.stream.shutdown(Shutdown::Write);
            caller.socket.input.clear();
            caller.settle();
            return;
        }
        self.caller_connections.remove(key);
    }
}
