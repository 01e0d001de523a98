//! What one run showed.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Figures of the queries that came after a loss.
pub struct AfterLoss {
    pub latency: Histogram<u64>,
    /// Shards missing from answers, by the second after the loss in which the
    /// query came; the last counts all later ones.
    pub missing: [u64; 3],
}

impl AfterLoss {
    fn new() -> AfterLoss {
        AfterLoss {
            latency: Histogram::new(3).expect("three digits are allowed"),
            missing: [0; 3],
        }
    }

    pub fn count(&mut self, since: Duration, missing: u64, micros: u64) {
        let last = self.missing.len() - 1;
        self.missing[(since.as_secs() as usize).min(last)] += missing;
        self.latency.record(micros).expect("it resizes itself");
    }

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
    /// Queries whose VM was killed.
    pub lost: u64,
    /// Shards included in answers, and asked for.
    pub shards_included: u64,
    pub shards_asked: u64,
    /// Requests that reached leaves, and those among them that were needed.
    pub leaf_requests: u64,
    pub leaf_needed: u64,
    /// Longest time to refuse a query of which nothing was sent to a leaf.
    pub slowest_refusal: Duration,
    /// What queries after a loss showed.
    pub after_loss: AfterLoss,
    /// Answers after the deadline.
    pub late: u64,
    /// Most connections at one leaf.
    pub connections: usize,
    /// Broken promises, named.
    pub violations: Vec<String>,
    pub measured: Duration,
}

impl Figures {
    pub fn new(measured: Duration) -> Figures {
        Figures {
            latency: Histogram::new(3).expect("three digits are allowed"),
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

    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Whole answers a second.
    pub fn goodput(&self) -> f64 {
        self.whole as f64 / self.measured.as_secs_f64()
    }

    /// Share of the shards asked for that answers include, in percent.
    pub fn coverage(&self) -> f64 {
        100.0 * self.shards_included as f64 / self.shards_asked.max(1) as f64
    }

    /// Requests to leaves above the needed ones, in percent.
    pub fn extra_percent(&self) -> f64 {
        100.0 * (self.leaf_requests as f64 / self.leaf_needed.max(1) as f64 - 1.0)
    }
}
