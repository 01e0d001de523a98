//! Builds the HTTP responses that callers receive.
//!
//! An answer tells at which snapshot (version of the index) and at which revision of the
//! configuration (position in the log of all changes) the request ran, and from which shards it
//! includes results (its coverage).

use std::time::Duration;

use serde_json::{Value, json};

use crate::core::answer::{Answer, ShardTrace};
use crate::edge::http::{Fault, Response};
use crate::prelude::*;

/// Builds the response for an answer. JSON bodies from leaves are copied unchanged. `explain` holds
/// a trace of each shard if the caller asked for them.
pub(super) fn answer(answer: &Answer, explain: Option<&[ShardTrace]>) -> Response {
    let mut body = b"{\"request_id\":".to_vec();
    push_value(&mut body, &json!(answer.request));
    body.extend_from_slice(b",\"snapshot\":");
    push_value(&mut body, &json!(answer.snapshot));
    body.extend_from_slice(b",\"revision\":");
    push_value(&mut body, &json!(answer.revision));
    body.extend_from_slice(b",\"coverage\":");
    push_value(&mut body, &json!(answer.coverage));
    body.extend_from_slice(b",\"results\":[");
    for (index, result) in answer.results.iter().enumerate() {
        if index > 0 {
            body.push(b',');
        }
        body.extend_from_slice(b"{\"shard\":");
        push_value(&mut body, &json!(result.shard));
        body.extend_from_slice(b",\"body\":");
        push_body(&mut body, &result.body);
        body.push(b'}');
    }
    body.push(b']');
    if let Some(traces) = explain {
        body.extend_from_slice(b",\"explain\":");
        push_value(&mut body, &Value::Array(traces.iter().map(trace).collect()));
    }
    body.push(b'}');
    Response {
        status: 200,
        headers: Vec::new(),
        body,
    }
}

/// Builds the response for a failed request. The verdict, which tells whether the request was not
/// run, may have run or ran, is also sent in the `Verdict` header.
pub(super) fn failure(request: &str, failure: &Failure) -> Response {
    let body = json!({
        "request_id": request,
        "verdict": failure.verdict.as_str(),
        "reason": failure.reason.as_str(),
        "retry_after_ms": failure.retry_after.map(millis),
    });
    error_response(status(failure), body, failure.verdict, failure.retry_after)
}

/// Builds the response for an invalid request, which was not run.
pub(super) fn fault(request: &str, fault: &Fault) -> Response {
    let body = json!({
        "request_id": request,
        "verdict": Verdict::NotRun.as_str(),
        "reason": fault.reason,
        "retry_after_ms": null,
    });
    error_response(fault.status, body, Verdict::NotRun, None)
}

fn error_response(
    status: u16,
    body: Value,
    verdict: Verdict,
    retry_after: Option<Duration>,
) -> Response {
    let mut headers = vec![("Verdict".into(), verdict.as_str().to_owned())];
    if let Some(retry_after) = retry_after {
        headers.push((
            "Retry-After".into(),
            millis(retry_after).div_ceil(1000).to_string(),
        ));
    }
    Response {
        status,
        headers,
        body: body.to_string().into_bytes(),
    }
}

fn status(failure: &Failure) -> u16 {
    match (failure.verdict, failure.reason) {
        // Another request already has this idempotency key.
        (_, Reason::DuplicateKey) => 409,
        (_, Reason::Deadline) => 504,
        (Verdict::NotRun, _) => 503,
        (Verdict::MayHaveRun | Verdict::Ran, _) => 502,
    }
}

/// Returns what was done for one shard. The owner is the VM that holds the queue of the leaf, an
/// attempt is one try to run the request at a leaf, and a hedge is an attempt that was added
/// because an earlier one was late.
fn trace(trace: &ShardTrace) -> Value {
    json!({
        "shard": trace.shard,
        "leaf": trace.leaf,
        "owner": trace.owner,
        "attempts": trace.attempts,
        "hedges": trace.hedges,
        "took_ms": trace.took.map(|took| took.as_secs_f64() * 1e3),
    })
}

fn push_value(body: &mut Vec<u8>, value: &Value) {
    body.extend_from_slice(value.to_string().as_bytes());
}

/// Appends a leaf's body unchanged if it is JSON, and as a JSON string otherwise.
fn push_body(body: &mut Vec<u8>, leaf_body: &[u8]) {
    let parsed: Result<serde::de::IgnoredAny, _> = serde_json::from_slice(leaf_body);
    match parsed {
        Ok(_) => body.extend_from_slice(leaf_body),
        Err(_) => push_value(body, &json!(String::from_utf8_lossy(leaf_body))),
    }
}

/// Returns the duration in whole milliseconds, but at least 1.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .max(1)
}
