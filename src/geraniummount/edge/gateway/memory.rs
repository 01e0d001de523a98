//! Carries out what `core::memory_account` decides when memory or descriptors run short.

use std::time::{Duration, Instant};

use log::{debug, info};

use super::Gateway;
use super::caller::{CallerConnection, State};
use crate::core::delegation::{Decline, Terms};
use crate::core::memory_account::{Candidate, Holder};
use crate::core::not_run::NotRun;

/// `Retry-After` of a request that is refused because memory is short. Connections that have held
/// memory for longer are closed for others by then.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Minimum interval between two log lines about connections that were closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Connections closed since the last log line about them.
#[derive(Debug, Default)]
pub(super) struct Closed {
    count: usize,
    logged_at: Option<Instant>,
}

impl Gateway {
    /// Makes room for a body of an announced length; returns whether it may be read.
    pub(super) fn admits_body(&mut self, key: usize, announced: usize) -> bool {
        self.close_for_memory(key, announced);
        let own = self.caller_connections.get(key);
        let own = own.map_or(0, CallerConnection::held_bytes);
        self.account.admits(own, announced)
    }

    /// Closes connections if more is held than the bound. Rejects the request that is being read on
    /// connection `key` if that does not suffice.
    pub(super) fn relieve_memory(&mut self, key: usize) {
        if !self.account.is_over() {
            return;
        }
        self.close_for_memory(key, 0);
        let caller = self.caller_connections.get(key);
        let is_reading =
            |caller: &&CallerConnection| matches!(caller.state, State::Head | State::Body { .. });
        if let Some(caller) = caller.filter(is_reading)
            && !self.account.admits(caller.held_bytes(), 0)
        {
            self.reject_for_memory(key);
        }
    }

    /// Closes the connections that have cost most, except `key`, until `needed` bytes can be held.
    fn close_for_memory(&mut self, key: usize, needed: usize) {
        if self.account.total().saturating_add(needed) <= self.account.limits().max_bytes {
            return;
        }
        let mut candidates = self.candidates();
        candidates.retain(|candidate| candidate.key != key);
        let chosen = self.account.choose(needed, candidates, self.now);
        for victim in chosen {
            match self.caller_connections[victim].state {
                State::Head | State::Body { .. } => {
                    self.reject_for_memory(victim);
                }
                _ => {
                    self.caller_connections.remove(victim);
                }
            }
            self.record_closed("memory");
        }
    }

    /// Closes the connection that has moved least if a further caller would leave too few
    /// descriptors; returns whether it can be accepted.
    pub(super) fn has_descriptor_for_caller(&mut self) -> bool {
        let callers = self.caller_connections.len();
        let others = self.leaf_connections.len() + self.delegation.connections.len();
        if self.account.accepts(callers, others) {
            return true;
        }
        let victim = self.account.choose_connection(&self.candidates(), self.now);
        if let Some(victim) = victim {
            self.caller_connections.remove(victim);
        }
        self.record_closed("descriptors");
        victim.is_some()
    }

    /// Returns the connections that can be closed: those without a request under way.
    fn candidates(&self) -> Vec<Candidate> {
        let callers = self.caller_connections.iter();
        let callers = callers.filter(|(_, caller)| !caller.state.has_request());
        let candidates = callers.map(|(key, caller)| Candidate {
            key,
            bytes: caller.held_bytes(),
            since: caller.state_since,
        });
        candidates.collect()
    }

    /// Rejects a request that is being read, and closes its connection; returns `true`.
    pub(super) fn reject_for_memory(&mut self, key: usize) -> bool {
        self.metrics.memory.count_refusal("reading");
        let why = "memory is short; the request has not run, send it again after the time given";
        self.reject_until(key, 408, why, Some(RETRY_AFTER))
    }

    /// Refuses a request that was read completely.
    pub(super) fn refuse_for_memory(&mut self, key: usize, id: &str, terms: Option<&Terms>) {
        let (held, limit) = (self.account.total(), self.account.limits().max_bytes);
        info!("memory event=refused id={id} held={held} limit={limit}");
        self.metrics.memory.count_refusal("read");
        self.metrics.count_answer("refused");
        match terms {
            Some(terms) => {
                self.decline(key, &terms.from, Decline::Overloaded, Some(RETRY_AFTER));
            }
            None => self.write_refusal(key, NotRun::without_attempts(), RETRY_AFTER),
        }
    }

    /// Counts a connection that was closed or not accepted, and logs at intervals what is held.
    fn record_closed(&mut self, why: &str) {
        self.metrics.memory.count_closing(why);
        let closed = &mut self.closed_connections;
        closed.count += 1;
        let age = |at: Instant| self.now.saturating_duration_since(at);
        if closed.logged_at.is_some_and(|at| age(at) < LOG_INTERVAL) {
            return debug!("memory event=closed why={why}");
        }
        let count = std::mem::take(&mut closed.count);
        closed.logged_at = Some(self.now);
        let (held, limit) = (self.account.total(), self.account.limits().max_bytes);
        let callers = self.caller_connections.len();
        let by_holder = Holder::ALL.map(|holder| {
            let held = self.account.held(holder);
            format!(" {}={held}", holder.as_str())
        });
        let by_holder = by_holder.concat();
        info!(
            "memory event=closed why={why} count={count} callers={callers} held={held} \
             limit={limit}{by_holder}"
        );
    }

    /// Brings the gauges of what is held up to date.
    pub(super) fn measure_memory(&self) {
        for holder in Holder::ALL {
            let held = i64::try_from(self.account.held(holder)).unwrap_or(i64::MAX);
            self.metrics.memory.set_held_bytes(holder.as_str(), held);
        }
    }
}
