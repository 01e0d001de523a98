//! Measures the extra load that hedges and retries put on leaves, from the VMs' metrics.
//!
//! An attempt is one try to run a part of a query (its share for one shard) at a leaf. A hedge is a
//! second attempt at a late part, at another replica; a retry is another attempt after a failed
//! one.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;

use crate::edge::client::{Client, Error, Request, Response};
use crate::ops::exit::Exit;

/// Timeout of a request for the metrics of a VM.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Name of the metric that counts the parts sent to leaves, by service and kind.
const PARTS_METRIC: &str = "geraniummount_parts_total";

/// Counters of the VMs before a run.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    service: String,
    /// Operators' listeners of the VMs, each with the VM's counters.
    before: Vec<(SocketAddr, PartCounts)>,
}

/// Extra load that a run put on leaves.
#[derive(Clone, Debug, Default)]
pub(super) struct ExtraLoad {
    /// Hedges and retries in percent of the first attempts; `None` if no first
    /// attempt was counted.
    pub(super) percent: Option<f64>,
    /// Operators' listeners that did not answer after the run; `percent` leaves out their VMs.
    pub(super) unreachable: Vec<SocketAddr>,
}

/// Numbers of attempts for a service that a VM has sent to leaves.
#[derive(Clone, Copy, Debug, Default)]
struct PartCounts {
    /// First attempts.
    first: f64,
    /// Hedges and retries.
    extra: f64,
}

impl Baseline {
    /// Reads the counters from the given operators' listeners.
    ///
    /// # Errors
    ///
    /// Fails if the metrics of one VM can't be read.
    pub(super) fn read(operators: &[SocketAddr], service: &str) -> Result<Baseline, Report<Exit>> {
        let read_one =
            |operator: &SocketAddr| Ok((*operator, PartCounts::read(*operator, service)?));
        Ok(Baseline {
            service: service.to_owned(),
            before: operators
                .iter()
                .map(read_one)
                .collect::<Result<_, Report<Exit>>>()?,
        })
    }

    /// Reads the counters again and returns the extra load since the baseline. A VM whose metrics
    /// can't be read any more is left out.
    pub(super) fn finish(&self) -> ExtraLoad {
        let mut load = ExtraLoad::default();
        let mut sent = PartCounts::default();
        for (operator, before) in &self.before {
            match PartCounts::read(*operator, &self.service) {
                Ok(after) => {
                    sent.first += after.first - before.first;
                    sent.extra += after.extra - before.extra;
                }
                Err(_) => load.unreachable.push(*operator),
            }
        }
        load.percent = (sent.first > 0.0).then(|| sent.extra / sent.first * 100.0);
        load
    }
}

impl PartCounts {
    fn read(operator: SocketAddr, service: &str) -> Result<PartCounts, Report<Exit>> {
        let text = fetch_metrics(operator)?;
        Ok(PartCounts {
            first: sum_parts(&text, service, &["first"]),
            extra: sum_parts(&text, service, &["hedge", "retry"]),
        })
    }
}

fn fetch_metrics(operator: SocketAddr) -> Result<String, Report<Exit>> {
    let request = Request {
        method: "GET",
        path: "/metrics",
        headers: Vec::new(),
        body: Vec::new(),
    };
    let answer = Client::new(operator, METRICS_TIMEOUT).send(&request);
    match answer {
        Ok(Response { status: 200, text }) => Ok(text),
        Ok(Response { status, .. }) => Err(metrics_error(operator, &format!("status {status}"))),
        Err(Error::NotSent(cause) | Error::MaybeSent(cause)) => {
            Err(metrics_error(operator, &cause))
        }
    }
}

fn metrics_error(operator: SocketAddr, cause: &str) -> Report<Exit> {
    Report::new(Exit::Unreachable)
        .attach(format!("metrics of {operator}: {cause}"))
        .attach("do: pass the operators' listeners of live VMs with --operator, or omit it")
}

/// Sums the values of [`PARTS_METRIC`] for the service and the given kinds.
fn sum_parts(text: &str, service: &str, kinds: &[&str]) -> f64 {
    let service = format!("service=\"{service}\"");
    let is_kind = |line: &str| {
        kinds
            .iter()
            .any(|kind| line.contains(&format!("kind=\"{kind}\"")))
    };
    let lines = text
        .lines()
        .filter(|line| line.starts_with(PARTS_METRIC) && line.contains(&service) && is_kind(line));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}
