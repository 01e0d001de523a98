//! Pipelined requests: how many of them are begun at once, and when the others are read.

use super::{CallerConnection, MAX_PIPELINED_BYTES};
use crate::edge::gateway::Gateway;

/// Requests of one connection that are begun in one iteration of the event loop. Further pipelined
/// ones are read in the next iteration, after the events of the other connections: some hundred
/// callers with thousands of small requests each would otherwise occupy the loop for many seconds.
const MAX_REQUESTS_PER_ITERATION: u32 = 8;

impl CallerConnection {
    /// Records that a request is begun in an iteration of the event loop.
    pub(super) fn record_request(&mut self, iteration: u64) {
        let (requests, last) = self.begun;
        let earlier = if last == iteration { requests } else { 0 };
        self.begun = (earlier + 1, iteration);
    }

    /// Returns whether further requests are left for the next iteration of the event loop.
    pub(super) fn has_used_iteration(&self, iteration: u64) -> bool {
        let (requests, last) = self.begun;
        last == iteration && requests >= MAX_REQUESTS_PER_ITERATION
    }
}

impl Gateway {
    /// Lets the input of a connection be parsed further in the next iteration of the event loop.
    pub(super) fn postpone(&mut self, key: usize) {
        let caller = &mut self.caller_connections[key];
        if !caller.is_postponed && !caller.socket.input.is_empty() {
            caller.is_postponed = true;
            self.postponed_callers.push((key, caller.serial));
        }
    }

    /// Parses the input that was left by the last iteration of the event loop.
    pub(in crate::edge::gateway) fn advance_postponed(&mut self) {
        for (key, serial) in std::mem::take(&mut self.postponed_callers) {
            let caller = self.caller_connections.get_mut(key);
            if let Some(caller) = caller.filter(|caller| caller.serial == serial) {
                caller.is_postponed = false;
                self.advance_caller(key);
                self.process_pending();
            }
        }
    }

    /// Lets an event report the bytes that were left unread, once fewer are buffered.
    pub(super) fn resume_reading(&mut self, key: usize) {
        let Some(caller) = self.caller_connections.get_mut(key) else {
            return;
        };
        if caller.has_unread && caller.socket.input.len() <= MAX_PIPELINED_BYTES {
            caller.has_unread = false;
            self.register_caller_again(key);
        }
    }
}
