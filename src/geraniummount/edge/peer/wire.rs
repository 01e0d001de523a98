//! Converts the types in peer calls to and from Cap'n Proto.
//!
//! A part is the share of a request that goes to one shard, and an outcome is its reply or failure.
//! A report is the state of a leaf that the leaf's owner, the VM that holds its queue, adds to an
//! outcome. A holding states which snapshots (versions of the index) a leaf holds of one shard.

#![deny(clippy::disallowed_methods)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use capnp::Error;
use serde::Deserialize;
use serde::de::value::{Error as ValueError, StrDeserializer};

use crate::core::leaf::State;
use crate::peer_capnp::{self, holding, outcome, part, report};
use crate::prelude::*;
use crate::util::bounded;

/// Maximum time that may remain until the deadline of a part from a peer; a longer one is shortened
/// to it.
const MAX_REMAINING_TIME: Duration = bounded::seconds(3600);

/// Writes a part. `remaining` is the time until its deadline.
pub fn write_part(part: &Part, remaining: Duration, mut builder: part::Builder<'_>) {
    builder.set_attempt(part.attempt);
    builder.set_request(part.request.as_str());
    builder.set_service(part.service.as_str());
    builder.set_shard(part.shard.as_str());
    builder.set_leaf(part.leaf.as_str());
    builder.set_has_snapshot(part.snapshot.is_some());
    builder.set_snapshot(part.snapshot.unwrap_or_default());
    builder.set_remaining_us(remaining.as_micros() as u64);
    builder.set_idempotent(part.idempotent);
    builder.set_hops_left(part.hops_left);
    builder.set_takeover(part.takeover);
    builder.set_body(&part.body);
}

/// Reads a part. Its deadline is the remaining time added to `now`.
pub fn read_part(reader: part::Reader<'_>, now: Instant) -> Result<Part, Error> {
    let remaining = bounded::micros(reader.get_remaining_us());
    let snapshot = reader.get_snapshot();
    Ok(Part {
        attempt: reader.get_attempt(),
        request: reader.get_request()?.to_string()?,
        service: reader.get_service()?.to_string()?,
        shard: reader.get_shard()?.to_string()?,
        leaf: reader.get_leaf()?.to_string()?,
        snapshot: reader.get_has_snapshot().then_some(snapshot),
        deadline: now + remaining.min(MAX_REMAINING_TIME),
        idempotent: reader.get_idempotent(),
        hops_left: reader.get_hops_left(),
        takeover: reader.get_takeover(),
        body: Arc::from(reader.get_body()?),
    })
}

/// Writes an outcome.
pub fn write_outcome(outcome: &Outcome, mut builder: outcome::Builder<'_>) {
    builder.set_attempt(outcome.attempt);
    match &outcome.result {
        Ok(reply) => {
            let mut group = builder.reborrow().init_reply();
            group.set_snapshot(reply.snapshot);
            group.set_body(&reply.body);
        }
        Err(failure) => {
            let mut group = builder.reborrow().init_failure();
            group.set_verdict(to_wire(failure.verdict));
            group.set_reason(failure.reason.as_str());
            group.set_retry_after_ms(failure.retry_after.map_or(0, ceil_ms));
        }
    }
    builder.set_has_report(outcome.report.is_some());
    if let Some(report) = &outcome.report {
        write_report(report, builder.init_report());
    }
}

/// Reads an outcome.
pub fn read_outcome(reader: outcome::Reader<'_>) -> Result<Outcome, Error> {
    let result = match reader.which()? {
        outcome::Reply(reply) => Ok(Reply {
            snapshot: reply.get_snapshot(),
            body: reply.get_body()?.to_vec(),
        }),
        outcome::Failure(failure) => Err(Failure {
            verdict: from_wire(failure.get_verdict()?),
            reason: parse(failure.get_reason()?)?,
            retry_after: optional_duration(failure.get_retry_after_ms()),
        }),
    };
    let report = match reader.get_has_report() {
        true => Some(read_report(reader.get_report()?)?),
        false => None,
    };
    Ok(Outcome {
        attempt: reader.get_attempt(),
        result,
        report,
    })
}

/// Writes a holding.
pub fn write_holding(holding: &Holding, mut builder: holding::Builder<'_>) {
    builder.set_service(holding.service.as_str());
    builder.set_shard(holding.shard.as_str());
    builder.set_leaf(holding.leaf.as_str());
    let mut list = builder.init_snapshots(holding.snapshots.len() as u32);
    for (index, snapshot) in holding.snapshots.iter().enumerate() {
        list.set(index as u32, *snapshot);
    }
}

/// Reads a holding.
pub fn read_holding(reader: holding::Reader<'_>) -> Result<Holding, Error> {
    Ok(Holding {
        service: reader.get_service()?.to_string()?,
        shard: reader.get_shard()?.to_string()?,
        leaf: reader.get_leaf()?.to_string()?,
        snapshots: reader.get_snapshots()?.iter().collect(),
    })
}

fn write_report(report: &Report, mut builder: report::Builder<'_>) {
    builder.set_owner(report.owner.as_str());
    builder.set_state(state_name(report.state));
    let mut held = builder.reborrow().init_held(report.held.len() as u32);
    for (index, snapshot) in report.held.iter().enumerate() {
        held.set(index as u32, *snapshot);
    }
    builder.set_queued(report.queued);
    builder.set_busy(report.busy);
    builder.set_slots(report.slots);
    builder.set_waited_us(report.queue_time.as_micros() as u64);
    builder.set_served_us(report.service_time.as_micros() as u64);
    builder.set_median_us(report.median.as_micros() as u64);
    builder.set_high_us(report.p95.as_micros() as u64);
}

fn read_report(reader: report::Reader<'_>) -> Result<Report, Error> {
    Ok(Report {
        owner: reader.get_owner()?.to_string()?,
        state: parse(reader.get_state()?)?,
        held: reader.get_held()?.iter().collect(),
        queued: reader.get_queued(),
        busy: reader.get_busy(),
        slots: reader.get_slots(),
        queue_time: bounded::micros(reader.get_waited_us()),
        service_time: bounded::micros(reader.get_served_us()),
        median: bounded::micros(reader.get_median_us()),
        p95: bounded::micros(reader.get_high_us()),
    })
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Serving => "serving",
        State::Cold => "cold",
        State::Draining => "draining",
    }
}

/// Parses a unit variant from its serialized name.
fn parse<'a, T: Deserialize<'a>>(text: capnp::text::Reader<'a>) -> Result<T, Error> {
    let deserializer: StrDeserializer<'a, ValueError> = StrDeserializer::new(text.to_str()?);
    T::deserialize(deserializer).map_err(|error| Error::failed(error.to_string()))
}

fn to_wire(verdict: Verdict) -> peer_capnp::Verdict {
    match verdict {
        Verdict::NotRun => peer_capnp::Verdict::NotRun,
        Verdict::MayHaveRun => peer_capnp::Verdict::MayHaveRun,
        Verdict::Ran => peer_capnp::Verdict::Ran,
    }
}

fn from_wire(verdict: peer_capnp::Verdict) -> Verdict {
    match verdict {
        peer_capnp::Verdict::NotRun => Verdict::NotRun,
        peer_capnp::Verdict::MayHaveRun => Verdict::MayHaveRun,
        peer_capnp::Verdict::Ran => Verdict::Ran,
    }
}

/// Returns the wait before a retry in milliseconds, rounded up and at least 1, because 0 on the
/// wire means that a retry does not help.
fn ceil_ms(wait: Duration) -> u32 {
    let ms = wait.as_micros().div_ceil(1000).max(1);
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Returns the wait before a retry that was read from the wire, or `None` for 0.
fn optional_duration(ms: u32) -> Option<Duration> {
    (ms > 0).then(|| bounded::millis(u64::from(ms)))
}
