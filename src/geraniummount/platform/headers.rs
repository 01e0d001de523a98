//! Header fields of the requests and responses between callers, gateways and leaves (the servers
//! that run the requests).
//!
//! A signature is the text in a leaf's response by which the leaf identifies itself and this
//! response. The gateway passes it on to the caller. A gathered response merges the responses of
//! many shards; a part is the share of a request that goes to one shard, or its response.

use std::io::Write;
use std::time::Duration;

use crate::core::call::{self, Reply};
use crate::core::cost::Load;
use crate::core::placement::{NamedLimit, Notice};
use crate::core::tenant::{Credential, KeyDigest};
use crate::prelude::*;
use crate::util::bounded;
use crate::util::h1::{self, Field, Head};

/// ID of one attempt at a caller's request. If the caller retries, the new attempt has another ID.
const REQUEST_ID: &str = "Request-Id";
/// Time in milliseconds that the sender of the request waits for the response.
const DEADLINE_MS: &str = "Deadline-Ms";
/// Signature that a leaf adds to each of its responses.
const SIGNATURE: &str = "Server-Stamp";
/// ID of the leaf instance that the request is meant for.
const EXPECTED_LEAF: &str = "Expect-Instance";
/// ID of the leaf instance that responds to a health request.
const LEAF_ID: &str = "Instance-Id";
/// Present if the leaf did not run the request.
const NOT_RUN: &str = "Request-Not-Run";
/// Present with the value 1 if the leaf is leaving.
const LEAVING: &str = "Server-Leaving";
/// Number of requests per second, with fractions, that a leaf short of capacity takes from all VMs
/// together, for as long as its responses state it.
const LIMIT: &str = "Server-Limit";
/// Load of a leaf: requests that run, requests that wait, slots and, optionally, how long work takes
/// in percent of the usual time, separated by commas.
const LOAD: &str = "Server-Load";
/// Time in milliseconds for which a leaf stays cold, in its response to a health request.
const WARM_UP_LEFT_MS: &str = "Warmup-Ms";
/// Delay in seconds, with fractions, after which a caller may retry. In a leaf's response with
/// [`UNAVAILABLE_STATUS`], the time for which the leaf wants no requests from this VM.
const RETRY_AFTER: &str = "Retry-After";
/// Signatures of the parts that a gathered response includes.
const PART_SIGNATURES: &str = "Part-Stamps";
/// Number of shards that are missing from a gathered response.
const MISSING_PARTS: &str = "Missing-Parts";

/// Who sends the request: [`KEY_SCHEME`] and the key of a tenant, separated by a space.
const AUTHORIZATION: &str = "Authorization";
/// First word of [`AUTHORIZATION`].
const KEY_SCHEME: &str = "Token";
/// Name of the tenant whose request it is. The gateway sets it whatever the caller sent.
const TENANT: &str = "Tenant";

/// Status of a leaf that rejects a request because it is full or leaving.
const UNAVAILABLE_STATUS: u16 = 503;

/// Status of a leaf that received a request meant for another leaf instance.
const MISDIRECTED_STATUS: u16 = 421;

/// Pace of a leaf that does not report it.
const USUAL_PACE_PERCENT: u32 = 100;

/// Fields of a caller's request that the gateway interprets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerFields {
    /// ID of the attempt; empty if the request has none.
    pub id: RequestId,
    /// How long the caller waits for the response, if the request states it.
    pub timeout: Option<Duration>,
    /// Who sends the request.
    pub credential: Credential,
}

/// Reads the fields of a caller's request that the gateway interprets.
pub fn read_caller_fields(fields: &[Field]) -> CallerFields {
    let timeout = h1::field_text(fields, DEADLINE_MS).and_then(bounded::parse_millis);
    CallerFields {
        id: h1::field_text(fields, REQUEST_ID)
            .unwrap_or_default()
            .to_string(),
        timeout,
        credential: read_credential(fields),
    }
}

/// Reads who sends the request. Several fields are malformed, as two processes may each read another
/// one of them.
fn read_credential(fields: &[Field]) -> Credential {
    let mut values = h1::field_values(fields, AUTHORIZATION);
    let Some(value) = values.next() else {
        return Credential::Absent;
    };
    if values.next().is_some() {
        return Credential::Malformed;
    }
    let scheme_end = value.iter().position(|byte| *byte == b' ');
    let (scheme, key) = value.split_at(scheme_end.unwrap_or(value.len()));
    let key = key.trim_ascii();
    let is_known = scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes());
    match is_known && !key.is_empty() {
        true => Credential::Key(KeyDigest::of(key)),
        false => Credential::Malformed,
    }
}

/// Removes the key and any tenant that the caller has named, and names the tenant whose request it
/// is, if there is one.
pub fn replace_credential(fields: &mut Vec<Field>, tenant: Option<&str>) {
    let replaced = [AUTHORIZATION, TENANT];
    fields.retain(|field| {
        !replaced
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name))
    });
    fields.extend(tenant.map(|name| Field {
        name: TENANT.to_string(),
        value: name.as_bytes().to_vec(),
    }));
}

/// Removes the hop-by-hop fields, which apply to a single connection, and those that the gateway
/// sets anew for each leaf.
pub fn strip_request_fields(fields: &mut Vec<Field>) {
    h1::strip_hop_by_hop(fields);
    let replaced = [DEADLINE_MS, EXPECTED_LEAF];
    fields.retain(|field| {
        !replaced
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name))
    });
}

/// Writes the fields that the gateway adds to a request to a leaf; `left` is the time that the
/// gateway waits for the response.
pub fn write_leaf_fields(out: &mut Vec<u8>, left: Duration, leaf: &str) {
    write_timeout(out, left);
    h1::write_field(out, EXPECTED_LEAF, leaf.as_bytes());
}

/// Writes how long the sender of a request waits for the response.
pub fn write_timeout(out: &mut Vec<u8>, left: Duration) {
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    h1::write_number_field(out, DEADLINE_MS, left.max(1));
}

/// Reads what a leaf says in the head of a response about further requests to it. The response may
/// belong to another request. A time that is malformed or not positive is ignored.
pub fn read_notice(head: &Head) -> Notice {
    let is_leaving = h1::field_text(&head.fields, LEAVING).is_some_and(|text| text.trim() == "1");
    let is_rejection = head.status == UNAVAILABLE_STATUS;
    let seconds = h1::field_text(&head.fields, RETRY_AFTER).filter(|_| is_rejection);
    Notice {
        is_leaving,
        hold: seconds.and_then(read_seconds),
        limit: read_limit(&head.fields),
    }
}

/// Reads the load that a leaf reports. One that is malformed, has no slots or has a
/// pace of zero is ignored.
pub fn read_load(head: &Head) -> Option<Load> {
    let text = h1::field_text(&head.fields, LOAD)?;
    let mut numbers = [0, 0, 0, USUAL_PACE_PERCENT];
    let parts: Vec<&str> = text.split(',').take(numbers.len() + 1).collect();
    if !(3..=numbers.len()).contains(&parts.len()) {
        return None;
    }
    for (number, part) in numbers.iter_mut().zip(parts) {
        *number = bounded::parse_count(part)?;
    }
    let [running, waiting, slots, pace_percent] = numbers;
    (slots > 0 && pace_percent > 0).then_some(Load {
        running,
        waiting,
        slots,
        pace_percent,
    })
}

/// Reads the ID of the leaf instance that has responded to a health request, if the response names
/// one.
pub fn read_leaf_id(head: &Head) -> Option<&str> {
    h1::field_text(&head.fields, LEAF_ID).map(str::trim)
}

/// Reads how long the leaf that has responded to a health request stays cold, if it says so.
pub fn read_warm_up_left(head: &Head) -> Option<Duration> {
    h1::field_text(&head.fields, WARM_UP_LEFT_MS).and_then(bounded::parse_millis)
}

/// Returns whether a response names the request that it belongs to.
pub fn names_request(head: &Head) -> bool {
    h1::field_values(&head.fields, REQUEST_ID).next().is_some()
}

/// Returns whether a leaf wrote a response.
pub fn is_from_leaf(fields: &[Field]) -> bool {
    h1::field_values(fields, SIGNATURE).next().is_some()
}

/// Returns whether a response names another request than the one with an id.
pub fn names_other_request(fields: &[Field], id: &str) -> bool {
    h1::field_text(fields, REQUEST_ID).is_some_and(|named| named.trim() != id)
}

/// Reads the limit that a leaf names. Only a finite number that is not negative is usable.
fn read_limit(fields: &[Field]) -> NamedLimit {
    if h1::field_values(fields, LIMIT).next().is_none() {
        return NamedLimit::Absent;
    }
    let text = h1::field_text(fields, LIMIT).unwrap_or_default();
    let limit = text.trim().parse().ok();
    let is_usable = |limit: &f64| limit.is_finite() && *limit >= 0.0;
    limit
        .filter(is_usable)
        .map_or(NamedLimit::Unreadable, NamedLimit::PerSecond)
}

/// Reads the delay after which a request may be repeated; `None` if it is absent or unusable.
pub fn read_retry_after(fields: &[Field]) -> Option<Duration> {
    h1::field_text(fields, RETRY_AFTER).and_then(read_seconds)
}

/// Parses a positive number of seconds, with fractions.
fn read_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let seconds = seconds.is_finite().then_some(seconds)?;
    bounded::fractional_seconds(seconds)
}

/// A leaf's response, by whether it belongs to the request.
#[derive(Debug)]
pub enum Answer {
    /// The response belongs to the request, or has no request ID.
    Matching(Reply),
    /// The response has the ID of another request.
    Mismatched,
}

/// Interprets a leaf's complete response to the request with the given ID.
///
/// A response without a signature or with a content encoding counts as lost, unless it states that
/// the request was not run or was meant for another leaf instance.
pub fn read_answer(mut response: h1::Response, id: &str) -> Answer {
    let head = &mut response.head;
    if names_other_request(&head.fields, id) {
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

/// Writes the fields that are specific to a gathered response.
pub fn write_gathered_fields<'a>(
    out: &mut Vec<u8>,
    signatures: impl IntoIterator<Item = &'a str>,
    missing: usize,
) {
    let signatures: Vec<&str> = signatures.into_iter().collect();
    h1::write_field(out, PART_SIGNATURES, signatures.join(", ").as_bytes());
    h1::write_number_field(out, MISSING_PARTS, missing as u64);
}

/// Writes the delay after which a caller may retry.
pub fn write_retry_after(out: &mut Vec<u8>, wait: Duration) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "{RETRY_AFTER}: {:.3}\r\n", wait.as_secs_f64());
}
