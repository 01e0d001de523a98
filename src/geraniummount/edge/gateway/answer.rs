//! The end of a request: what the caller gets, and the line in the log.

use std::time::Duration;

use log::info;

use super::Gateway;
use super::calls::CallState;
use crate::core::call::{End, Response};
use crate::core::top_k;
use crate::platform::headers;
use crate::util::h1;

/// What the log and the counters say of an answer.
struct Outcome {
    word: &'static str,
    status: u16,
    missing: usize,
}

impl Gateway {
    /// Writes the answer of a request and forgets it.
    pub(super) fn answer(&mut self, index: usize, end: End) {
        let state = self.calls.remove(index);
        let caller = state.caller;
        let outcome = match end {
            End::Gathered {
                parts,
                missing,
                top_k,
            } => self.write_gathered(caller, &parts, missing, top_k),
            End::Forward(response) => self.write_forwarded(caller, &state, &response),
            End::Refuse {
                refusal,
                retry_after,
            } => {
                let why = "it has not run; come back after the time given";
                self.write_plain(caller, 503, why, Some(retry_after));
                Outcome {
                    word: refusal.as_str(),
                    status: 503,
                    missing: 0,
                }
            }
            End::Fail => self.write_failure(caller, 502, "failed"),
            End::TimeOut => self.write_failure(caller, 504, "timed-out"),
        };
        self.log_answer(&state, &outcome);
        self.answered.push(caller);
    }

    fn write_failure(&mut self, caller: usize, status: u16, word: &'static str) -> Outcome {
        self.write_plain(caller, status, "no answer; it may have run", None);
        Outcome {
            word,
            status,
            missing: 0,
        }
    }

    fn write_gathered(
        &mut self,
        caller: usize,
        parts: &[Response],
        missing: usize,
        most: usize,
    ) -> Outcome {
        let body = top_k::merge(parts.iter().map(|part| part.body.as_slice()), most);
        let mut answer = Vec::with_capacity(256 + parts.len() * 40 + body.len());
        h1::status_line(&mut answer, 200);
        let signatures = parts.iter().map(|part| part.signature.as_str());
        headers::write_gathered(&mut answer, signatures, missing);
        h1::number_field(&mut answer, "Content-Length", body.len() as u64);
        if self.is_last(caller) {
            h1::field(&mut answer, "Connection", b"close");
        }
        h1::end_head(&mut answer);
        answer.extend_from_slice(&body);
        self.respond(caller, &answer);
        Outcome {
            word: "answered",
            status: 200,
            missing,
        }
    }

    fn write_forwarded(
        &mut self,
        caller: usize,
        state: &CallState,
        response: &Response,
    ) -> Outcome {
        let mut answer = Vec::with_capacity(512 + response.body.len());
        h1::status_line(&mut answer, response.status);
        for field in &response.fields {
            h1::field(&mut answer, &field.name, &field.value);
        }
        let has_body = state.forward.method != "HEAD" && !matches!(response.status, 204 | 304);
        if has_body {
            h1::number_field(&mut answer, "Content-Length", response.body.len() as u64);
        }
        if self.is_last(caller) {
            h1::field(&mut answer, "Connection", b"close");
        }
        h1::end_head(&mut answer);
        answer.extend_from_slice(&response.body);
        self.respond(caller, &answer);
        let is_success = (200..300).contains(&response.status);
        Outcome {
            word: if is_success {
                "answered"
            } else {
                "leaf-failed"
            },
            status: response.status,
            missing: 0,
        }
    }

    fn log_answer(&mut self, state: &CallState, outcome: &Outcome) {
        let took = self.now.saturating_duration_since(state.started);
        let plan = state.call.plan();
        let in_time = self.now <= plan.answer_by + LATE_SLACK;
        self.counts.count_answer(outcome.word);
        let unserved = matches!(
            outcome.word,
            "no-leaf" | "all-rejected" | "failed" | "timed-out"
        );
        self.note_served(state, !unserved && outcome.status < 500);
        self.counts.record_answer(took);
        let (id, route, version) = (&state.forward.id, &state.route, state.version);
        let (word, status, missing) = (outcome.word, outcome.status, outcome.missing);
        let shards = plan.services.len();
        let (sends, ms) = (state.sends, took.as_millis());
        let lacking = lacking(state);
        info!(
            "request id={id} route={route} version={version} outcome={word} status={status} \
             shards={shards} missing={missing} sends={sends} ms={ms} in_time={in_time}{lacking}"
        );
    }
}

/// Names the shards that an answer lacks, each with the attempts made for it.
fn lacking(state: &CallState) -> String {
    let stories = state.call.shard_summaries();
    let lacking = stories.iter().filter(|story| !story.is_included);
    let lacking: Vec<String> = lacking
        .take(MOST_NAMED)
        .map(|story| format!("{}:{}", story.service, story.sends))
        .collect();
    match lacking.is_empty() {
        true => String::new(),
        false => format!(" lacking={}", lacking.join(",")),
    }
}

/// Shards that a line names at most.
const MOST_NAMED: usize = 6;

/// An answer counts as in time until so long after it was due.
const LATE_SLACK: Duration = Duration::from_millis(10);
