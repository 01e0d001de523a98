//! New connections of a gateway to the leaves are closed at once, while those that are open live on,
//! and the store turns it away while the configuration changes. It passes requests of one route on
//! to other gateways, which serve them by the new version, and serves those of another route itself
//! by the old version: the service that the route has left runs them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Attempt;
use crate::document::{HOST, Route, document};
use crate::leaf::{Config, Leaf};
use crate::random::Random;
use crate::record::Record;
use crate::{Stage, Verdict};

/// `rollbackSlackMs`, eight times, as on a slowed machine.
const SLACK: Duration = Duration::from_millis(8 * 250);

/// Time before the disruption.
const LEAD: Duration = Duration::from_secs(2);

/// How long new connections are closed at once.
const CUT: Duration = Duration::from_millis(11_900);

/// How long the store turns the machine away.
const SHUT: Duration = Duration::from_millis(8_900);

/// Service that both routes move to, and those that they leave.
const NEW_SERVICE: &str = "nylo40d";
const BUSY_SERVICE: &str = "gowu98c";
const RARE_SERVICE: &str = "xano55b";

/// A route with steady traffic, and one without.
const BUSY: &str = "/timi402/";
const RARE: &str = "/kuda118/";

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let services = [(BUSY_SERVICE, 100), (RARE_SERVICE, 100), (NEW_SERVICE, 100)];
    let routes = [route(BUSY, BUSY_SERVICE), route(RARE, RARE_SERVICE)];
    let first = document(3, &routes, &services);
    stage.store.put("op/config", &first);
    let mut leaves = start_leaves(stage, BUSY_SERVICE, "old")?;
    leaves.extend(start_leaves(stage, RARE_SERVICE, "rare")?);
    leaves.extend(start_leaves(stage, NEW_SERVICE, "new")?);
    let own_address = stage.store.open_address()?;
    let store = stage.store.address;
    let gateways = stage.gateways_at(&[
        ("arusha-a", own_address.address),
        ("arusha-b", store),
        ("arusha-c", store),
    ])?;
    let gateway = &gateways[0];
    let front = gateway.front;
    let end = stage.record.now() + LEAD + CUT;
    let mut clients = Vec::new();
    for _ in 0..3 {
        let record = Arc::clone(&stage.record);
        clients.push(thread::spawn(move || send_until(&record, front, end)));
    }
    thread::sleep(LEAD);
    if stage.has_trouble {
        stage.say(&format!(
            "new connections of {} to all leaves are closed, and the store turns it away",
            gateway.name
        ));
        for leaf in &leaves {
            leaf.faults.cut_new.lock().unwrap().push(gateway.ip);
        }
        own_address.set_shut(true);
        stage.heal_later(&own_address, SHUT, &leaves, CUT);
    }
    let routes = [route(BUSY, NEW_SERVICE), route(RARE, NEW_SERVICE)];
    stage
        .store
        .put("op/config", &document(7, &routes, &services));
    stage.say(&format!(
        "version 7 is acknowledged: {BUSY} and {RARE} move to {NEW_SERVICE}"
    ));
    let mut random = Random::new();
    while stage.record.now() < end {
        send(&stage.record, &mut random, front, RARE);
        thread::sleep(Duration::from_millis(300));
    }
    let sent = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default());
    let sent: Vec<(String, Duration)> = sent.collect();
    Ok(judge(stage, &gateway.name, &sent))
}

fn route<'a>(prefix: &'a str, service: &'a str) -> Route<'a> {
    Route {
        prefix,
        kind: "idempotent",
        service,
        attempts: 2,
        timeout_ms: 4_000,
        target_ms: 400,
    }
}

fn start_leaves(stage: &Stage, service: &str, id: &str) -> io::Result<Vec<Leaf>> {
    let zones = ["arusha-a", "arusha-b", "arusha-c", "arusha-d"];
    let leaves = zones.iter().enumerate().map(|(number, zone)| {
        let config = Config {
            service: service.into(),
            zone: zone.to_string(),
            slots: 3,
            queue: 12,
            work_ms: (30, 60),
        };
        stage.leaf(&format!("i-{id}-{number}"), config)
    });
    leaves.collect()
}

/// Sends requests of the busy route, one after the other; returns their ids and when each was sent.
fn send_until(record: &Record, front: SocketAddr, end: Duration) -> Vec<(String, Duration)> {
    let mut random = Random::new();
    let mut sent = Vec::new();
    while record.now() < end {
        let sent_at = record.now();
        sent.push((send(record, &mut random, front, BUSY), sent_at));
        thread::sleep(random.millis(30, 90));
    }
    sent
}

/// Sends a request to the gateway; returns its id.
fn send(record: &Record, random: &mut Random, front: SocketAddr, prefix: &str) -> String {
    let id = random.id();
    let attempt = Attempt {
        method: "GET",
        path: &format!("{prefix}2f"),
        host: HOST,
        id: &id,
        deadline: Duration::from_millis(2_000),
        body: b"",
    };
    let (status, what) = match attempt.send(front) {
        Ok(outcome) => (outcome.status, outcome.reason),
        Err(error) => (0, error.to_string()),
    };
    record.answered(&id, status, &format!("{prefix} {what}"));
    id
}

/// All requests were sent to one gateway, so each run is one that it took from the client.
fn judge(stage: &Stage, name: &str, sent: &[(String, Duration)]) -> Verdict {
    let runs = stage.record.runs();
    let Some(seen) = runs.iter().find(|run| run.leaf.starts_with("i-new")) else {
        stage.say("no leaf saw the effect of version 7");
        return Verdict::NotRun;
    };
    stage.say(&format!(
        "leaf {} saw the effect of version 7 at {:.3} s, by request {} of {name}",
        seen.leaf,
        seen.at.as_secs_f64(),
        seen.id
    ));
    let late = sent.iter().filter(|(_, at)| *at > seen.at + SLACK);
    let late: Vec<&String> = late.map(|(id, _)| id).collect();
    let is_old = |id: &&&String| {
        let mut runs = runs.iter().filter(|run| run.id == ***id);
        runs.any(|run| run.leaf.starts_with("i-old"))
    };
    let old = late.iter().filter(is_old).count();
    stage.say(&format!(
        "{old} of {} requests for {BUSY} that were sent more than {} ms later were run by {BUSY_SERVICE}",
        late.len(),
        SLACK.as_millis()
    ));
    match (late.is_empty(), old) {
        (true, _) => Verdict::NotRun,
        (false, 0) => Verdict::Held,
        (false, _) => Verdict::Broken,
    }
}
