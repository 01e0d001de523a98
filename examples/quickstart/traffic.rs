//! Sends queries and orders as callers do, and prints their outcomes.

use std::error::Error;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use geraniummount_test_support::client::{Client, Reply};
use hdrhistogram::Histogram;
use serde_json::json;

use crate::fleet::Fleet;

/// Number of queries for the latency summary.
const QUERY_COUNT: u32 = 400;

/// Interval between two queries of the latency summary. Each query is sent when it is due, even if
/// earlier ones are still in flight.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// Sends one query and prints the snapshot, coverage and latency of its answer.
pub fn query(caller: Client, service: &str) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let reply = caller.query(service, &[], &json!({"text": "rope"}))?;
    let elapsed = start.elapsed();
    if !reply.is_success() {
        return Err(format!("{service}: status {}: {}", reply.status, reply.text).into());
    }
    println!(
        "  query {service:16} snapshot {}, coverage {}, {:.1} ms",
        reply.body["snapshot"],
        coverage(&reply),
        elapsed.as_secs_f64() * 1e3,
    );
    Ok(())
}

/// Sends one order, then sends it again with the same key through another VM.
///
/// Returns an error if the second one succeeds, because the order then ran twice.
pub fn order(first: Client, second: Client, service: &str) -> Result<(), Box<dyn Error>> {
    let key = format!("{service}-order-1");
    let headers = [
        ("Idempotent", "false"),
        ("Idempotency-Key", key.as_str()),
        ("Shard", "1"),
    ];
    let body = json!({"item": "harness", "count": 1});
    let reply = first.query(service, &headers, &body)?;
    if !reply.is_success() {
        return Err(format!("{service}: status {}: {}", reply.status, reply.text).into());
    }
    println!(
        "  order {service:16} snapshot {}, coverage {}, non-idempotent",
        reply.body["snapshot"],
        coverage(&reply),
    );
    let repeated = second.query(service, &headers, &body)?;
    if repeated.is_success() {
        return Err(format!("{service}: the order ran twice: {}", repeated.text).into());
    }
    println!(
        "  order {service:16} again with the same key through another VM: refused, {}, {}",
        repeated.body["reason"].as_str().unwrap_or("no reason"),
        repeated.body["verdict"].as_str().unwrap_or("no verdict"),
    );
    Ok(())
}

/// Sends queries at a steady rate through all VMs and prints their latency.
pub fn latency(fleet: &Fleet, service: &'static str) -> Result<(), Box<dyn Error>> {
    let (sender, receiver) = mpsc::channel();
    let start = Instant::now();
    for number in 0..QUERY_COUNT {
        let due = start + QUERY_INTERVAL * number;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let caller = fleet.caller(number as usize);
        let sender = sender.clone();
        std::thread::spawn(move || {
            let reply = caller.query(service, &[], &json!({"text": "rope"}));
            let outcome = reply.map_or_else(|error| error.to_string(), |reply| outcome(&reply));
            // Sending fails only if the receiver was dropped after an error in the summary.
            let _ = sender.send((due.elapsed(), outcome));
        });
    }
    drop(sender);
    let mut histogram = Histogram::<u64>::new(3)?;
    let mut outcomes: Vec<(String, u32)> = Vec::new();
    for (elapsed, outcome) in receiver {
        histogram.record(u64::try_from(elapsed.as_micros())?)?;
        match outcomes.binary_search_by(|(other, _)| other.cmp(&outcome)) {
            Ok(index) => outcomes[index].1 += 1,
            Err(index) => outcomes.insert(index, (outcome, 1)),
        }
    }
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "  {QUERY_COUNT} queries of {service} at {:.0} a second: p50 {:.1} ms, p99 {:.1} ms, \
         p99.9 {:.1} ms",
        1.0 / QUERY_INTERVAL.as_secs_f64(),
        millis(0.5),
        millis(0.99),
        millis(0.999),
    );
    for (outcome, count) in outcomes {
        println!("    {count:4} {outcome}");
    }
    Ok(())
}

/// Describes the outcome of a query, with the reasons of the missing shards.
fn outcome(reply: &Reply) -> String {
    if !reply.is_success() {
        return format!("refused: {}", reply.body["reason"]);
    }
    let missing = reply.body["coverage"]["missing"].as_array();
    let reasons = missing.into_iter().flatten();
    let mut reasons: Vec<&str> = reasons.filter_map(|m| m["reason"].as_str()).collect();
    if reasons.is_empty() {
        return "whole".to_string();
    }
    reasons.sort_unstable();
    reasons.dedup();
    format!("partial: {}", reasons.join(", "))
}

fn coverage(reply: &Reply) -> String {
    let coverage = &reply.body["coverage"];
    let included = coverage["included"].as_array().map_or(0, Vec::len);
    let missing = coverage["missing"].as_array().map_or(0, Vec::len);
    match missing {
        0 => format!("{included} of {included} shards"),
        _ => format!(
            "{included} of {} shards, missing {}",
            included + missing,
            coverage["missing"]
        ),
    }
}
