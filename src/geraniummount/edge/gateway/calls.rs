//! Requests that are being worked on, and their attempts at leaves.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use log::info;

use super::Gateway;
use super::timers::Timer;
use crate::core::call::{Action, Call, Reply};
use crate::core::placement::ReplicaKey;
use crate::prelude::*;
use crate::util::h1::Field;

/// What is forwarded to each leaf.
#[derive(Debug)]
pub(super) struct Forward {
    pub(super) id: RequestId,
    pub(super) method: String,
    pub(super) target: String,
    pub(super) fields: Vec<Field>,
    pub(super) content: Vec<u8>,
}

/// A request that is being worked on.
#[derive(Debug)]
pub(super) struct CallState {
    pub(super) serial: u64,
    pub(super) caller: usize,
    pub(super) call: Call,
    pub(super) forward: Arc<Forward>,
    pub(super) route: String,
    /// Version of the routes that it was planned with.
    pub(super) version: u64,
    pub(super) started: Instant,
    /// Earliest wake-up that is set.
    pub(super) wake: Option<Instant>,
    pub(super) sends: u32,
    /// Whether it was taken as not served when its answer was due.
    pub(super) unserved_when_due: bool,
}

/// An attempt at a leaf.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) call: usize,
    pub(super) service: ServiceName,
    pub(super) replica: ReplicaKey,
    /// The leaf's connection, once it has one.
    pub(super) connection: Option<usize>,
}

/// All attempts that are open. A map, as the numbers are looked up at random
/// some thousand times a second.
pub(super) type Attempts = HashMap<AttemptId, Attempt>;

impl Gateway {
    /// Does what a request wants done.
    pub(super) fn act(&mut self, index: usize, actions: Vec<Action>) {
        self.look_when_due(index);
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    service,
                    replica,
                } => {
                    self.calls[index].sends += 1;
                    let open = Attempt {
                        call: index,
                        service,
                        replica,
                        connection: None,
                    };
                    self.attempts.insert(attempt, open);
                    self.dispatch(attempt);
                }
                Action::Abandon { attempt } => self.abandon(attempt),
                Action::Finish(end) => return self.answer(index, end),
            }
        }
        self.set_wake(index);
    }

    /// Learns from a query's parts as soon as its answer is due.
    fn look_when_due(&mut self, index: usize) {
        let call = &mut self.calls[index].call;
        let Some(overdue) = call.take_overdue() else {
            return;
        };
        if call.plan().is_gather() {
            self.note_load(index, overdue);
            self.note_unanswered(index);
        }
    }

    /// Notes how an attempt ended. Its request hears of it once the present
    /// event is dealt with: what that event still does may concern the same
    /// request.
    pub(super) fn deliver(&mut self, attempt: AttemptId, reply: Reply) {
        if let Some(open) = self.attempts.get_mut(&attempt) {
            open.connection = None;
            self.delivered.push_back((attempt, reply));
        }
    }

    /// Tells requests what was noted, and goes on with callers that were
    /// answered, until nothing is left.
    pub(super) fn settle(&mut self) {
        loop {
            if let Some((attempt, reply)) = self.delivered.pop_front() {
                self.take_reply(attempt, reply);
            } else if let Some(caller) = self.answered.pop() {
                self.advance_caller(caller);
            } else {
                return;
            }
        }
    }

    fn take_reply(&mut self, attempt: AttemptId, reply: Reply) {
        let Some(open) = self.attempts.remove(&attempt) else {
            return;
        };
        self.counts.count_attempt(reply.as_str());
        if self
            .placement
            .is_in_other_domain(&open.service, open.replica)
        {
            let answered = !matches!(reply, Reply::Lost | Reply::Unreachable);
            self.isolation.on_attempt(answered);
        }
        let call = &self.calls[open.call];
        if !matches!(reply, Reply::Success(_)) {
            let id = &call.forward.id;
            let took = self.now.saturating_duration_since(call.started).as_millis();
            let leaf = self.placement.replica(&open.service, open.replica);
            let leaf = leaf.map_or("gone", |replica| replica.instance.id.as_str());
            let (service, outcome) = (&open.service, reply.as_str());
            info!("attempt id={id} service={service} leaf={leaf} outcome={outcome} at_ms={took}");
        }
        let was_suspended = self.is_suspended(&open);
        let call = &mut self.calls[open.call].call;
        let actions = call.on_reply(attempt, reply, &mut self.placement, self.now);
        if !was_suspended && self.is_suspended(&open) {
            let (service, key) = (&open.service, open.replica);
            let leaf = self.placement.replica(service, key);
            let leaf = leaf.map_or("gone", |replica| replica.instance.id.as_str());
            info!("leaf leaf={leaf} service={service} event=suspended");
        }
        self.act(open.call, actions);
    }

    fn is_suspended(&self, attempt: &Attempt) -> bool {
        let replica = self.placement.replica(&attempt.service, attempt.replica);
        replica.is_some_and(|replica| replica.suspended_until.is_some())
    }

    /// Notes that a leaf may have an attempt's request.
    pub(super) fn mark_sent(&mut self, attempt: AttemptId) {
        if let Some(open) = self.attempts.get(&attempt) {
            self.calls[open.call].call.on_sent(attempt);
        }
    }

    pub(super) fn tick_call(&mut self, index: usize, serial: u64) {
        let Some(state) = self.calls.get_mut(index) else {
            return;
        };
        if state.serial != serial {
            return;
        }
        state.wake = None;
        let actions = state.call.tick(&mut self.placement, self.now);
        self.act(index, actions);
    }

    /// Gives up a request whose caller has left.
    pub(super) fn give_up_call(&mut self, index: usize) {
        let state = &mut self.calls[index];
        let actions = state.call.caller_gone(&mut self.placement, self.now);
        for action in actions {
            if let Action::Abandon { attempt } = action {
                self.abandon(attempt);
            }
        }
        let state = self.calls.remove(index);
        let took = self
            .now
            .saturating_duration_since(state.started)
            .as_millis();
        let (id, route) = (&state.forward.id, &state.route);
        info!("request id={id} route={route} outcome=caller-left ms={took}");
        self.counts.count_answer("caller-left");
    }

    fn set_wake(&mut self, index: usize) {
        let Some(state) = self.calls.get_mut(index) else {
            return;
        };
        let Some(next) = state.call.next_wake() else {
            return;
        };
        if state.wake.is_none_or(|set| next < set) {
            state.wake = Some(next);
            self.timers.add(next, Timer::Call(index, state.serial));
        }
    }
}
