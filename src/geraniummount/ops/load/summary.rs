//! A run summed up, as a whole and second by second.

use std::time::Duration;

use error_stack::Report;
use serde_json::{Value, json};

use super::Options;
use super::extra::Load;
use super::sample::{Ending, Sample};
use super::second::Second;
use crate::ops::exit::Exit;

/// How a run went.
#[derive(Clone, Debug)]
pub(super) struct Summary {
    total: Second,
    /// The queries by the second in which they were due.
    pub(super) seconds: Vec<Second>,
    unanswered: Vec<Unanswered>,
}

/// How often queries were not answered for one reason.
#[derive(Clone, Debug, serde::Serialize)]
struct Unanswered {
    reason: String,
    count: u64,
}

impl Summary {
    /// Sums up the samples of a run.
    pub(super) fn new(samples: &[Sample], length: Duration) -> Result<Summary, Report<Exit>> {
        let last = samples.iter().map(|sample| sample.due.as_secs()).max();
        let seconds = last
            .unwrap_or_default()
            .max(length.as_secs().saturating_sub(1));
        let mut summary = Summary {
            total: Second::new()?,
            seconds: (0..=seconds)
                .map(|_| Second::new())
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
        let second = usize::try_from(sample.due.as_secs()).unwrap_or(usize::MAX);
        if let Some(second) = self.seconds.get_mut(second) {
            second.add(sample);
        }
        match &sample.ending {
            Ending::Answered(_) => {}
            Ending::NotRun(reason) | Ending::Failed(reason) => self.count(reason),
        }
    }

    fn count(&mut self, reason: &str) {
        let place = self
            .unanswered
            .binary_search_by(|other| other.reason.as_str().cmp(reason));
        match place {
            Ok(place) => self.unanswered[place].count += 1,
            Err(place) => self.unanswered.insert(
                place,
                Unanswered {
                    reason: reason.to_owned(),
                    count: 1,
                },
            ),
        }
    }

    /// Writes the run as one value.
    pub(super) fn result(&self, options: &Options, extra: &Load) -> Value {
        let total = &self.total;
        let mut result = json!({
            "service": options.service,
            "rate": options.rate,
            "sent": total.sent,
            "answered": total.answered,
            "whole": total.whole,
            "refused": total.refused,
            "failed": total.failed,
            "mean_coverage": total.coverage(),
            "p50_ms": total.millis(0.5),
            "p99_ms": total.millis(0.99),
            "p99.9_ms": total.millis(0.999),
            "max_ms": total.max_millis(),
            "unanswered": self.unanswered,
        });
        if !options.operators.is_empty() {
            result["extra_percent"] = json!(extra.percent);
            result["metrics_unknown"] = json!(extra.unknown);
        }
        if options.timeline {
            let lines = self.seconds.iter().enumerate().map(line);
            result["timeline"] = lines.collect();
        }
        result
    }
}

fn line((number, second): (usize, &Second)) -> Value {
    json!({
        "second": number,
        "sent": second.sent,
        "whole": second.whole,
        "partial": second.answered - second.whole,
        "refused": second.refused,
        "failed": second.failed,
        "coverage": second.coverage(),
        "p50_ms": second.millis(0.5),
        "p99_ms": second.millis(0.99),
    })
}
