//! Runs one request: performs the actions of its state machine and feeds the outcomes back to it.
//!
//! The state machine sends parts. A part is the share of the request that goes to one shard, and
//! each attempt to run it at a leaf has an id and one outcome. [`Traffic`] is the state that all
//! requests of this VM share, such as the ranking of replicas and the budgets of retries.

use std::sync::MutexGuard;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use super::shared::Shared;
use crate::core::answer::Answer;
use crate::core::execution::Execution;
use crate::core::fan_out::{Action, FanOut};
use crate::core::traffic::Traffic;
use crate::edge::reply_to::ReplyTo;
use crate::prelude::*;

/// Interval at which a running query checks whether its caller has disconnected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State machine of a request.
pub(super) enum Machine {
    /// A query over all shards.
    Query(Box<FanOut>),
    /// A non-idempotent request, which runs on one shard at most once.
    Execution(Box<Execution>),
}

impl Machine {
    fn start(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        match self {
            Machine::Query(fan_out) => fan_out.start(traffic, now),
            Machine::Execution(execution) => execution.start(traffic, now),
        }
    }

    fn on_outcome(&mut self, outcome: Outcome, traffic: &mut Traffic) -> Vec<Action> {
        let now = Instant::now();
        match self {
            Machine::Query(fan_out) => fan_out.on_outcome(outcome, traffic, now),
            Machine::Execution(execution) => execution.on_outcome(outcome, traffic, now),
        }
    }

    fn tick(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        match self {
            Machine::Query(fan_out) => fan_out.tick(traffic, now),
            Machine::Execution(execution) => execution.tick(traffic, now),
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        match self {
            Machine::Query(fan_out) => fan_out.next_wake(),
            Machine::Execution(execution) => execution.next_wake(),
        }
    }

    /// Cancels a query whose caller has disconnected. Returns `None` for a non-idempotent request,
    /// which continues because its caller may reconnect and retry it with the same idempotency key.
    fn cancel_query(&mut self, traffic: &mut Traffic, now: Instant) -> Option<Vec<Action>> {
        match self {
            Machine::Query(fan_out) => Some(fan_out.cancel(traffic, now)),
            Machine::Execution(_) => None,
        }
    }
}

/// One request in flight.
pub(super) struct Run<'a> {
    shared: &'a Shared,
    /// Cloned for each attempt, to send the attempt's outcome to `outcomes`.
    sender: Sender<Outcome>,
    /// Outcomes of the request's attempts.
    outcomes: Receiver<Outcome>,
}

impl<'a> Run<'a> {
    /// Creates a run, without starting it.
    pub(super) fn new(shared: &'a Shared) -> Run<'a> {
        let (sender, outcomes) = mpsc::channel();
        Run {
            shared,
            sender,
            outcomes,
        }
    }

    /// Runs a request to completion. Returns `None` if its caller has disconnected and the request
    /// was cancelled.
    pub(super) fn complete(
        &self,
        machine: &mut Machine,
        is_caller_gone: impl Fn() -> bool,
    ) -> Option<Result<Answer, Failure>> {
        let mut actions = machine.start(&mut self.traffic(), Instant::now());
        let mut next_caller_check = Instant::now() + CALLER_CHECK_INTERVAL;
        loop {
            if let Some(result) = self.perform(actions) {
                return Some(result);
            }
            let now = Instant::now();
            if now >= next_caller_check {
                next_caller_check = now + CALLER_CHECK_INTERVAL;
                if is_caller_gone()
                    && let Some(cancels) = machine.cancel_query(&mut self.traffic(), now)
                {
                    self.perform(cancels);
                    return None;
                }
            }
            let wake = machine.next_wake()?.min(next_caller_check);
            let wait = wake.saturating_duration_since(now);
            actions = match self.outcomes.recv_timeout(wait) {
                Ok(outcome) => {
                    self.count_dropped_reply(&outcome);
                    machine.on_outcome(outcome, &mut self.traffic())
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    machine.tick(&mut self.traffic(), Instant::now())
                }
            };
        }
    }

    /// Counts a reply that the leaf's owner (the VM that holds the leaf's queue) discarded.
    fn count_dropped_reply(&self, outcome: &Outcome) {
        let Err(failure) = &outcome.result else {
            return;
        };
        match failure.reason {
            Reason::ReplyMismatch | Reason::SnapshotMismatch | Reason::Truncated => {
                self.shared.metrics.count_dropped_reply(failure.reason);
            }
            _ => {}
        }
    }

    fn traffic(&self) -> MutexGuard<'a, Traffic> {
        self.shared.traffic()
    }

    /// Performs the actions. Returns the result of the request if one of them finishes it.
    fn perform(&self, actions: Vec<Action>) -> Option<Result<Answer, Failure>> {
        let mut finished = None;
        for action in actions {
            match action {
                Action::Send(part) => {
                    let reply = ReplyTo::Caller(self.sender.clone());
                    self.shared.dispatcher.dispatch(part, reply);
                }
                Action::Cancel { attempt, leaf } => self.shared.dispatcher.cancel(attempt, &leaf),
                Action::Finish(result) => finished = Some(result),
            }
        }
        finished
    }
}
