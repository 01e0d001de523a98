//! QUOTA: the machine that counts for its zone is turned away by the store while a version adds a
//! tenant.

use crate::Verdict;
use crate::leaf::Manner;
use crate::machine::Bounds;
use crate::record::Record;
use crate::scene::{LIMITS, Load, Scene, most_within, services};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const RATE: f64 = 5.0;
const BURST: f64 = 5.0;
/// Requests a second of the new tenant: 7.5 times the usual 3.125 of a quota of 5.
const SENT_PER_SECOND: f64 = 23.0;
/// Time for which the store turns the machine away.
const TURNED_AWAY: Duration = Duration::from_secs(9);

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
            slots: 16,
            queue: 64,
            work: Duration::from_millis(20),
        });
    }
    let old = tenant("desk", "key-of-desk", 50.0, 50.0);
    scene.configure(&document(7, &old));
    if !scene.start() {
        return Verdict::NotRun("machines are not ready".to_string());
    }
    // The machines need some seconds to settle who counts for each zone.
    thread::sleep(Duration::from_secs(8));
    let usual = Load {
        per_second: 5.0,
        time: Duration::from_secs(14),
        host: "ledger.example".to_string(),
        path: "/ledger/".to_string(),
        deadline_ms: 5_000,
        key: Some("key-of-desk".to_string()),
    };
    let mut loads: Vec<_> = (0..4)
        .map(|index| scene.load(&usual, scene.front(index)))
        .collect();
    thread::sleep(Duration::from_secs(2));
    let counts = |index: &usize| {
        let loans = scene.machines[*index].metric("gateway_quota_loans");
        loans.is_some_and(|loans| loans > 0.0)
    };
    let Some(counting) = (0..2).find(counts) else {
        return Verdict::NotRun("no machine of zone kgl-a counts quotas".to_string());
    };
    let other = 1 - counting;
    let name = &scene.machines[counting].name;
    record.say(format!("{name} counts the quotas of its zone"));
    if trouble {
        record.say(format!("the store turns {name} away (503)"));
        scene.machines[counting]
            .entrance
            .is_shut
            .store(true, Ordering::Relaxed);
    }
    let shut_at = record.now();
    thread::sleep(Duration::from_millis(500));
    let new = tenant("nova", "key-of-nova", RATE, BURST);
    scene.configure(&document(12, &format!("{old},{new}")));
    thread::sleep(Duration::from_millis(1_000));
    let hot = Load {
        per_second: SENT_PER_SECOND,
        time: Duration::from_millis(7_000),
        key: Some("key-of-nova".to_string()),
        ..usual.clone()
    };
    loads.push(scene.load(&hot, scene.front(other)));
    let left = TURNED_AWAY.saturating_sub(Duration::from_millis(record.now() - shut_at));
    thread::sleep(left);
    if trouble {
        record.say("the store serves all machines again");
        scene.machines[counting]
            .entrance
            .is_shut
            .store(false, Ordering::Relaxed);
    }
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
        .filter(|run| run.tenant.as_deref() == Some("nova"));
    let ran: BTreeSet<&str> = of_tenant.map(|run| run.id.as_str()).collect();
    let sent = scene.sent.lock().unwrap();
    let times = sent
        .iter()
        .filter(|sent| ran.contains(sent.id.as_str()))
        .map(|sent| sent.at);
    let (most, begin) = most_within(times.collect(), 5_000);
    let answered = sent.iter().filter(|sent| sent.status == Some(200)).count();
    let record = &scene.record;
    record.say(format!(
        "{} requests sent, {answered} answered with 200",
        sent.len()
    ));
    record.say(format!(
        "tenant nova: {} requests ran; {most} of those sent in the 5 s from {begin} ran; the rule \
         allows {bound:.0}",
        ran.len()
    ));
    match most as f64 > bound {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
