//! A gateway is partitioned from all leaves, and the store turns it away while the configuration
//! changes. It passes requests on to other gateways, which serve them by the new version, and then
//! answers 404 for a route that this version has added.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::client::Attempt;
use crate::document::{HOST, Route, document};
use crate::leaf::{Config, Leaf};
use crate::random::Random;
use crate::{Stage, Verdict};

/// `rollbackSlackMs`, eight times, as on a slowed machine.
const SLACK: Duration = Duration::from_millis(8 * 250);

/// How long the machine is partitioned from the leaves.
const CUT: Duration = Duration::from_millis(11_900);

/// How long the store turns the machine away.
const SHUT: Duration = Duration::from_millis(8_900);

const OLD_SERVICE: &str = "gowu98c";
const NEW_SERVICE: &str = "nylo40d";
const MOVED: &str = "/timi402/";
const ADDED: &str = "/kuda118/";

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let services = [(OLD_SERVICE, 100), (NEW_SERVICE, 100)];
    let first = document(3, &[route(MOVED, OLD_SERVICE)], &services);
    stage.store.put("op/config", &first);
    let mut leaves = start_leaves(stage, OLD_SERVICE, "i-5e11a0")?;
    leaves.extend(start_leaves(stage, NEW_SERVICE, "i-b111a0")?);
    let own_address = stage.store.open_address()?;
    let store = stage.store.address;
    let gateways = stage.gateways_at(&[
        ("arusha-a", own_address.address),
        ("arusha-b", store),
        ("arusha-c", store),
    ])?;
    let gateway = &gateways[0];
    let front = gateway.front;
    let mut random = Random::new();
    for _ in 0..40 {
        send(stage, &mut random, front, MOVED);
        thread::sleep(Duration::from_millis(50));
    }

    let began = stage.record.now();
    if stage.has_trouble {
        stage.say(&format!(
            "{} is partitioned from all leaves, and the store turns it away",
            gateway.name
        ));
        for leaf in &leaves {
            leaf.faults.cut.lock().unwrap().push(gateway.ip);
        }
        own_address.set_shut(true);
        stage.heal_later(&own_address, SHUT, &leaves, CUT);
    }
    for _ in 0..20 {
        send(stage, &mut random, front, MOVED);
        thread::sleep(Duration::from_millis(50));
    }
    let routes = [route(MOVED, NEW_SERVICE), route(ADDED, NEW_SERVICE)];
    stage
        .store
        .put("op/config", &document(7, &routes, &services));
    stage.say(&format!(
        "version 7 is acknowledged: {MOVED} moves to {NEW_SERVICE}, {ADDED} is added"
    ));
    let mut looks = Vec::new();
    while stage.record.now() < began + CUT {
        send(stage, &mut random, front, MOVED);
        let sent_at = stage.record.now();
        let (id, status) = send(stage, &mut random, front, ADDED);
        looks.push((id, sent_at, status));
        thread::sleep(Duration::from_millis(100));
    }
    Ok(judge(stage, &gateway.name, &looks))
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
        stage.leaf(&format!("{id}0{number}"), config)
    });
    leaves.collect()
}

/// Sends a request to the gateway; returns its id and the status of the answer.
fn send(stage: &Stage, random: &mut Random, front: SocketAddr, prefix: &str) -> (String, u16) {
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
    let what = format!("{prefix} {what}");
    stage.record.answered(&id, status, &what);
    (id, status)
}

/// All requests were sent to one gateway, so each run is one that it took from the client.
fn judge(stage: &Stage, name: &str, looks: &[(String, Duration, u16)]) -> Verdict {
    let runs = stage.record.runs();
    let seen = runs.iter().find(|run| run.leaf.starts_with("i-b111a0"));
    let Some(seen) = seen else {
        stage.say("no leaf saw the effect of version 7");
        return Verdict::NotRun;
    };
    stage.say(&format!(
        "leaf {} saw the effect of version 7 at {:.3} s, by request {} of {name}",
        seen.leaf,
        seen.at.as_secs_f64(),
        seen.id
    ));
    let late = looks.iter().filter(|(_, at, _)| *at > seen.at + SLACK);
    let late: Vec<_> = late.collect();
    let older: Vec<_> = late
        .iter()
        .filter(|(_, _, status)| *status == 404)
        .collect();
    stage.say(&format!(
        "{} of {} requests for {ADDED} that were sent more than {} ms later got 404",
        older.len(),
        late.len(),
        SLACK.as_millis()
    ));
    match (late.is_empty(), older.is_empty()) {
        (true, _) => Verdict::NotRun,
        (_, false) => Verdict::Broken,
        (_, true) => Verdict::Held,
    }
}
