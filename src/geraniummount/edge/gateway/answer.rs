//! The end of a call: writes the response to the caller, the log line and the metrics.
//!
//! A call is a caller's request in flight. A gathered response merges the answers of many shards.
//! It includes the signature of each answer, which is the text by which the leaf identifies itself
//! and the answer.

use std::time::Duration;

use log::info;

use super::calls::{CallState, ForwardedRequest};
use super::{Gateway, delegation};
use crate::core::call::{End, Refusal, Response};
use crate::core::not_run::{Author, NotRun, may_reach_caller};
use crate::core::route::Repeat;
use crate::core::top_k;
use crate::platform::headers;
use crate::util::h1::{self, Field};

/// The outcome of a call, as reported in the log line and the metrics.
pub(super) struct Outcome {
    /// Value of `outcome` in the log line and of the metrics' label of that name.
    pub(super) label: &'static str,
    status: u16,
    /// Number of shards whose results the response leaves out.
    missing: usize,
}

impl Gateway {
    /// Removes a call, writes its response to the caller and logs its outcome.
    pub(super) fn finish_call(&mut self, index: usize, end: End) {
        let state = self.calls.remove(index);
        self.count_crashes(&state);
        self.record_service_end(&state, &end);
        let caller = state.caller;
        let outcome = match end {
            End::Gathered {
                parts,
                missing,
                top_k,
            } => self.write_gathered(caller, &parts, missing, top_k),
            End::Forward(response) => self.write_forwarded(caller, &state, &response),
            End::Refuse {
                not_run,
                refusal,
                retry_after,
            } => {
                self.write_refusal(caller, not_run, retry_after);
                Outcome {
                    label: refusal.as_str(),
                    status: 503,
                    missing: 0,
                }
            }
            End::Fail => self.write_failure(caller, 502, "failed"),
            End::TimeOut => self.write_failure(caller, 504, "timed-out"),
        };
        self.log_answer(&state, &outcome);
        self.answered_callers.push(caller);
    }

    /// Writes the refusal of a request that has not run.
    pub(super) fn write_refusal(&mut self, caller: usize, _proof: NotRun, retry_after: Duration) {
        let why = "it has not run; come back after the time given";
        self.write_plain(caller, 503, why, Some(retry_after));
    }

    /// Writes the response to a request that failed and may have run.
    pub(super) fn write_failure(
        &mut self,
        caller: usize,
        status: u16,
        label: &'static str,
    ) -> Outcome {
        self.write_plain(caller, status, "no answer; it may have run", None);
        Outcome {
            label,
            status,
            missing: 0,
        }
    }

    /// Writes the `max_records` greatest records of all parts, which are the responses of the
    /// shards that answered. `missing` is the number of the other shards.
    fn write_gathered(
        &mut self,
        caller: usize,
        parts: &[Response],
        missing: usize,
        max_records: usize,
    ) -> Outcome {
        let body = top_k::merge(parts.iter().map(|part| part.body.as_slice()), max_records);
        let mut answer = Vec::with_capacity(256 + parts.len() * 40 + body.len());
        h1::write_status_line(&mut answer, 200);
        let signatures = parts.iter().map(|part| part.signature.as_str());
        headers::write_gathered_fields(&mut answer, signatures, missing);
        h1::write_number_field(&mut answer, "Content-Length", body.len() as u64);
        self.write_connection_fields(&mut answer, caller);
        h1::write_head_end(&mut answer);
        answer.extend_from_slice(&body);
        self.send_response(caller, answer);
        Outcome {
            label: "answered",
            status: 200,
            missing,
        }
    }

    /// Returns whether a response to a request may reach the caller by all routes that may be in force.
    /// The request was handled by those of `version`, by which it may run as often as `planned`.
    pub(super) fn may_forward(
        &self,
        forwarded: &ForwardedRequest,
        status: u16,
        author: Author,
        version: u64,
        planned: Repeat,
    ) -> bool {
        let host = h1::host(&forwarded.fields).unwrap_or_default();
        let path = h1::path(&forwarded.target);
        let repeat = self.routes.repeat_since(version, planned, host, path);
        may_reach_caller(status, author, repeat, false)
    }

    /// Writes the response of the one leaf that served the request, unless it would be a false promise.
    fn write_forwarded(
        &mut self,
        caller: usize,
        state: &CallState,
        response: &Response,
    ) -> Outcome {
        let (status, planned) = (response.status, state.call.plan().repeat);
        let forwarded = &state.forwarded;
        if !self.may_forward(forwarded, status, Author::Leaf, state.version, planned) {
            return self.write_failure(caller, 502, "failed");
        }
        let mut answer = Vec::with_capacity(512 + response.body.len());
        h1::write_status_line(&mut answer, response.status);
        let is_foreign = |field: &&Field| delegation::is_field_between_vms(field);
        for field in response.fields.iter().filter(|field| !is_foreign(field)) {
            h1::write_field(&mut answer, &field.name, &field.value);
        }
        let (method, status) = (&state.forwarded.method, response.status);
        self.write_body(caller, method, status, &response.body, answer);
        let is_success = (200..300).contains(&response.status);
        Outcome {
            label: if is_success {
                "answered"
            } else {
                "leaf-failed"
            },
            status: response.status,
            missing: 0,
        }
    }

    /// Completes a response that begins with the given bytes, and sends it.
    pub(super) fn write_body(
        &mut self,
        caller: usize,
        method: &str,
        status: u16,
        body: &[u8],
        mut response: Vec<u8>,
    ) {
        let has_body = method != "HEAD" && !matches!(status, 204 | 304);
        if has_body {
            h1::write_number_field(&mut response, "Content-Length", body.len() as u64);
        }
        self.write_connection_fields(&mut response, caller);
        h1::write_head_end(&mut response);
        response.extend_from_slice(body);
        self.send_response(caller, response);
    }

    fn log_answer(&mut self, state: &CallState, outcome: &Outcome) {
        let took = self.now.saturating_duration_since(state.started);
        let plan = state.call.plan();
        let in_time = self.now <= plan.answer_by + IN_TIME_TOLERANCE;
        self.metrics.count_answer(outcome.label);
        let unserved = matches!(
            outcome.label,
            "no-leaf" | "all-rejected" | "failed" | "timed-out"
        );
        // A refusal by the limits of leaves says nothing about whether the leaves are reachable.
        if outcome.label != Refusal::Limited.as_str() {
            self.record_served(state, !unserved && outcome.status < 500);
        }
        self.metrics.observe_answer_time(took);
        let (id, route, version) = (&state.forwarded.id, &state.route, state.version);
        let (label, status, missing) = (outcome.label, outcome.status, outcome.missing);
        let shards = plan.services.len();
        let (sends, ms) = (state.sends, took.as_millis());
        let lacking = missing_shards_field(state);
        let from = state.from.as_ref();
        let from = from.map_or(String::new(), |vm| format!(" from={vm}"));
        info!(
            "request id={id} route={route} version={version} outcome={label} status={status} \
             shards={shards} missing={missing} sends={sends} ms={ms} in_time={in_time}{from}{lacking}"
        );
    }
}

/// Returns the log field that names the shards missing from an answer, each with the number of
/// requests that were sent to the shard's leaves. Returns an empty string if no shard is missing.
fn missing_shards_field(state: &CallState) -> String {
    let summaries = state.call.shard_summaries();
    let lacking = summaries.iter().filter(|shard| !shard.is_included);
    let lacking: Vec<String> = lacking
        .take(MAX_NAMED_SHARDS)
        .map(|shard| format!("{}:{}", shard.service, shard.sends))
        .collect();
    match lacking.is_empty() {
        true => String::new(),
        false => format!(" lacking={}", lacking.join(",")),
    }
}

/// Maximum number of missing shards that a log line names.
const MAX_NAMED_SHARDS: usize = 6;

/// An answer still counts as in time if it is written this long after it was due.
const IN_TIME_TOLERANCE: Duration = Duration::from_millis(10);
