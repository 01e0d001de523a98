//! Latency and outcome of one query.

use std::time::Duration;

use serde_json::Value;

/// One query of a run.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// Time from the start of the run to the time at which the query was due.
    pub(super) due_offset: Duration,
    /// Time from when the query was due until its outcome was known.
    pub(super) latency: Duration,
    /// Outcome of the query.
    pub(super) outcome: Outcome,
}

/// Outcome of a query as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    /// Answered, with the share of shards included, from 0 to 1.
    Answered(f64),
    /// Rejected without running, or not sent, with the reason.
    NotRun(String),
    /// Failed or not answered, with the reason.
    Failed(String),
}

/// Returns the share of shards that an answer includes, from 0 to 1.
pub(super) fn covered_share(coverage: &Value) -> f64 {
    let included = coverage["included"].as_array().map_or(0, Vec::len);
    let missing = coverage["missing"].as_array().map_or(0, Vec::len);
    included as f64 / (included + missing).max(1) as f64
}
