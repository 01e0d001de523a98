//! `load`: sends queries at a steady rate and sums up how they were answered.
//!
//! Arrivals are open-loop: each query is sent when it is due, whatever is
//! still open, and its time counts from when it was due. A slow tier thus
//! shows as latency and not as fewer queries.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::edge::client::{Client, Error, Request};
use crate::ops::exit::Exit;
use crate::ops::output::{self, Form};
use crate::util::table;

/// Time that an answer may take before its query counts as lost.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time that the histogram tells apart.
const LONGEST: Duration = Duration::from_secs(600);

/// Significant digits of the histogram.
const DIGITS: u8 = 3;

/// What to send and where.
#[derive(Clone, Debug)]
pub struct Options {
    /// Callers' listeners, used in turn.
    pub servers: Vec<SocketAddr>,
    /// Service that is asked.
    pub service: String,
    /// JSON body of each query.
    pub body: String,
    /// Deadline; the service's own where none is given.
    pub deadline_ms: Option<u32>,
    /// Queries a second.
    pub rate: u32,
    /// Length of the run.
    pub length: Duration,
    /// Queries open at once; one that is due beyond them waits.
    pub open: usize,
    /// Form of the result.
    pub form: Form,
}

/// How one query ended.
struct Sample {
    took: Duration,
    ending: Ending,
}

/// End of a query as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
enum Ending {
    /// Answered with a share of its shards.
    Answered(f64),
    /// Refused without having run, with the reason.
    NotRun(String),
    /// Failed, with the reason, or no answer came.
    Failed(String),
}

/// How often queries were not answered for one reason.
#[derive(Clone, Debug, serde::Serialize)]
struct Unanswered {
    reason: String,
    count: u64,
}

/// Sends queries for the length of the run and reports.
pub fn load(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let (due_sender, due_receiver) = channel();
    let (sample_sender, samples) = channel();
    let due_receiver = Arc::new(Mutex::new(due_receiver));
    for _ in 0..options.open {
        let (due, samples) = (Arc::clone(&due_receiver), sample_sender.clone());
        let options = options.clone();
        std::thread::spawn(move || work(&options, &due, &samples));
    }
    drop(sample_sender);
    arrive(options, &due_sender);
    drop(due_sender);
    let report = sum_up(options, samples).change_context(Exit::Other)?;
    match options.form {
        Form::Json => output::json(out, &report),
        Form::Text => output::text(out, &table::outline(&report)),
    }
}

/// Hands out each query when it is due.
fn arrive(options: &Options, due: &Sender<(usize, Instant)>) {
    let start = Instant::now();
    let period = Duration::from_secs(1) / options.rate;
    let count = options.length.as_nanos() / period.as_nanos().max(1);
    for number in 0..u32::try_from(count).unwrap_or(u32::MAX) {
        let at = start + period * number;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if due.send((number as usize, at)).is_err() {
            return;
        }
    }
}

/// Sends the queries that become due until there are no more.
fn work(options: &Options, due: &Mutex<Receiver<(usize, Instant)>>, samples: &Sender<Sample>) {
    let clients: Vec<Client> = options
        .servers
        .iter()
        .map(|s| Client::new(*s, TIMEOUT))
        .collect();
    loop {
        let next = due.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((number, at)) = next else { return };
        let ending = send(options, &clients[number % clients.len()]);
        let took = at.elapsed();
        if samples.send(Sample { took, ending }).is_err() {
            return;
        }
    }
}

fn send(options: &Options, client: &Client) -> Ending {
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
        Err(Error::NotSent(cause)) => return Ending::NotRun(cause),
        Err(Error::Lost(cause)) => return Ending::Failed(cause),
    };
    let body = answer.json();
    if answer.is_success() {
        return Ending::Answered(ratio(&body["coverage"]));
    }
    let reason = table::cell(&body["reason"]);
    match body["verdict"].as_str() {
        Some("not-run") => Ending::NotRun(reason),
        _ => Ending::Failed(reason),
    }
}

/// Share of the shards that an answer includes.
fn ratio(coverage: &Value) -> f64 {
    let included = coverage["included"].as_array().map_or(0, Vec::len);
    let missing = coverage["missing"].as_array().map_or(0, Vec::len);
    included as f64 / (included + missing).max(1) as f64
}

fn sum_up(
    options: &Options,
    samples: Receiver<Sample>,
) -> Result<Value, hdrhistogram::CreationError> {
    let longest = u64::try_from(LONGEST.as_micros()).unwrap_or(u64::MAX);
    let mut histogram = Histogram::<u64>::new_with_max(longest, DIGITS)?;
    let (mut sent, mut answered, mut whole, mut refused, mut failed) = (0, 0, 0, 0, 0);
    let mut shares = 0.0;
    let mut unanswered = Vec::new();
    for sample in samples {
        sent += 1;
        match sample.ending {
            Ending::Answered(share) => {
                answered += 1;
                whole += u64::from(share >= 1.0);
                shares += share;
                let micros = u64::try_from(sample.took.as_micros()).unwrap_or(u64::MAX);
                histogram.saturating_record(micros);
            }
            Ending::NotRun(reason) => {
                refused += 1;
                count(&mut unanswered, reason);
            }
            Ending::Failed(reason) => {
                failed += 1;
                count(&mut unanswered, reason);
            }
        }
    }
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Ok(json!({
        "service": options.service,
        "rate": options.rate,
        "sent": sent,
        "answered": answered,
        "whole": whole,
        "refused": refused,
        "failed": failed,
        "mean_coverage": shares / f64::from(answered.max(1)),
        "p50_ms": millis(0.5),
        "p99_ms": millis(0.99),
        "p99.9_ms": millis(0.999),
        "max_ms": histogram.max() as f64 / 1e3,
        "unanswered": unanswered,
    }))
}

fn count(unanswered: &mut Vec<Unanswered>, reason: String) {
    match unanswered.binary_search_by(|other| other.reason.cmp(&reason)) {
        Ok(place) => unanswered[place].count += 1,
        Err(place) => unanswered.insert(place, Unanswered { reason, count: 1 }),
    }
}
