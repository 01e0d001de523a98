//! RECOVER: a machine is partitioned from all leaves, while an entry of another writer stands in the
//! list of leaves.

use crate::Verdict;
use crate::http::Connection;
use crate::leaf::Manner;
use crate::machine::Bounds;
use crate::record::Record;
use crate::scene::{LIMITS, Load, Scene, Sent, services};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time of the partition.
const CUT: Duration = Duration::from_millis(5_500);
/// Time from the begin of the partition from which on the rule holds.
const CONTACT_MS: u64 = 4_000;
const PER_SECOND: f64 = 40.0;

fn document() -> String {
    let services = services(&["cert", "billing"]);
    let route = |name: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\
             \"type\":\"idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\"priority\":2,\
             \"attempts\":2,\"backend\":\"{name}\"}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{services}],\"limits\":{LIMITS}}}",
        route("cert"),
        route("billing")
    )
}

/// Starts a server of somebody else, which knows none of the paths that it is asked for.
fn start_foreign_server(record: &Arc<Record>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().unwrap();
    let record = Arc::clone(record);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let first = request.first.join(" ");
                    record.add(format!("the foreign server gets: {first}"));
                    if connection.respond(404, &[], b"not found\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let bounds = Bounds {
        drain_ms: 3_000,
        config_apply_ms: 3_000,
        revoke_ms: None,
        zones: "arusha-a=arusha,arusha-b=arusha".to_string(),
    };
    let mut scene = Scene::new(
        record,
        &bounds,
        &["arusha-a", "arusha-a", "arusha-b", "arusha-b"],
    );
    for service in ["cert", "billing"] {
        for (number, zone) in [
            (1, "arusha-a"),
            (2, "arusha-a"),
            (3, "arusha-b"),
            (4, "arusha-b"),
        ] {
            scene.add_leaf(Manner {
                service: service.to_string(),
                id: format!("i-{service}-{number}"),
                zone: zone.to_string(),
                slots: 16,
                queue: 64,
                work: Duration::from_millis(20),
            });
        }
    }
    if std::env::var("FOREIGN").map_or(true, |value| value != "0") {
        let address = start_foreign_server(record);
        let entry = format!(
            "{{\"backend\":\"billing-reports\",\"address\":\"{address}\",\"zone\":\"office\",\
             \"version\":\"2.4\",\"concurrency\":8,\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":17}}"
        );
        scene.store.put("servers/reports-1", Some(&entry));
        record.say("another writer's entry servers/reports-1 names a service of no configuration");
    }
    scene.configure(&document());
    if !scene.start() {
        return Verdict::NotRun("machines are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(3));
    let load = Load {
        per_second: PER_SECOND,
        time: Duration::from_millis(9_500),
        host: "desk.example".to_string(),
        path: "/cert/".to_string(),
        deadline_ms: 2_000,
        key: None,
    };
    let loads: Vec<_> = (0..4)
        .map(|index| scene.load(&load, scene.front(index)))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let machine = &scene.machines[0];
    let cut_at = record.now();
    if trouble {
        record.say(format!("{} is partitioned from all leaves", machine.name));
        scene.field.set_cut(machine.ip, true);
    }
    thread::sleep(CUT);
    if trouble {
        scene.field.set_cut(machine.ip, false);
        record.say("the partition ends");
    }
    for load in loads {
        let _ = load.join();
    }
    let end = cut_at + CUT.as_millis() as u64;
    judge(&scene, cut_at + CONTACT_MS, end)
}

/// RECOVER: while a machine is partitioned from all leaves, its clients' first tries are not served
/// less than two thirds as often as those of the others with more than 10 + 1 in 50 of all failing.
fn judge(scene: &Scene, begin: u64, end: u64) -> Verdict {
    let sent = scene.sent.lock().unwrap();
    let tries: Vec<&Sent> = sent
        .iter()
        .filter(|sent| (begin..end).contains(&sent.at))
        .collect();
    let cut = &scene.machines[0].name;
    let (here, there): (Vec<&Sent>, Vec<&Sent>) =
        tries.iter().partition(|sent| sent.machine == *cut);
    let served = |tries: &[&Sent]| tries.iter().filter(|sent| sent.status == Some(200)).count();
    let (served_here, served_there) = (served(&here), served(&there));
    let share = |served: usize, all: usize| served as f64 / all.max(1) as f64;
    let failed_here = here.len() - served_here;
    let allowed = 10.0 + tries.len() as f64 / 50.0;
    let record = &scene.record;
    record.say(format!(
        "tries from {begin} to {end}: {served_here} of {} served at {cut}, {served_there} of {} at the \
         others; {failed_here} failed there, {allowed:.0} are allowed",
        here.len(),
        there.len()
    ));
    for line in scene.log_lines("leaf-links").iter().take(12) {
        record.add(format!("log: {line}"));
    }
    let is_rare = share(served_here, here.len()) < 2.0 / 3.0 * share(served_there, there.len());
    match is_rare && failed_here as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
