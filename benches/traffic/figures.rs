//! Figures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Figures of the queries that arrived after a loss.
pub struct AfterLoss {
    /// Times from a client's send to its answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Shards missing from answers, by the second after the loss in which the query arrived. The
    /// last entry covers all later queries.
    pub missing: [u64; 3],
}

impl AfterLoss {
    fn new() -> AfterLoss {
        AfterLoss {
            latency: Histogram::new(3).expect("three significant digits are valid"),
            missing: [0; 3],
        }
    }

    /// Adds an answered query that arrived `since` after the loss.
    pub fn count(&mut self, since: Duration, missing: u64, micros: u64) {
        let last = self.missing.len() - 1;
        self.missing[(since.as_secs() as usize).min(last)] += missing;
        self.latency
            .record(micros)
            .expect("the histogram resizes itself");
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Figures of one run, without its warm-up.
pub struct Figures {
    /// Times from a client's send to its answer, in microseconds.
    pub latency: Histogram<u64>,
    pub queries: u64,
    /// Answers with every shard.
    pub whole: u64,
    /// Answers with some shards.
    pub partial: u64,
    /// Failures with verdict not-run.
    pub refused: u64,
    /// Other failures.
    pub failed: u64,
    /// Unanswered queries whose VM was killed.
    pub lost: u64,
    /// Shards included in answers.
    pub shards_included: u64,
    /// Shards requested by all answered and failed queries.
    pub shards_asked: u64,
    /// Requests that reached leaves.
    pub leaf_requests: u64,
    /// Requests that were the first for their query and shard.
    pub leaf_needed: u64,
    /// Maximum time to refuse a query of which no part was sent.
    pub slowest_refusal: Duration,
    /// Figures of the queries after a loss.
    pub after_loss: AfterLoss,
    /// Answers and failures after the deadline.
    pub late: u64,
    /// Maximum number of connections at one leaf.
    pub connections: usize,
    /// Descriptions of violated promises.
    pub violations: Vec<String>,
    /// Duration of the measurement.
    pub measured: Duration,
}

impl Figures {
    /// Creates empty figures for a measurement of this duration.
    pub fn new(measured: Duration) -> Figures {
        Figures {
            latency: Histogram::new(3).expect("three significant digits are valid"),
            queries: 0,
            whole: 0,
            partial: 0,
            refused: 0,
            failed: 0,
            lost: 0,
            shards_included: 0,
            shards_asked: 0,
            leaf_requests: 0,
            leaf_needed: 0,
            slowest_refusal: Duration::ZERO,
            after_loss: AfterLoss::new(),
            late: 0,
            connections: 0,
            violations: Vec::new(),
            measured,
        }
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the answers with every shard per second.
    pub fn goodput(&self) -> f64 {
        self.whole as f64 / self.measured.as_secs_f64()
    }

    /// Returns the share of the requested shards that answers include, in percent.
    pub fn coverage(&self) -> f64 {
        100.0 * self.shards_included as f64 / self.shards_asked.max(1) as f64
    }

    /// Returns the requests to leaves beyond the needed ones, in percent of these.
    pub fn extra_percent(&self) -> f64 {
        100.0 * (self.leaf_requests as f64 / self.leaf_needed.max(1) as f64 - 1.0)
    }
}
