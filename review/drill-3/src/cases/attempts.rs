//! BUDGET: a machine that is partitioned from all leaves passes requests to another one, which is
//! killed while leaves work on them.

use crate::Verdict;
use crate::leaf::{Manner, Run};
use crate::machine::Bounds;
use crate::record::Record;
use crate::scene::{LIMITS, Load, Scene, services};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SERVICES: [&str; 3] = ["cert", "billing", "gear"];
/// Number of leaves to which a request may be sent.
const ATTEMPTS: usize = 1;
/// Time that a leaf works on a request.
const WORK: Duration = Duration::from_millis(750);
/// Time of the partition.
const CUT: Duration = Duration::from_millis(5_500);

fn document() -> String {
    let routes = SERVICES.map(|name| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\
             \"type\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":1000,\"priority\":2,\
             \"attempts\":{ATTEMPTS},\"backend\":\"{name}\"}}"
        )
    });
    let (routes, services) = (routes.join(","), services(&SERVICES));
    format!("{{\"version\":7,\"routes\":[{routes}],\"services\":[{services}],\"limits\":{LIMITS}}}")
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let bounds = Bounds {
        drain_ms: 3_000,
        config_apply_ms: 3_000,
        revoke_ms: None,
        zones: "arusha-a=arusha,arusha-b=arusha".to_string(),
    };
    let mut scene = Scene::new(record, &bounds, &["arusha-a", "arusha-a", "arusha-b"]);
    for service in SERVICES {
        for (number, zone) in
            (1..=5).zip(["arusha-a", "arusha-a", "arusha-b", "arusha-b", "arusha-b"])
        {
            scene.add_leaf(Manner {
                service: service.to_string(),
                id: format!("i-{service}-{number}"),
                zone: zone.to_string(),
                slots: 8,
                queue: 32,
                work: WORK,
            });
        }
    }
    scene.configure(&document());
    if !scene.start() {
        return Verdict::NotRun("machines are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(3));
    let mut loads = Vec::new();
    for service in SERVICES {
        let load = Load {
            per_second: 8.0,
            time: Duration::from_millis(14_000),
            host: "desk.example".to_string(),
            path: format!("/{service}/"),
            deadline_ms: 2_000,
            key: None,
        };
        loads.push(scene.load(&load, scene.front(0)));
    }
    thread::sleep(Duration::from_secs(7));
    let (ip, name) = (scene.machines[0].ip, scene.machines[0].name.clone());
    if trouble {
        record.say(format!("{name} is partitioned from all leaves"));
        scene.field.set_cut(ip, true);
    }
    thread::sleep(Duration::from_millis(4_000));
    if trouble {
        let other = &mut scene.machines[1];
        record.say(format!("{} is killed", other.name));
        other.kill();
        thread::sleep(Duration::from_millis(500));
        if let Err(error) = other.start(false) {
            return Verdict::NotRun(error.to_string());
        }
        record.say(format!("{} is started again", other.name));
    } else {
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(CUT - Duration::from_millis(4_500));
    if trouble {
        scene.field.set_cut(ip, false);
        record.say("the partition ends");
    }
    for load in loads {
        let _ = load.join();
    }
    judge(&scene)
}

/// BUDGET: no more than three requests run on more leaves than the attempts of their route. Runs at
/// leaves from which the partition has cut off the machine that sent them don't count.
fn judge(scene: &Scene) -> Verdict {
    let cut = scene.machines[0].ip;
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in scene.field.runs.lock().unwrap().iter() {
        if run.from != cut {
            runs.entry(run.id.clone()).or_default().push(run.clone());
        }
    }
    let record = &scene.record;
    let mut over = 0;
    for (id, runs) in &runs {
        let leaves: BTreeSet<&str> = runs.iter().map(|run| run.leaf.as_str()).collect();
        if leaves.len() > ATTEMPTS {
            over += 1;
            let all = runs
                .iter()
                .map(|run| format!("{} at {} by {}", run.leaf, run.at, run.from));
            let all: Vec<String> = all.collect();
            record.say(format!("request {id} ran on {}", all.join(", ")));
        }
    }
    let sent = scene.sent.lock().unwrap();
    let served = sent.iter().filter(|sent| sent.status == Some(200)).count();
    record.say(format!(
        "{} requests sent, {served} answered with 200",
        sent.len()
    ));
    record.say(format!(
        "{over} requests ran on more leaves than the {ATTEMPTS} that their route allows; the rule allows 3"
    ));
    match over > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
