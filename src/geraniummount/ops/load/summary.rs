//! Summary of a run, in total and for each second.

use std::time::Duration;

use error_stack::Report;
use serde_json::{Value, json};

use super::Options;
use super::extra_load::ExtraLoad;
use super::sample::{Outcome, Sample};
use super::stats::Stats;
use crate::ops::exit::Exit;

/// Summary of a run.
#[derive(Clone, Debug)]
pub(super) struct Summary {
    total: Stats,
    /// Statistics for each second of the run, by the time at which the queries were due.
    pub(super) seconds: Vec<Stats>,
    /// Numbers of unanswered queries, sorted by reason.
    unanswered: Vec<ReasonCount>,
}

/// Number of queries that were not answered for one reason.
#[derive(Clone, Debug, serde::Serialize)]
struct ReasonCount {
    reason: String,
    count: u64,
}

impl Summary {
    /// Summarizes the samples of a run.
    pub(super) fn new(samples: &[Sample], duration: Duration) -> Result<Summary, Report<Exit>> {
        let last = samples
            .iter()
            .map(|sample| sample.due_offset.as_secs())
            .max();
        let seconds = last
            .unwrap_or_default()
            .max(duration.as_secs().saturating_sub(1));
        let mut summary = Summary {
            total: Stats::new()?,
            seconds: (0..=seconds)
                .map(|_| Stats::new())
                .collect::<Result<_, _>>()?,
            unanswered: Vec::new(),
        };
        for sample in samples {
            summary.add(sample);
        }
        Ok(summary)
    }

    fn add(&mut self, sample: &Sample) {
        self.total.add(sample);
        let second = usize::try_from(sample.due_offset.as_secs()).unwrap_or(usize::MAX);
        if let Some(second) = self.seconds.get_mut(second) {
            second.add(sample);
        }
        match &sample.outcome {
            Outcome::Answered(_) => {}
            Outcome::NotRun(reason) | Outcome::Failed(reason) => self.count_reason(reason),
        }
    }

    fn count_reason(&mut self, reason: &str) {
        let index = self
            .unanswered
            .binary_search_by(|other| other.reason.as_str().cmp(reason));
        match index {
            Ok(index) => self.unanswered[index].count += 1,
            Err(index) => self.unanswered.insert(
                index,
                ReasonCount {
                    reason: reason.to_owned(),
                    count: 1,
                },
            ),
        }
    }

    /// Returns the summary as JSON.
    pub(super) fn to_json(&self, options: &Options, extra_load: &ExtraLoad) -> Value {
        let total = &self.total;
        let mut result = json!({
            "service": options.service,
            "rate": options.rate,
            "sent": total.sent,
            "answered": total.answered,
            "whole": total.whole,
            "refused": total.refused,
            "failed": total.failed,
            "mean_coverage": total.mean_coverage(),
            "p50_ms": total.quantile_ms(0.5),
            "p99_ms": total.quantile_ms(0.99),
            "p99.9_ms": total.quantile_ms(0.999),
            "max_ms": total.max_ms(),
            "unanswered": self.unanswered,
        });
        if !options.operators.is_empty() {
            result["extra_percent"] = json!(extra_load.percent);
            result["metrics_unknown"] = json!(extra_load.unreachable);
        }
        if options.timeline {
            let entries = self.seconds.iter().enumerate().map(timeline_entry);
            result["timeline"] = entries.collect();
        }
        result
    }
}

fn timeline_entry((number, second): (usize, &Stats)) -> Value {
    json!({
        "second": number,
        "sent": second.sent,
        "whole": second.whole,
        "partial": second.answered - second.whole,
        "refused": second.refused,
        "failed": second.failed,
        "coverage": second.mean_coverage(),
        "p50_ms": second.quantile_ms(0.5),
        "p99_ms": second.quantile_ms(0.99),
    })
}
