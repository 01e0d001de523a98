//! How one query ended.

use std::time::Duration;

use serde_json::Value;

/// One query of a run.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// When it was due, from the start of the run.
    pub(super) due_offset: Duration,
    /// Time from then to its end.
    pub(super) latency: Duration,
    /// Its end.
    pub(super) outcome: Outcome,
}

/// End of a query as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    /// Answered with a share of its shards.
    Answered(f64),
    /// Refused without having run, with the reason.
    NotRun(String),
    /// Failed, with the reason, or no answer came.
    Failed(String),
}

/// Share of the shards that an answer includes.
pub(super) fn covered_share(coverage: &Value) -> f64 {
    let included = coverage["included"].as_array().map_or(0, Vec::len);
    let missing = coverage["missing"].as_array().map_or(0, Vec::len);
    included as f64 / (included + missing).max(1) as f64
}
