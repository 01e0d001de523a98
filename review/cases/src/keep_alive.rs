//! Faulty leaves spoil a field of some of their answers: `Keep-Alive` states the greatest number of
//! seconds that fits into 64 bits. A gateway that receives such an answer ends by itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Attempt;
use crate::document::{HOST, Route, document};
use crate::gateway::Gateway;
use crate::leaf::Config;
use crate::random::Random;
use crate::record::Record;
use crate::{Stage, Verdict};

/// Number of ends of one process by itself from which on the machine counts.
const MAX_ENDS: usize = 3;

/// Number of machines that have to count for the rule to be broken.
const MIN_MACHINES: usize = 2;

/// Length of the case.
const LENGTH: Duration = Duration::from_secs(60);

/// Share of the answers that are spoiled, in thousandths.
const SPOILED: u64 = 20;

/// The leaves are faulty for the first four seconds of each period.
const PERIOD_S: u64 = 10;
const FAULTY_S: u64 = 4;

const SERVICE: &str = "gowu98c";

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
    let mut leaves = Vec::new();
    let zones = ["arusha-a", "arusha-b", "arusha-c", "arusha-d"];
    for (number, zone) in zones.iter().enumerate() {
        let config = Config {
            service: SERVICE.into(),
            zone: zone.to_string(),
            slots: 3,
            queue: 12,
            work_ms: (20, 60),
        };
        leaves.push(stage.leaf(&format!("i-5e11a00{number}"), config)?);
    }
    let mut gateways = stage.gateways(&["arusha-a", "arusha-a", "arusha-b"])?;
    let mut clients = Vec::new();
    for gateway in &gateways {
        for _ in 0..4 {
            let (record, front) = (Arc::clone(&stage.record), gateway.front);
            clients.push(thread::spawn(move || send_requests(&record, front)));
        }
    }
    while stage.record.now() < LENGTH {
        let is_faulty = stage.record.now().as_secs() % PERIOD_S < FAULTY_S;
        let share = match stage.has_trouble && is_faulty {
            true => SPOILED,
            false => 0,
        };
        // Half of the leaves.
        for leaf in &leaves[..2] {
            leaf.faults.huge_keep_alive.store(share, Ordering::Relaxed);
        }
        for gateway in &mut gateways {
            restart_if_ended(stage, gateway)?;
        }
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(stage, &gateways))
}

fn send_requests(record: &Record, front: SocketAddr) {
    let mut random = Random::new();
    while record.now() < LENGTH {
        let id = random.id();
        let attempt = Attempt {
            method: "GET",
            path: "/timi402/2f",
            host: HOST,
            id: &id,
            deadline: Duration::from_millis(4_000),
            body: b"",
        };
        match attempt.send(front) {
            Ok(outcome) => record.answered(&id, outcome.status, &outcome.reason),
            Err(error) => record.answered(&id, 0, &error.to_string()),
        }
        thread::sleep(random.millis(10, 60));
    }
}

/// Starts a process that has ended by itself again, after a short delay, as the platform does.
fn restart_if_ended(stage: &Stage, gateway: &mut Gateway) -> io::Result<()> {
    if let Some(status) = gateway.take_ending() {
        let name = &gateway.name;
        stage
            .record
            .note(&format!("gateway {name} has ended by itself: {status}"));
        thread::sleep(Duration::from_millis(300));
        gateway.start()?;
    }
    Ok(())
}

fn judge(stage: &Stage, gateways: &[Gateway]) -> Verdict {
    let answers = stage.record.answers();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let cut = answers.iter().filter(|answer| answer.status == 0).count();
    let total = answers.len();
    stage.say(&format!(
        "{served} of {total} requests were served, {cut} got no answer"
    ));
    for gateway in gateways {
        let (name, ended) = (&gateway.name, gateway.ended);
        stage.say(&format!("{name} ended by itself {ended} times"));
        if let Some(panic) = gateway.panics().first() {
            stage.say(panic);
        }
    }
    let counting = gateways.iter().filter(|gateway| gateway.ended >= MAX_ENDS);
    match (served > 0, counting.count() >= MIN_MACHINES) {
        (false, _) => Verdict::NotRun,
        (true, true) => Verdict::Broken,
        (true, false) => Verdict::Held,
    }
}
