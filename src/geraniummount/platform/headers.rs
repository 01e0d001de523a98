//! Fields of requests and responses that callers, gateways and leaves share.

use std::io::Write;
use std::time::Duration;

use crate::core::call::{self, Reply};
use crate::prelude::*;
use crate::util::h1::{self, Field};

/// Id of a caller's attempt.
const REQUEST_ID: &str = "Request-Id";
/// Milliseconds that the sender waits for an answer.
const DEADLINE_MS: &str = "Deadline-Ms";
/// Signature that a leaf puts on each answer.
const SIGNATURE: &str = "Server-Stamp";
/// Name of the leaf that shall run the request.
const EXPECTED_LEAF: &str = "Expect-Instance";
/// Set where the leaf did not run the request.
const NOT_RUN: &str = "Request-Not-Run";
/// Seconds, with fractions, after which a caller may come back.
const RETRY_AFTER: &str = "Retry-After";
/// Signatures of the parts that an answer includes.
const PART_SIGNATURES: &str = "Part-Stamps";
/// Number of the shards that an answer leaves out.
const MISSING_PARTS: &str = "Missing-Parts";

/// Status with which a leaf says that it is not the wanted one.
const MISDIRECTED_STATUS: u16 = 421;

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerFields {
    /// Id of the attempt.
    pub id: RequestId,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
}

/// Reads what a caller's request says of itself.
pub fn read_caller_fields(fields: &[Field]) -> CallerFields {
    let timeout = h1::field_text(fields, DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    CallerFields {
        id: h1::field_text(fields, REQUEST_ID)
            .unwrap_or_default()
            .to_string(),
        timeout: timeout.map(Duration::from_millis),
    }
}

/// Removes the fields that the gateway sets for each leaf anew.
pub fn strip_request_fields(fields: &mut Vec<Field>) {
    h1::strip_hop_by_hop(fields);
    let replaced = [DEADLINE_MS, EXPECTED_LEAF];
    fields.retain(|field| {
        !replaced
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name))
    });
}

/// Adds the fields that a leaf gets from the gateway.
pub fn write_leaf_fields(out: &mut Vec<u8>, left: Duration, leaf: &str) {
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    h1::write_number_field(out, DEADLINE_MS, left.max(1));
    h1::write_field(out, EXPECTED_LEAF, leaf.as_bytes());
}

/// What a leaf's response turned out to be.
#[derive(Debug)]
pub enum Answer {
    /// The answer to the request.
    Matching(Reply),
    /// An answer to another request.
    Mismatched,
}

/// Reads a leaf's whole response to the request with the given id.
pub fn read_answer(mut response: h1::Response, id: &str) -> Answer {
    let head = &mut response.head;
    let response_id = h1::field_text(&head.fields, REQUEST_ID);
    if response_id.is_some_and(|response_id| response_id.trim() != id) {
        return Answer::Mismatched;
    }
    if h1::field_values(&head.fields, NOT_RUN).next().is_some() {
        let is_misdirected = head.status == MISDIRECTED_STATUS;
        return Answer::Matching(if is_misdirected {
            Reply::Misdirected
        } else {
            Reply::Rejected
        });
    }
    if head.status == MISDIRECTED_STATUS {
        return Answer::Matching(Reply::Misdirected);
    }
    let is_encoded = h1::field_values(&head.fields, "content-encoding")
        .next()
        .is_some();
    let signature = h1::field_text(&head.fields, SIGNATURE).map(str::to_string);
    let (false, Some(signature)) = (is_encoded, signature) else {
        return Answer::Matching(Reply::Lost);
    };
    let is_success = (200..300).contains(&head.status);
    h1::strip_hop_by_hop(&mut head.fields);
    let answer = call::Response {
        status: head.status,
        signature,
        fields: std::mem::take(&mut head.fields),
        body: response.content,
    };
    Answer::Matching(match is_success {
        true => Reply::Success(answer),
        false => Reply::Failure(answer),
    })
}

/// Adds the fields of an answer from many shards.
pub fn write_gathered_fields<'a>(
    out: &mut Vec<u8>,
    signatures: impl IntoIterator<Item = &'a str>,
    missing: usize,
) {
    let signatures: Vec<&str> = signatures.into_iter().collect();
    h1::write_field(out, PART_SIGNATURES, signatures.join(", ").as_bytes());
    h1::write_number_field(out, MISSING_PARTS, missing as u64);
}

/// Adds the time after which a caller may come back.
pub fn write_retry_after(out: &mut Vec<u8>, wait: Duration) {
    // Writing to memory can't fail.
    let _ = write!(out, "{RETRY_AFTER}: {:.3}\r\n", wait.as_secs_f64());
}
