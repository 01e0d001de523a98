//! QUOTA: a version without a tenant and one with it again follow each other within a second or two.

use crate::Verdict;
use crate::leaf::Manner;
use crate::machine::Bounds;
use crate::record::Record;
use crate::scene::{LIMITS, Load, Scene, most_within, services};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const RATE: f64 = 20.0;
const BURST: f64 = 100.0;

fn document(version: u64, tenants: &str) -> String {
    let services = services(&["ledger"]);
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-ledger\",\"host\":\"ledger.example\",\
         \"prefix\":\"/ledger/\",\"type\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\
         \"priority\":2,\"attempts\":2,\"backend\":\"ledger\",\"allowAnonymous\":false}}],\
         \"services\":[{services}],\"limits\":{LIMITS},\"tenants\":[{tenants}]}}"
    )
}

fn tenant(name: &str, key: &str, rate: f64, burst: f64) -> String {
    format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"ratePerS\":{rate},\"burst\":{burst}}}")
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let bounds = Bounds {
        drain_ms: 5_000,
        config_apply_ms: 5_000,
        revoke_ms: Some(5_000),
        zones: "kgl-a=rw-kigali,kgl-b=rw-kigali".to_string(),
    };
    let mut scene = Scene::new(record, &bounds, &["kgl-a", "kgl-a", "kgl-b", "kgl-b"]);
    for (number, zone) in [(1, "kgl-a"), (2, "kgl-a"), (3, "kgl-b"), (4, "kgl-b")] {
        scene.add_leaf(Manner {
            service: "ledger".to_string(),
            id: format!("i-ledger-{number}"),
            zone: zone.to_string(),
            slots: 32,
            queue: 64,
            work: Duration::from_millis(20),
        });
    }
    let desk = tenant("desk", "key-of-desk", 50.0, 50.0);
    let shop = tenant("shop", "key-of-shop", RATE, BURST);
    let both = format!("{desk},{shop}");
    scene.configure(&document(7, &both));
    if !scene.start() {
        return Verdict::NotRun("machines are not ready".to_string());
    }
    // The tenant is idle until its whole burst may be used.
    thread::sleep(Duration::from_secs(16));
    let hot = Load {
        per_second: 23.0,
        time: Duration::from_millis(7_000),
        host: "ledger.example".to_string(),
        path: "/ledger/".to_string(),
        deadline_ms: 5_000,
        key: Some("key-of-shop".to_string()),
    };
    let loads: Vec<_> = (0..4)
        .map(|index| scene.load(&hot, scene.front(index)))
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let without = if trouble { &desk } else { &both };
    record.say(format!(
        "the next version names the tenant shop: {}",
        !trouble
    ));
    scene.configure(&document(9, without));
    thread::sleep(Duration::from_millis(1_000));
    record.say("the next version names the tenant shop as before");
    scene.configure(&document(14, &both));
    for load in loads {
        let _ = load.join();
    }
    judge(&scene)
}

/// QUOTA: in no window do more requests of the tenant run, of those sent in it, than its quota.
fn judge(scene: &Scene) -> Verdict {
    let bound = (RATE * 5.0 + BURST) * 1.1 + 20.0;
    let runs = scene.field.runs.lock().unwrap();
    let of_tenant = runs
        .iter()
        .filter(|run| run.tenant.as_deref() == Some("shop"));
    let ran: BTreeSet<&str> = of_tenant.map(|run| run.id.as_str()).collect();
    let sent = scene.sent.lock().unwrap();
    let times = sent
        .iter()
        .filter(|sent| ran.contains(sent.id.as_str()))
        .map(|sent| sent.at);
    let (most, begin) = most_within(times.collect(), 5_000);
    let record = &scene.record;
    let count = |status| {
        sent.iter()
            .filter(|sent| sent.status == Some(status))
            .count()
    };
    record.say(format!(
        "{} requests sent: {} answered with 200, {} with 401, {} with 429, {} with 503",
        sent.len(),
        count(200),
        count(401),
        count(429),
        count(503)
    ));
    record.say(format!(
        "tenant shop: {} requests ran; {most} of those sent in the 5 s from {begin} ran; the rule \
         allows {bound:.0}",
        ran.len()
    ));
    match most as f64 > bound {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
