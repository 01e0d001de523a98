//! Times that callers may take.
//!
//! A connection has one timer, which is set again when it fires too early. With a timer for each
//! response, a caller that sends small requests as fast as it can would fill the memory with timers
//! that fire after the time that a connection may be idle.

use std::time::{Duration, Instant};

use super::{CallerConnection, State};
use crate::core::route::Limits;
use crate::edge::gateway::Gateway;
use crate::edge::gateway::timers::Timer;

/// Time that a connection stays half open after a request was rejected before it was read
/// completely. Closing it at once would reset it, and the caller could lose the response.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(500);

impl CallerConnection {
    /// Returns when the caller has taken too long; `None` while it waits for its answer.
    fn due_at(&self, limits: Limits) -> Option<Instant> {
        match self.state {
            State::Idle => Some(self.state_since + limits.idle_timeout),
            State::Head => Some(self.state_since + limits.read_timeout),
            State::Body { .. } => {
                let end = self.state_since + limits.read_timeout * 2;
                Some(end.min(self.progress_at.max(self.state_since) + limits.read_timeout))
            }
            State::InFlight { .. }
            | State::Delegated { .. }
            | State::Held { .. }
            | State::AwaitingTrial(_)
            | State::AwaitingToken(_) => None,
            State::Closing => Some(self.state_since + CLOSING_TIMEOUT),
        }
    }
}

impl Gateway {
    /// Sets the timer of a connection, unless one is set that fires early enough.
    pub(super) fn start_caller_timer(&mut self, key: usize) {
        let limits = self.routes.limits();
        let caller = &mut self.caller_connections[key];
        let Some(due) = caller.due_at(limits) else {
            return;
        };
        if caller.timer_at.is_none_or(|at| due < at) {
            caller.timer_at = Some(due);
            self.timers.add(due, Timer::Caller(key, caller.serial));
        }
    }

    /// Ends what a caller takes too long for, unless the timer was set for an earlier connection with
    /// the same key.
    pub(in crate::edge::gateway) fn on_caller_timer(&mut self, key: usize, serial: u64) {
        let limits = self.routes.limits();
        let Some(caller) = self.caller_connections.get_mut(key) else {
            return;
        };
        if caller.serial != serial {
            return;
        }
        caller.timer_at = caller.timer_at.filter(|at| self.now < *at);
        if caller.due_at(limits).is_none_or(|due| self.now < due) {
            return self.start_caller_timer(key);
        }
        match caller.state {
            State::Head => {
                self.reject(key, 408, "the head took too long; send it faster");
            }
            State::Body { .. } => {
                self.reject(key, 408, "the body took too long; send it faster");
            }
            _ => {
                self.caller_connections.remove(key);
            }
        }
    }
}
