//! `load`: sends queries at a steady rate and summarizes their outcomes.
//!
//! The load is open-loop: queries become due at a fixed rate, independent of the answers to earlier
//! ones, and the latency of a query is measured from the time at which it was due. A slow query
//! tier (the VMs that serve queries) therefore shows as higher latency and not as fewer queries.
//!
//! The result has totals, optionally an entry for each second of the run, and, if operators'
//! listeners are given, the extra load that hedges (second attempts at late parts of a query, at
//! another replica) and retries (attempts after a failed one) put on leaves. The entries per second
//! show the cost of a failure during the run, such as a killed VM, and how long it lasted.

mod extra_load;
mod plot;
mod sample;
mod stats;
mod summary;

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use error_stack::Report;

use self::extra_load::Baseline;
use self::plot::Plot;
use self::sample::{Outcome, Sample};
use self::summary::Summary;
use crate::edge::client::{Client, Error, Request};
use crate::ops::exit::Exit;
use crate::ops::output::{self, Format};
use crate::util::table;

/// Time after which a query without an answer counts as failed.
const QUERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of `load`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of callers' listeners, used round-robin.
    pub servers: Vec<SocketAddr>,
    /// Service to query.
    pub service: String,
    /// JSON body of each query.
    pub body: String,
    /// Deadline of each query; the service's default if `None`.
    pub deadline_ms: Option<u32>,
    /// Queries per second.
    pub rate: u32,
    /// Duration of the run.
    pub duration: Duration,
    /// Maximum number of queries in flight; further queries wait.
    pub max_in_flight: usize,
    /// Addresses of the operators' listeners of all VMs, to measure the extra load; may be empty.
    pub operators: Vec<SocketAddr>,
    /// Whether the result has an entry for each second of the run.
    pub timeline: bool,
    /// SVG file for a plot of the run.
    pub plot: Option<PathBuf>,
    /// Output format.
    pub format: Format,
}

/// Sends queries for the duration of the run and writes the result.
pub fn load(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let plot = options.plot.as_deref().map(Plot::create).transpose()?;
    let baseline = Baseline::read(&options.operators, &options.service)?;
    let samples = run(options);
    let summary = Summary::new(&samples, options.duration)?;
    let result = summary.to_json(options, &baseline.finish());
    match options.format {
        Format::Json => output::json(out, &result)?,
        Format::Text => output::text(out, &table::outline(&result))?,
    }
    match plot {
        Some(plot) => plot.write(&options.service, &summary.seconds),
        None => Ok(()),
    }
}

/// Sends all queries and returns a sample of each.
fn run(options: &Options) -> Vec<Sample> {
    let start = Instant::now();
    let (due_sender, due_receiver) = channel();
    let (sample_sender, samples) = channel();
    let due_receiver = Arc::new(Mutex::new(due_receiver));
    for _ in 0..options.max_in_flight {
        let (due, samples) = (Arc::clone(&due_receiver), sample_sender.clone());
        let options = options.clone();
        std::thread::spawn(move || run_worker(&options, start, &due, &samples));
    }
    drop(sample_sender);
    schedule(options, start, &due_sender);
    drop(due_sender);
    samples.into_iter().collect()
}

/// Passes the number and due time of each query to the workers when the query is due.
fn schedule(options: &Options, start: Instant, due: &Sender<(usize, Instant)>) {
    let interval = Duration::from_secs(1) / options.rate;
    let count = options.duration.as_nanos() / interval.as_nanos().max(1);
    for number in 0..u32::try_from(count).unwrap_or(u32::MAX) {
        let due_at = start + interval * number;
        std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
        if due.send((number as usize, due_at)).is_err() {
            return;
        }
    }
}

/// Sends queries as they become due until the channel closes.
fn run_worker(
    options: &Options,
    start: Instant,
    due: &Mutex<Receiver<(usize, Instant)>>,
    samples: &Sender<Sample>,
) {
    let clients: Vec<Client> = options
        .servers
        .iter()
        .map(|s| Client::new(*s, QUERY_TIMEOUT))
        .collect();
    loop {
        let next = due.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((number, due_at)) = next else { return };
        let outcome = send(options, &clients[number % clients.len()]);
        let sample = Sample {
            due_offset: due_at.saturating_duration_since(start),
            latency: due_at.elapsed(),
            outcome,
        };
        if samples.send(sample).is_err() {
            return;
        }
    }
}

fn send(options: &Options, client: &Client) -> Outcome {
    let path = format!("/v1/services/{}/query", options.service);
    let mut headers = vec![("Content-Type", "application/json".to_string())];
    if let Some(deadline) = options.deadline_ms {
        headers.push(("Deadline-Ms", deadline.to_string()));
    }
    let request = Request {
        method: "POST",
        path: &path,
        headers,
        body: options.body.clone().into_bytes(),
    };
    let answer = match client.send(&request) {
        Ok(answer) => answer,
        Err(Error::NotSent(cause)) => return Outcome::NotRun(cause),
        Err(Error::MaybeSent(cause)) => return Outcome::Failed(cause),
    };
    let body = answer.json();
    if answer.is_success() {
        return Outcome::Answered(sample::covered_share(&body["coverage"]));
    }
    let reason = table::cell(&body["reason"]);
    match body["verdict"].as_str() {
        Some("not-run") => Outcome::NotRun(reason),
        _ => Outcome::Failed(reason),
    }
}
