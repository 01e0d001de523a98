//! Calls in flight and their attempts at leaves.
//!
//! A call is a caller's request in flight. A part is its share for one shard, and an attempt is one
//! try to run a part at one leaf. When the answer is due, a part is overdue if it has no reply yet
//! or the leaves had no capacity for it. A leaf is suspended if it is not tried for a while after
//! failures. A key is an index into one of the gateway's slabs; keys are reused.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use log::info;

use super::Gateway;
use super::content::Content;
use super::timers::Timer;
use crate::core::call::{Action, Call, Reply};
use crate::core::fingerprint::Fingerprint;
use crate::core::memory_account::Share;
use crate::core::placement::ReplicaKey;
use crate::core::quarantine::Crash;
use crate::core::tenant::Credential;
use crate::prelude::*;
use crate::util::h1::{self, Field};

/// A caller's request as it is forwarded to each leaf.
#[derive(Clone, Debug)]
pub(super) struct ForwardedRequest {
    pub(super) id: RequestId,
    /// Hash of the host, method, path and body, which is the same for each repetition.
    pub(super) fingerprint: Fingerprint,
    pub(super) method: String,
    /// Path and query string.
    pub(super) target: String,
    /// Header fields.
    pub(super) fields: Vec<Field>,
    /// Body.
    pub(super) content: Arc<Content>,
}

impl ForwardedRequest {
    /// Writes the request line and the header fields, without the end of the head.
    pub(super) fn write_head(&self, out: &mut Vec<u8>) {
        h1::write_request_line(out, &self.method, &self.target);
        for field in &self.fields {
            h1::write_field(out, &field.name, &field.value);
        }
    }

    /// Writes the length of the body and the end of the head.
    pub(super) fn write_head_end(&self, out: &mut Vec<u8>) {
        let length = self.content.bytes().len();
        if length > 0 || self.method != "GET" {
            h1::write_number_field(out, "Content-Length", length as u64);
        }
        h1::write_head_end(out);
    }
}

/// A call in flight, with the caller that waits for it.
#[derive(Debug)]
pub(super) struct CallState {
    /// Number that tells the call from others that had the same key.
    pub(super) serial: u64,
    /// Key of the caller's connection.
    pub(super) caller: usize,
    /// VM that delegated the request to this one; `None` for a request of a caller.
    pub(super) from: Option<VmName>,
    /// Decides to which leaves the request is sent and what the answer is.
    pub(super) call: Call,
    pub(super) forwarded: Arc<ForwardedRequest>,
    /// Who sends the request.
    pub(super) credential: Credential,
    /// Name of the route.
    pub(super) route: String,
    /// Version of the routes with which the call was planned.
    pub(super) version: u64,
    pub(super) started: Instant,
    /// Earliest timer that is set for the call.
    pub(super) wake_at: Option<Instant>,
    /// Number of attempts so far.
    pub(super) sends: u32,
    /// Number of leaves of each shard that may have received the request from other VMs.
    pub(super) earlier_sends: u32,
    /// Whether the request had waited before its call started, so that a late answer says nothing
    /// about the leaves.
    pub(super) is_delayed: bool,
    /// Whether the call was already counted as unserved when its answer was due.
    pub(super) unserved_when_due: bool,
    /// Leaves that closed the connection while they had the request.
    pub(super) crashes: Vec<Crash>,
    /// Memory that the replies take that wait for the other parts.
    pub(super) parts: Share,
}

/// An attempt in flight at one leaf.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Key of the call.
    pub(super) call: usize,
    /// Service of the leaf.
    pub(super) service: ServiceName,
    /// Key of the leaf.
    pub(super) replica: ReplicaKey,
    /// Key of the connection that carries the attempt; `None` while it waits for one.
    pub(super) connection: Option<usize>,
}

/// All attempts in flight. A hash map, because ids are looked up in random order some thousand
/// times a second.
pub(super) type Attempts = HashMap<AttemptId, Attempt>;

impl Gateway {
    /// Carries out the actions that a call asks for.
    pub(super) fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        self.record_overdue(index);
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    service,
                    replica,
                    is_extra,
                } => {
                    self.calls[index].sends += 1;
                    if is_extra {
                        self.record_silent_leaves(index, Some(replica));
                    }
                    self.count_limited(&service, replica, is_extra);
                    let in_flight = Attempt {
                        call: index,
                        service,
                        replica,
                        connection: None,
                    };
                    self.attempts.insert(attempt, in_flight);
                    self.dispatch(attempt);
                }
                Action::Abandon { attempt } => self.abandon(attempt),
                Action::Finish(end) => return self.finish_call(index, end),
            }
        }
        self.schedule_wake(index);
    }

    /// Counts an attempt at a leaf that limits the requests of all VMs together.
    fn count_limited(&mut self, service: &ServiceName, key: ReplicaKey, is_extra: bool) {
        if self.placement.count_limited(service, key, is_extra) {
            self.metrics.count_limited_attempt(is_extra);
        }
    }

    /// Records the overdue parts of a query over many shards, once, as soon as the query's answer
    /// is due.
    fn record_overdue(&mut self, index: usize) {
        let call = &mut self.calls[index].call;
        let Some(overdue) = call.take_overdue() else {
            return;
        };
        if call.plan().is_gather() && !self.calls[index].is_delayed {
            self.record_overdue_parts(index, overdue);
            self.record_silent_leaves(index, None);
            self.record_unanswered(index);
        }
    }

    /// Queues the reply to an attempt until the current event is handled. The rest of that event's
    /// handling may change the same call, so passing on the reply at once would be reentrant.
    pub(super) fn queue_reply(&mut self, attempt: AttemptId, reply: Reply) {
        if let Some(in_flight) = self.attempts.get_mut(&attempt) {
            in_flight.connection = None;
            self.pending_replies.push_back((attempt, reply));
        }
    }

    /// Passes queued replies to their calls and what has arrived from other VMs to delegated
    /// requests, and parses
    /// the buffered input of callers that have got their response, until none is left.
    pub(super) fn process_pending(&mut self) {
        loop {
            self.hand_over_calls();
            if let Some((attempt, reply)) = self.pending_replies.pop_front() {
                self.handle_reply(attempt, reply);
            } else if self.process_arrived() {
                continue;
            } else if let Some(caller) = self.answered_callers.pop() {
                self.advance_caller(caller);
            } else {
                return;
            }
        }
    }

    /// Counts and logs the reply to an attempt, and passes it to the attempt's call.
    fn handle_reply(&mut self, attempt: AttemptId, reply: Reply) {
        let Some(in_flight) = self.attempts.remove(&attempt) else {
            return;
        };
        self.metrics.count_attempt(reply.as_str());
        if matches!(reply, Reply::Withheld) {
            self.count_held_back(&in_flight.service, in_flight.replica);
        }
        let is_in_other_domain = self
            .placement
            .is_in_other_domain(&in_flight.service, in_flight.replica);
        if is_in_other_domain && !matches!(reply, Reply::Withheld) {
            let answered = !matches!(
                reply,
                Reply::Disconnected | Reply::Lost | Reply::Unreachable
            );
            self.isolation.on_attempt(answered);
        }
        let forecast = self.note_forecast(attempt, &in_flight, &reply);
        let call = &self.calls[in_flight.call];
        if !matches!(reply, Reply::Success(_)) {
            let id = &call.forwarded.id;
            let took = self.now.saturating_duration_since(call.started).as_millis();
            let leaf = self
                .placement
                .replica(&in_flight.service, in_flight.replica);
            let leaf = leaf.map_or("gone", |replica| replica.instance.id.as_str());
            let (service, outcome) = (&in_flight.service, reply.as_str());
            let fingerprint = call.forwarded.fingerprint;
            info!(
                "attempt id={id} fingerprint={fingerprint:032x} service={service} leaf={leaf} \
                 outcome={outcome} at_ms={took}{forecast}"
            );
        }
        self.record_crash_or_answer(attempt, &in_flight, &reply);
        let was_suspended = self.is_suspended(&in_flight);
        let call = &mut self.calls[in_flight.call].call;
        let actions = call.on_reply(attempt, reply, &mut self.placement, self.now);
        let held = call.held_bytes();
        self.calls[in_flight.call].parts.resize(held);
        if !was_suspended && self.is_suspended(&in_flight) {
            let (service, key) = (&in_flight.service, in_flight.replica);
            let leaf = self.placement.replica(service, key);
            let leaf = leaf.map_or("gone", |replica| replica.instance.id.as_str());
            info!("leaf leaf={leaf} service={service} event=suspended");
        }
        self.apply_actions(in_flight.call, actions);
    }

    /// Observes the time that an answered attempt took against its forecast. Returns log fields with
    /// the forecast of any other attempt, which are empty unless leaves are chosen by cost.
    fn note_forecast(&self, attempt: AttemptId, in_flight: &Attempt, reply: &Reply) -> String {
        let (service, key) = (&in_flight.service, in_flight.replica);
        let Some((forecast, sent_at)) = self.placement.forecast_of(service, key, attempt) else {
            return String::new();
        };
        if matches!(reply, Reply::Success(_)) {
            let took = self.now.saturating_duration_since(sent_at);
            self.metrics.observe_forecast(took, forecast.expected);
            return String::new();
        }
        let age = forecast.load_age.map(|age| age.as_millis().to_string());
        format!(
            " work_ms={} remaining_ms={} expected_ms={} load_age_ms={}",
            forecast.work.as_millis(),
            forecast.remaining.as_millis(),
            forecast.expected.as_millis(),
            age.as_deref().unwrap_or("none")
        )
    }

    fn is_suspended(&self, attempt: &Attempt) -> bool {
        let replica = self.placement.replica(&attempt.service, attempt.replica);
        replica.is_some_and(|replica| replica.suspended_until.is_some())
    }

    /// Records that the leaf may have received the attempt's request.
    pub(super) fn mark_sent(&mut self, attempt: AttemptId) {
        if let Some(in_flight) = self.attempts.get(&attempt) {
            self.calls[in_flight.call].call.on_sent(attempt);
        }
    }

    /// Lets a call do what is due, unless the timer was set for an earlier call with the same key.
    pub(super) fn on_call_timer(&mut self, index: usize, serial: u64) {
        let Some(state) = self.calls.get_mut(index) else {
            return;
        };
        if state.serial != serial {
            return;
        }
        state.wake_at = None;
        let actions = state.call.tick(&mut self.placement, self.now);
        self.apply_actions(index, actions);
    }

    /// Cancels and removes a call whose caller has closed its connection.
    pub(super) fn cancel_call(&mut self, index: usize) {
        let state = &mut self.calls[index];
        let actions = state.call.caller_gone(&mut self.placement, self.now);
        for action in actions {
            if let Action::Abandon { attempt } = action {
                self.abandon(attempt);
            }
        }
        let state = self.calls.remove(index);
        self.count_crashes(&state);
        self.record_caller_left(&state);
        let took = self
            .now
            .saturating_duration_since(state.started)
            .as_millis();
        let (id, route) = (&state.forwarded.id, &state.route);
        info!("request id={id} route={route} outcome=caller-left ms={took}");
        self.metrics.count_answer("caller-left");
    }

    /// Ends all calls in flight at `limit` at the latest.
    pub(super) fn end_calls_before(&mut self, limit: Instant) {
        let keys: Vec<usize> = self.calls.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.calls[key].call.end_before(limit);
            self.schedule_wake(key);
        }
    }

    /// Sets a timer for the next time that the call has something to do.
    fn schedule_wake(&mut self, index: usize) {
        let Some(state) = self.calls.get_mut(index) else {
            return;
        };
        let Some(next) = state.call.next_wake() else {
            return;
        };
        if state.wake_at.is_none_or(|set| next < set) {
            state.wake_at = Some(next);
            self.timers.add(next, Timer::Call(index, state.serial));
        }
    }
}
