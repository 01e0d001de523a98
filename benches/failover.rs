//! Measures coverage and latency while a VM that owns leaves is lost.
//!
//! One entry VM sends queries at a constant rate to leaves of another failure domain. Each leaf is
//! the only replica of its shard, which makes a lost owner reduce coverage at once. After
//! [`DURATION_BEFORE_LOSS`] one of the owners is killed, frozen, cut off or terminated. Prints a
//! row for each case. There is no bound, because the target states none for the moment of a loss.

use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use geraniummount_test_support::client::Client;
use geraniummount_test_support::fleet::{Fleet, Plan, VmSelector, wait_until};
use geraniummount_test_support::leaf::{Behaviour, Delay};
use geraniummount_test_support::proxy::Link;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

const SHARD_COUNT: usize = 8;
const OWNER_COUNT: usize = 3;
const QUERIES_PER_SECOND: f64 = 100.0;
const DURATION_BEFORE_LOSS: Duration = Duration::from_secs(3);
const DURATION_AFTER_LOSS: Duration = Duration::from_secs(7);
const DEADLINE_MS: u64 = 1_000;
const SENDER_COUNT: usize = 64;
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
const LINK_DELAY: Duration = Duration::from_millis(4);
const LEAF_DELAY: Duration = Duration::from_millis(5);
const SEED: u64 = 41;

/// Fault that is injected into the first owner.
#[derive(Clone, Copy, Debug)]
enum Loss {
    None,
    Stop,
    Kill,
    Freeze,
    Cut,
}

/// Result of one query: its planned start after the start of the run, its latency from then, and
/// the number of missing shards.
struct QueryResult {
    planned: Duration,
    took: Duration,
    missing: usize,
}

fn main() {
    println!("loss    prefer    lacking  failed  shards missing  last lacking s  p50 ms  p99 ms");
    for prefer in ["coverage", "latency"] {
        for loss in [Loss::None, Loss::Stop, Loss::Kill, Loss::Freeze, Loss::Cut] {
            measure(loss, prefer);
        }
    }
}

fn measure(loss: Loss, prefer: &str) {
    let mut fleet = start(prefer);
    let caller = fleet.vm("near-1").caller;
    let began = Instant::now();
    let (results_tx, results) = mpsc::channel();
    let total =
        (QUERIES_PER_SECOND * (DURATION_BEFORE_LOSS + DURATION_AFTER_LOSS).as_secs_f64()) as usize;
    thread::scope(|scope| {
        for sender in 0..SENDER_COUNT {
            let results_tx = results_tx.clone();
            scope.spawn(move || {
                let caller = Client::new(caller);
                for number in (sender..total).step_by(SENDER_COUNT) {
                    let planned = Duration::from_secs_f64(number as f64 / QUERIES_PER_SECOND);
                    thread::sleep(planned.saturating_sub(began.elapsed()));
                    let missing = query(&caller);
                    let took = began.elapsed() - planned;
                    let _ = results_tx.send(QueryResult {
                        planned,
                        took,
                        missing,
                    });
                }
            });
        }
        drop(results_tx);
        thread::sleep(DURATION_BEFORE_LOSS.saturating_sub(began.elapsed()));
        inject_loss(&mut fleet, loss);
    });
    print(loss, prefer, results.iter().collect());
}

fn inject_loss(fleet: &mut Fleet, loss: Loss) {
    let owner = fleet.vms_in("far")[0].clone();
    match loss {
        Loss::None => {}
        Loss::Stop => fleet.terminate(&owner),
        Loss::Kill => fleet.kill(&owner),
        Loss::Freeze => fleet.freeze(&owner),
        Loss::Cut => fleet.cut(&VmSelector::vm(owner), &VmSelector::All),
    }
}

fn print(loss: Loss, prefer: &str, queries: Vec<QueryResult>) {
    let mut latencies: Histogram<u64> = Histogram::new(3).unwrap();
    let mut last_lacking = Duration::ZERO;
    for query in &queries {
        latencies.record(query.took.as_micros() as u64).unwrap();
        if query.missing > 0 {
            last_lacking = last_lacking.max(query.planned.saturating_sub(DURATION_BEFORE_LOSS));
        }
    }
    let failed = queries
        .iter()
        .filter(|query| query.missing == SHARD_COUNT)
        .count();
    let lacking = queries.iter().filter(|query| query.missing > 0).count() - failed;
    let missing: usize = queries.iter().map(|query| query.missing).sum();
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{:6}  {prefer:8}  {lacking:7}  {failed:6}  {missing:14}  {:14.2}  {:6.1}  {:6.1}",
        format!("{loss:?}"),
        last_lacking.as_secs_f64(),
        ms(0.5),
        ms(0.99)
    );
}

/// Sends a query and returns the number of missing shards, which is all of them on a failure.
fn query(caller: &Client) -> usize {
    let reply = caller.query("all", &[], &json!({"q": "rope"}));
    let Ok(reply) = reply.map(|reply| reply.body) else {
        return SHARD_COUNT;
    };
    let missing = reply["coverage"]["missing"].as_array();
    missing.map_or(SHARD_COUNT, Vec::len)
}

fn start(prefer: &str) -> Fleet {
    let link = Link {
        delay: LINK_DELAY,
        ..Link::default()
    };
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount"))
        .seed(SEED)
        .inter_domain_link(link)
        .domain("near", 1)
        .domain("far", OWNER_COUNT);
    let name = |shard: usize| format!("leaf-{shard}");
    for shard in 0..SHARD_COUNT {
        plan = plan.leaf(&name(shard), "far", behaviour(shard));
    }
    let fleet = Fleet::start(plan).unwrap();
    let shard = |shard: usize| json!({"name": shard.to_string(), "replicas": [name(shard)]});
    let shards: Vec<Value> = (0..SHARD_COUNT).map(shard).collect();
    let service = json!({
        "name": "all",
        "shards": shards,
        "deadline_ms": DEADLINE_MS,
        "max_deadline_ms": DEADLINE_MS,
        "prefer": prefer,
    });
    fleet.apply_with_leaves("near-1", &[service]);
    let caller = fleet.caller("near-1");
    assert!(wait_until(STARTUP_TIMEOUT, || query(&caller) == 0));
    fleet
}

fn behaviour(shard: usize) -> Behaviour {
    Behaviour {
        slots: 8,
        delay: Delay::fixed(LEAF_DELAY),
        shards: vec![format!("all/{shard}")],
        ..Behaviour::default()
    }
}
