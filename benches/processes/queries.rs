//! Measures processor time by queries per second and by shards of a query.

use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use geraniummount_test_support::client::Client;
use geraniummount_test_support::leaf::{Behaviour, Delay, Leaf};
use geraniummount_test_support::platform::Platform;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use geraniummount_test_support::process::Process;

use crate::BINARY;

const MEASUREMENT_DURATION: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(1);
/// Number of threads that send queries.
const SENDER_COUNT: usize = 64;
const LEAF_DELAY: Duration = Duration::from_millis(1);
const SLOTS_PER_LEAF: usize = 16;
const CONNECTIONS_PER_LEAF: usize = 100;

/// Queries per second and shards per query of each row.
const ROWS: [(f64, usize); 6] = [
    (50.0, 8),
    (100.0, 8),
    (200.0, 8),
    (50.0, 2),
    (50.0, 16),
    (50.0, 61),
];

/// Running leaves and the service declared over them. Dropping it stops the leaves.
pub struct Deployment {
    _leaves: Vec<Leaf>,
}

/// Open-loop load: queries are sent at a constant rate whether or not earlier ones were answered.
pub struct Load {
    /// Queries per second.
    pub rate: f64,
    /// Duration of the load.
    pub time: Duration,
}

/// Figures of a load.
pub struct Outcome {
    /// Mean number of cores that the process used.
    pub cores_used: f64,
    /// Median latency from the planned send time.
    pub p50_ms: f64,
    /// 99th percentile of the latency from the planned send time.
    pub p99_ms: f64,
    /// Share of the queries whose answer includes every shard.
    pub whole_share: f64,
}

/// Prints a row for each entry of [`ROWS`]. Always returns true, because this table has no bound.
pub fn run() -> bool {
    println!(
        "queries/s  shards  core %  ms of a core a query  us of a core a part  p50 ms  p99 ms  whole %"
    );
    for (rate, shards) in ROWS {
        let folder = tempfile::tempdir().unwrap();
        let platform = Platform::start().unwrap();
        let process = Process::start(BINARY, 0, platform.address(), folder.path());
        let deployment = Deployment::new(&process, shards);
        let load = |time| Load { rate, time }.run(&process, &deployment);
        load(WARM_UP);
        let result = load(MEASUREMENT_DURATION);
        println!(
            "{rate:9.0}  {shards:6}  {:6.1}  {:21.2}  {:19.0}  {:6.1}  {:6.1}  {:7.1}",
            result.cores_used * 100.0,
            result.cores_used / rate * 1e3,
            result.cores_used / rate / shards as f64 * 1e6,
            result.p50_ms,
            result.p99_ms,
            result.whole_share * 100.0,
        );
    }
    true
}

impl Deployment {
    /// Starts leaves that answer after [`LEAF_DELAY`] and declares a service `all` with one shard
    /// on each.
    pub fn new(process: &Process, leaves: usize) -> Deployment {
        let operator = process.operator();
        let mut shards: Vec<Value> = Vec::new();
        let mut started = Vec::new();
        for index in 0..leaves {
            let name = format!("leaf-{index}");
            let behaviour = Behaviour {
                shards: vec![format!("all/{index}")],
                slots: SLOTS_PER_LEAF,
                connections: CONNECTIONS_PER_LEAF,
                delay: Delay::fixed(LEAF_DELAY),
                ..Behaviour::default()
            };
            let leaf = Leaf::start(&name, behaviour, index as u64).unwrap();
            let spec = json!({
                "name": name,
                "address": leaf.address(),
                "failure_domain": "d1",
                "contract": {"slots": SLOTS_PER_LEAF, "connections": CONNECTIONS_PER_LEAF, "open_ms": 1},
            });
            process.put(&operator, &format!("leaf/{name}"), &spec);
            shards.push(json!({"name": index.to_string(), "replicas": [name]}));
            started.push(leaf);
        }
        let spec = json!({
            "name": "all",
            "shards": shards,
            "deadline_ms": 2000,
            "max_deadline_ms": 5000,
        });
        process.put(&operator, "service/all", &spec);
        Deployment { _leaves: started }
    }
}

impl Load {
    /// Sends the queries, waits for the answers and returns the figures.
    pub fn run(&self, process: &Process, _deployment: &Deployment) -> Outcome {
        let total = (self.rate * self.time.as_secs_f64()) as u32;
        let before = process.usage();
        let start = Instant::now();
        let (results_tx, results) = mpsc::channel();
        thread::scope(|scope| {
            for sender in 0..SENDER_COUNT as u32 {
                let (results_tx, caller) = (results_tx.clone(), process.caller());
                scope.spawn(move || {
                    for number in (sender..total).step_by(SENDER_COUNT) {
                        let planned =
                            start + Duration::from_secs_f64(f64::from(number) / self.rate);
                        thread::sleep(planned.saturating_duration_since(Instant::now()));
                        let whole = query(&caller);
                        let _ = results_tx.send((planned.elapsed(), whole));
                    }
                });
            }
            drop(results_tx);
        });
        let elapsed = start.elapsed().as_secs_f64();
        let busy = process.usage().cpu_time - before.cpu_time;
        let mut latencies: Histogram<u64> = Histogram::new(3).unwrap();
        let mut whole = 0;
        for (latency, is_whole) in results {
            latencies.record(latency.as_micros() as u64).unwrap();
            whole += u32::from(is_whole);
        }
        let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
        Outcome {
            cores_used: busy.as_secs_f64() / elapsed,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            whole_share: f64::from(whole) / f64::from(total.max(1)),
        }
    }
}

fn query(caller: &Client) -> bool {
    let path = "/v1/services/all/query";
    let reply = caller.call("POST", path, &[], b"{\"q\":\"rope\"}");
    reply.is_ok_and(|reply| reply.is_success() && reply.body["coverage"]["missing"] == json!([]))
}
