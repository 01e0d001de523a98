//! `load`: sends queries at a steady rate and sums up how they were answered.
//!
//! Arrivals are open-loop: each query is sent when it is due, whatever is
//! still open, and its time counts from when it was due. A slow tier thus
//! shows as latency and not as fewer queries.
//!
//! The result has totals, a line for each second of the run, and where
//! operators' listeners are named the extra load that the tier put on leaves.
//! Drills are read off the lines: what a killed VM costs, and for how long.

mod extra;
mod plot;
mod sample;
mod second;
mod summary;

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use error_stack::Report;

use self::extra::Extra;
use self::plot::Plot;
use self::sample::{Ending, Sample};
use self::summary::Summary;
use crate::edge::client::{Client, Error, Request};
use crate::ops::exit::Exit;
use crate::ops::output::{self, Form};
use crate::util::table;

/// Time that an answer may take before its query counts as lost.
const TIMEOUT: Duration = Duration::from_secs(30);

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
    /// Operators' listeners of all VMs, to tell the extra load; may be none.
    pub operators: Vec<SocketAddr>,
    /// Whether each second of the run is shown.
    pub timeline: bool,
    /// Where a plot of the run is written to, as SVG.
    pub plot: Option<PathBuf>,
    /// Form of the result.
    pub form: Form,
}

/// Sends queries for the length of the run and reports.
pub fn load(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let plot = options.plot.as_deref().map(Plot::create).transpose()?;
    let extra = Extra::begin(&options.operators, &options.service)?;
    let samples = run(options);
    let summary = Summary::new(&samples, options.length)?;
    let result = summary.result(options, &extra.end());
    match options.form {
        Form::Json => output::json(out, &result)?,
        Form::Text => output::text(out, &table::outline(&result))?,
    }
    match plot {
        Some(plot) => plot.write(&options.service, &summary.seconds),
        None => Ok(()),
    }
}

/// Sends all queries and returns how each ended.
fn run(options: &Options) -> Vec<Sample> {
    let start = Instant::now();
    let (due_sender, due_receiver) = channel();
    let (sample_sender, samples) = channel();
    let due_receiver = Arc::new(Mutex::new(due_receiver));
    for _ in 0..options.open {
        let (due, samples) = (Arc::clone(&due_receiver), sample_sender.clone());
        let options = options.clone();
        std::thread::spawn(move || work(&options, start, &due, &samples));
    }
    drop(sample_sender);
    arrive(options, start, &due_sender);
    drop(due_sender);
    samples.into_iter().collect()
}

/// Hands out each query when it is due.
fn arrive(options: &Options, start: Instant, due: &Sender<(usize, Instant)>) {
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
fn work(
    options: &Options,
    start: Instant,
    due: &Mutex<Receiver<(usize, Instant)>>,
    samples: &Sender<Sample>,
) {
    let clients: Vec<Client> = options
        .servers
        .iter()
        .map(|s| Client::new(*s, TIMEOUT))
        .collect();
    loop {
        let next = due.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((number, at)) = next else { return };
        let ending = send(options, &clients[number % clients.len()]);
        let sample = Sample {
            due: at.saturating_duration_since(start),
            took: at.elapsed(),
            ending,
        };
        if samples.send(sample).is_err() {
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
        Err(Error::MaybeSent(cause)) => return Ending::Failed(cause),
    };
    let body = answer.json();
    if answer.is_success() {
        return Ending::Answered(sample::share(&body["coverage"]));
    }
    let reason = table::cell(&body["reason"]);
    match body["verdict"].as_str() {
        Some("not-run") => Ending::NotRun(reason),
        _ => Ending::Failed(reason),
    }
}
