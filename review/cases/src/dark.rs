//! A request ends each leaf that begins to run it, and the leaf falls silent: no connection of it is
//! closed. It is back after some seconds. The request comes again, at any machine.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Attempt;
use crate::document::{HOST, Route, document};
use crate::leaf::{Config, Leaf};
use crate::random::Random;
use crate::record::Record;
use crate::{Stage, Verdict};

const LENGTH: Duration = Duration::from_secs(60);

/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);

/// Number of retries that may reach leaves after that time.
const MAX_RETRIES: usize = 3;

/// Time after which a leaf is back; its entry is removed after three heartbeats of 1.2 s.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
const DOWN_TIME: Duration = Duration::from_millis(4_300);

const SERVICE: &str = "gowu98c";
const POISON: &str = "/timi402/b7";

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let route = Route {
        prefix: "/timi402/",
        kind: "idempotent",
        service: SERVICE,
        attempts: 2,
        timeout_ms: 4_000,
        target_ms: 400,
    };
    stage
        .store
        .put("op/config", &document(3, &[route], &[(SERVICE, 100)]));
    let zones = ["arusha-a", "arusha-a", "arusha-b", "arusha-c", "arusha-d"];
    let mut leaves = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        leaves.push(start(stage, 0, number, zone, None)?);
    }
    let gateways = stage.gateways(&["arusha-a", "arusha-b", "arusha-c"])?;
    let mut clients = Vec::new();
    for gateway in &gateways {
        for _ in 0..3 {
            let (record, front) = (Arc::clone(&stage.record), gateway.front);
            clients.push(thread::spawn(move || send_lookups(&record, front)));
        }
    }
    let mut random = Random::new();
    let mut down: Vec<(usize, Duration, bool)> = Vec::new();
    let mut next = Duration::from_secs(5);
    let mut starts = 0;
    while stage.record.now() < LENGTH {
        thread::sleep(Duration::from_millis(50));
        let now = stage.record.now();
        if now > next {
            next = now + Duration::from_secs(3);
            let gateway = &gateways[random.between(0, 2) as usize];
            let (record, front) = (Arc::clone(&stage.record), gateway.front);
            record.note(&format!("the request comes at {}", gateway.name));
            thread::spawn(move || send(&record, front, POISON, &mut Random::new()));
        }
        for (number, leaf) in leaves.iter().enumerate() {
            if leaf.is_dark() && down.iter().all(|(known, ..)| *known != number) {
                down.push((number, now, false));
            }
        }
        for (number, since, is_removed) in &mut down {
            if !*is_removed && now > *since + ENTRY_TIME {
                *is_removed = true;
                stage
                    .store
                    .remove(&format!("servers/{}", leaves[*number].id));
            }
            if now > *since + DOWN_TIME {
                starts += 1;
                let address = leaves[*number].address;
                leaves[*number].end();
                thread::sleep(Duration::from_millis(100));
                leaves[*number] = start(stage, starts, *number, zones[*number], Some(address))?;
                *since = Duration::MAX;
            }
        }
        down.retain(|(_, since, _)| *since != Duration::MAX);
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(stage))
}

/// Starts a leaf, at the address that it had before if it had one.
fn start(
    stage: &Stage,
    round: usize,
    number: usize,
    zone: &str,
    before: Option<SocketAddr>,
) -> io::Result<Leaf> {
    let config = Config {
        service: SERVICE.into(),
        zone: zone.into(),
        slots: 3,
        queue: 12,
        work_ms: (40, 140),
    };
    let address = before.map_or("127.0.0.1:0".into(), |address| address.to_string());
    let listener = TcpListener::bind(address)?;
    let leaf = stage.leaf_on(&format!("i-5e{round:04}{number}"), listener, config)?;
    if stage.has_trouble {
        *leaf.faults.poison.lock().unwrap() = POISON.into();
    }
    Ok(leaf)
}

fn send_lookups(record: &Record, front: SocketAddr) {
    let mut random = Random::new();
    while record.now() < LENGTH {
        let path = format!("/timi402/c{}", random.between(0, 1_000_000));
        send(record, front, &path, &mut random);
        thread::sleep(random.millis(100, 300));
    }
}

fn send(record: &Record, front: SocketAddr, path: &str, random: &mut Random) {
    let id = random.id();
    let attempt = Attempt {
        method: "GET",
        path,
        host: HOST,
        id: &id,
        deadline: Duration::from_millis(4_000),
        body: b"",
    };
    if path == POISON {
        record.ordered(&id);
    }
    let (status, what) = match attempt.send(front) {
        Ok(outcome) => (outcome.status, outcome.reason),
        Err(error) => (0, error.to_string()),
    };
    record.answered(&id, status, &format!("{path} {what}"));
}

fn judge(stage: &Stage) -> Verdict {
    let ids: BTreeSet<String> = stage.record.orders().into_iter().collect();
    let runs = stage.record.runs();
    let runs: Vec<_> = runs.iter().filter(|run| ids.contains(&run.id)).collect();
    let answers = stage.record.answers();
    let others = answers.iter().filter(|answer| !ids.contains(&answer.id));
    let (served, failed): (Vec<_>, Vec<_>) = others.partition(|answer| answer.status == 200);
    stage.say(&format!(
        "the request came {} times and began to run {} times; of the others {} were served and {} were not",
        ids.len(),
        runs.len(),
        served.len(),
        failed.len()
    ));
    if served.is_empty() || runs.len() < 3 {
        return Verdict::NotRun;
    }
    if !stage.has_trouble {
        stage.say("no leaf has ended");
        return Verdict::Held;
    }
    let from = runs[2].at + CONTACT;
    let late = runs.iter().filter(|run| run.at > from);
    let late: BTreeSet<&str> = late.map(|run| run.id.as_str()).collect();
    stage.say(&format!(
        "{} retries reached leaves later than {:.3} s, which is contactMs after the third leaf ended",
        late.len(),
        from.as_secs_f64()
    ));
    match late.len() > MAX_RETRIES {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
