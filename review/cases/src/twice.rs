//! A leaf that is full rejects the health check of a gateway, and the same answer comes a second
//! time, late: at the point where the answer to the next request is expected. It has no id, and the
//! gateway takes it for the answer to that request: a request that may run only once is sent to a
//! second leaf while the first one runs it, or is refused as not run.
//!
//! The gateways check their links because all leaves of another service have crashed.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Attempt;
use crate::document::{HOST, Route, document};
use crate::leaf::{Config, Leaf};
use crate::random::Random;
use crate::record::Record;
use crate::{Stage, Verdict};

/// Length of the case.
const LENGTH: Duration = Duration::from_secs(108);

/// Share of the answers that come twice while leaves are faulty, in thousandths.
const LATE_EXTRA: u64 = 30;

/// Number of the five leaves that are faulty then.
const FAULTY_LEAVES: usize = 3;

/// The disruptions come again after this time.
const PERIOD: Duration = Duration::from_secs(6);

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Service of the orders and its route.
const DESK: &str = "gowu98c";
const ORDERS: &str = "/rend77/";

/// Service of the lookups, with two leaves, and its route.
const SHARD: &str = "dele69a";
const LOOKUPS: &str = "/bapu561/";

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let route = |prefix, kind, service| Route {
        prefix,
        kind,
        service,
        attempts: 2,
        timeout_ms: 4_000,
        target_ms: 400,
    };
    let routes = [
        route(ORDERS, "non_idempotent", DESK),
        route(LOOKUPS, "idempotent", SHARD),
    ];
    let configuration = document(3, &routes, &[(DESK, 100), (SHARD, 26)]);
    stage.store.put("op/config", &configuration);
    let desk = start_desk(stage)?;
    let mut shard = start_shard(stage, 0, &[])?;
    let zones = [
        "arusha-a", "arusha-a", "arusha-a", "arusha-b", "arusha-b", "arusha-b", "arusha-c",
        "arusha-c", "arusha-d",
    ];
    let gateways = stage.gateways(&zones)?;
    let mut clients = Vec::new();
    for gateway in &gateways {
        for _ in 0..CLIENTS {
            let (record, front) = (Arc::clone(&stage.record), gateway.front);
            clients.push(thread::spawn(move || send_requests(&record, front)));
        }
    }
    let mut round = 0;
    let mut next = stage.record.now() + Duration::from_secs(3);
    while next + PERIOD < LENGTH {
        thread::sleep(next.saturating_sub(stage.record.now()));
        next += PERIOD;
        round += 1;
        if stage.has_trouble {
            shard = disrupt(stage, &desk, &shard, round)?;
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    Ok(judge(stage))
}

/// Number of clients at each gateway.
const CLIENTS: usize = 5;

/// Crashes all leaves of a service for 4.3 s; some leaves of the other one send extra answers for 4.7 s.
fn disrupt(stage: &Stage, desk: &[Leaf], shard: &[Leaf], round: usize) -> io::Result<Vec<Leaf>> {
    let set_extra = |share| {
        for leaf in &desk[..FAULTY_LEAVES] {
            leaf.faults.late_extra.store(share, Ordering::Relaxed);
        }
    };
    stage
        .record
        .note("all leaves of the shard crash; leaves of the desk send extra answers");
    set_extra(LATE_EXTRA);
    shard.iter().for_each(Leaf::end);
    thread::sleep(Duration::from_millis(3_600));
    for leaf in shard {
        stage.store.remove(&format!("servers/{}", leaf.id));
    }
    thread::sleep(Duration::from_millis(700));
    let ports: Vec<SocketAddr> = shard.iter().map(|leaf| leaf.address).collect();
    let shard = start_shard(stage, round, &ports)?;
    thread::sleep(Duration::from_millis(400));
    set_extra(0);
    Ok(shard)
}

fn start_desk(stage: &Stage) -> io::Result<Vec<Leaf>> {
    let zones = ["arusha-a", "arusha-a", "arusha-b", "arusha-c", "arusha-d"];
    let leaves = zones.iter().enumerate().map(|(number, zone)| {
        let config = Config {
            service: DESK.into(),
            zone: zone.to_string(),
            slots: 3,
            queue: 2,
            work_ms: (40, 140),
        };
        stage.leaf(&format!("i-5e11a00{number}"), config)
    });
    leaves.collect()
}

/// Starts the two leaves of the shard, at the addresses that they had before if they had any.
fn start_shard(stage: &Stage, round: usize, before: &[SocketAddr]) -> io::Result<Vec<Leaf>> {
    let zones = ["arusha-a", "arusha-b"];
    let leaves = zones.iter().enumerate().map(|(number, zone)| {
        let config = Config {
            service: SHARD.into(),
            zone: zone.to_string(),
            slots: 2,
            queue: 12,
            work_ms: (8, 14),
        };
        let address = before.get(number).map(ToString::to_string);
        let address = address.unwrap_or("127.0.0.1:0".into());
        let listener = TcpListener::bind(address)?;
        stage.leaf_on(&format!("i-7d{round:04}{number}"), listener, config)
    });
    leaves.collect()
}

/// Sends one request after the other.
fn send_requests(record: &Record, front: SocketAddr) {
    let mut random = Random::new();
    while record.now() < LENGTH {
        let id = random.id();
        let is_order = random.share() < 0.6;
        let attempt = Attempt {
            method: if is_order { "POST" } else { "GET" },
            path: if is_order {
                "/rend77/2f"
            } else {
                "/bapu561/2f"
            },
            host: HOST,
            id: &id,
            deadline: Duration::from_millis(if is_order { 4_000 } else { 1_000 }),
            body: if is_order { b"{\"ticket\":7}" } else { b"" },
        };
        let what = if is_order { "order" } else { "lookup" };
        if is_order {
            record.ordered(&id);
        }
        let mut pause = random.millis(20, 120);
        match attempt.send(front) {
            Ok(outcome) => {
                let (status, reason) = (outcome.status, outcome.reason);
                record.answered(&id, status, &format!("{what} {reason}"));
                pause += Duration::from_secs_f64(outcome.retry_after.unwrap_or(0.0));
            }
            Err(error) => record.answered(&id, 0, &format!("{what} {error}")),
        }
        thread::sleep(pause);
    }
}

fn judge(stage: &Stage) -> Verdict {
    let answers = stage.record.answers();
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in stage.record.runs() {
        runs.entry(run.id).or_default().push(run.leaf);
    }
    let orders = stage.record.orders();
    let (mut twice, mut refused) = (0, 0);
    for id in &orders {
        let leaves = runs.get(id).map_or(&[][..], Vec::as_slice);
        if leaves.len() > 1 {
            twice += 1;
            stage.say(&format!("TWICE: {id} ran at {}", leaves.join(" and ")));
        }
        let mut answers = answers.iter().filter(|answer| answer.id == *id);
        let answer = answers.find(|answer| PROMISES.contains(&answer.status));
        if let Some(answer) = answer
            && !leaves.is_empty()
        {
            refused += 1;
            let status = answer.status;
            stage.say(&format!(
                "REFUSED: {id} was answered {status} and ran at {leaves:?}"
            ));
        }
    }
    let ok = answers.iter().filter(|answer| answer.status == 200).count();
    stage.say(&format!(
        "{} requests, {ok} served, {} of them orders; {twice} ran twice, {refused} ran although refused",
        answers.len(),
        orders.len()
    ));
    match (ok > 0, twice + refused > 0) {
        (false, _) => Verdict::NotRun,
        (true, true) => Verdict::Broken,
        (true, false) => Verdict::Held,
    }
}
