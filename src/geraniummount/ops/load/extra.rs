//! The extra load on leaves, read from the VMs' metrics.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;

use crate::edge::client::{Client, Error, Request, Response};
use crate::ops::exit::Exit;

/// Time for a VM to send its metrics.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Metric that counts the parts sent to leaves, by service and kind.
const PARTS: &str = "geraniummount_parts_total";

/// Counters of the named VMs before a run.
#[derive(Clone, Debug)]
pub(super) struct Extra {
    service: String,
    before: Vec<(SocketAddr, Parts)>,
}

/// Extra load of a run.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    /// Hedges and retries in percent of the first parts; `None` where no first
    /// part was counted.
    pub(super) percent: Option<f64>,
    /// VMs that did not answer after the run and are left out.
    pub(super) unknown: Vec<SocketAddr>,
}

/// Parts that a VM has sent for a service so far.
#[derive(Clone, Copy, Debug, Default)]
struct Parts {
    first: f64,
    extra: f64,
}

impl Extra {
    /// Asks the operators' listeners of all named VMs.
    pub(super) fn begin(operators: &[SocketAddr], service: &str) -> Result<Extra, Report<Exit>> {
        let read = |operator: &SocketAddr| Ok((*operator, Parts::read(*operator, service)?));
        Ok(Extra {
            service: service.to_owned(),
            before: operators
                .iter()
                .map(read)
                .collect::<Result<_, Report<Exit>>>()?,
        })
    }

    /// Asks them again. A VM that was lost during the run is left out.
    pub(super) fn end(&self) -> Load {
        let mut load = Load::default();
        let mut sent = Parts::default();
        for (operator, before) in &self.before {
            match Parts::read(*operator, &self.service) {
                Ok(after) => {
                    sent.first += after.first - before.first;
                    sent.extra += after.extra - before.extra;
                }
                Err(_) => load.unknown.push(*operator),
            }
        }
        load.percent = (sent.first > 0.0).then(|| sent.extra / sent.first * 100.0);
        load
    }
}

impl Parts {
    fn read(operator: SocketAddr, service: &str) -> Result<Parts, Report<Exit>> {
        let text = metrics(operator)?;
        Ok(Parts {
            first: sum(&text, service, &["first"]),
            extra: sum(&text, service, &["hedge", "retry"]),
        })
    }
}

fn metrics(operator: SocketAddr) -> Result<String, Report<Exit>> {
    let request = Request {
        method: "GET",
        path: "/metrics",
        headers: Vec::new(),
        body: Vec::new(),
    };
    let answer = Client::new(operator, TIMEOUT).send(&request);
    match answer {
        Ok(Response { status: 200, text }) => Ok(text),
        Ok(Response { status, .. }) => Err(unreadable(operator, &format!("status {status}"))),
        Err(Error::NotSent(cause) | Error::MaybeSent(cause)) => Err(unreadable(operator, &cause)),
    }
}

fn unreadable(operator: SocketAddr, cause: &str) -> Report<Exit> {
    Report::new(Exit::Unreachable)
        .attach(format!("metrics of {operator}: {cause}"))
        .attach("do: name operators' listeners of live VMs with --operator, or none")
}

/// Sums the samples of the metric that have the service and one of the kinds.
fn sum(text: &str, service: &str, kinds: &[&str]) -> f64 {
    let service = format!("service=\"{service}\"");
    let is_kind = |line: &str| {
        kinds
            .iter()
            .any(|kind| line.contains(&format!("kind=\"{kind}\"")))
    };
    let lines = text
        .lines()
        .filter(|line| line.starts_with(PARTS) && line.contains(&service) && is_kind(line));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}
