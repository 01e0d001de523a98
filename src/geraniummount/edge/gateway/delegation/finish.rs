//! Ends of delegated requests: the response to the caller, and the log line.

use log::info;

use super::caller_request::{CallerRequest, Delegated};
use crate::core::delegation::{Answer, End, Purpose};
use crate::core::key_lease::Keys;
use crate::core::route::Repeat;
use crate::edge::gateway::Gateway;
use crate::edge::gateway::caller::State;
use crate::util::h1;

/// Value of `outcome` of a query that is refused because the stronger VM, to which it was offloaded,
/// finds the leaves overloaded.
const TURNED_AWAY: &str = "turned-away";

/// Value of `outcome` of a request that is refused because no VM that was asked reaches the leaves.
const REFUSED: &str = "links-lost";

/// Value of `outcome` of a request that is refused because no VM that was asked serves it, and this
/// one can't confirm its key.
const UNCONFIRMED: &str = "keys-unconfirmed";

impl Gateway {
    /// Cancels a request whose caller has closed its connection.
    pub(in crate::edge::gateway) fn cancel_delegated(&mut self, index: usize) {
        let state = &mut self.delegation.requests[index];
        state
            .request
            .caller_gone(&mut self.delegation.peers, self.now);
        self.close_delegated(index);
        let state = self.delegation.requests.remove(index);
        let CallerRequest {
            forwarded, plan, ..
        } = &state.caller_request;
        let (id, route) = (&forwarded.id, &plan.route);
        info!("request id={id} route={route} outcome=caller-left delegated=true");
        self.metrics.count_answer("caller-left");
    }

    /// Removes a request, writes its response to the caller and logs its outcome.
    pub(super) fn finish_delegated(&mut self, index: usize, end: End) {
        let state = self.delegation.requests.remove(index);
        let caller = state.caller_request.caller;
        let (label, status) = match end {
            End::ServeHere { may_have_run } => {
                return self.serve_offloaded_here(state, may_have_run);
            }
            End::Forward(answer) => {
                self.on_delegated_answer(&answer, state.caller_request.purpose);
                self.write_delegated_answer(&state, &answer)
            }
            End::Refuse {
                not_run,
                retry_after,
            } => {
                self.write_refusal(caller, not_run, retry_after);
                let request = &state.caller_request;
                let label = match (request.purpose, request.keys) {
                    (Purpose::Offload, _) => TURNED_AWAY,
                    (Purpose::Necessity, Keys::Confirmed) => REFUSED,
                    (Purpose::Necessity, Keys::Unconfirmed) => {
                        self.metrics.count_unconfirmed_request("refused");
                        UNCONFIRMED
                    }
                };
                (label, 503)
            }
            End::Fail => (self.write_failure(caller, 502, "failed").label, 502),
            End::TimeOut => (self.write_failure(caller, 504, "timed-out").label, 504),
        };
        self.metrics.count_answer(label);
        if state.caller_request.purpose == Purpose::Necessity {
            self.isolation.on_request(status < 500);
        }
        self.check_store_if_suspected();
        self.log_delegated(&state, label, status);
        self.answered_callers.push(caller);
    }

    /// Serves an offloaded request that the other VM has not served.
    fn serve_offloaded_here(&mut self, state: Delegated, may_have_run: bool) {
        let id = &state.caller_request.forwarded.id;
        info!("request id={id} event=not-offloaded action=serve");
        self.metrics.count_delegation("served-here");
        let caller = state.caller_request.caller;
        let connection = &mut self.caller_connections[caller];
        connection.state = State::Idle;
        connection.may_have_run |= may_have_run;
        self.admit_again(state.caller_request);
        self.answered_callers.push(caller);
    }

    /// Records that another VM was reached and has answered. One to which a request was offloaded is
    /// of the same failure domain, and says nothing about the links to the others.
    fn on_delegated_answer(&mut self, answer: &Answer, purpose: Purpose) {
        self.routes.on_seen(answer.version);
        if purpose == Purpose::Necessity {
            self.isolation.on_attempt(true);
        }
    }

    /// Writes the response of another VM, unless it would be a false promise; returns its label and its
    /// status.
    fn write_delegated_answer(
        &mut self,
        state: &Delegated,
        answer: &Answer,
    ) -> (&'static str, u16) {
        let request = &state.caller_request;
        let planned = match answer.is_examined {
            true => Repeat::Idempotent,
            false => request.plan.repeat,
        };
        let (status, author) = (answer.status, answer.author);
        let version = answer.version.max(request.min_version);
        if !self.may_forward(&request.forwarded, status, author, version, planned) {
            return (self.write_failure(request.caller, 502, "failed").label, 502);
        }
        self.write_answer(request.caller, &request.forwarded.method, answer);
        ("delegated", answer.status)
    }

    /// Writes the response of another VM.
    fn write_answer(&mut self, caller: usize, method: &str, answer: &Answer) {
        let mut response = Vec::with_capacity(512 + answer.body.len());
        h1::write_status_line(&mut response, answer.status);
        for field in &answer.fields {
            h1::write_field(&mut response, &field.name, &field.value);
        }
        self.write_body(caller, method, answer.status, &answer.body, response);
    }

    fn log_delegated(&self, state: &Delegated, label: &str, status: u16) {
        let request = &state.caller_request;
        let took = self.now.saturating_duration_since(request.started);
        self.metrics.observe_answer_time(took);
        let (id, route, ms) = (&request.forwarded.id, &request.plan.route, took.as_millis());
        let (version, asked, sends) = (request.min_version, state.asked, request.sends);
        info!(
            "request id={id} route={route} version={version} outcome={label} status={status} \
             delegated=true asked={asked} sends={sends} ms={ms}"
        );
    }
}
