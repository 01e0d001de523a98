//! CONFIG (`strictRevoke`): a key is revoked, the store comes back from a copy that is older, and
//! machines are restarted in turn meanwhile.

use crate::Verdict;
use crate::leaf::Manner;
use crate::machine::Bounds;
use crate::record::Record;
use crate::scene::{LIMITS, Load, Scene, services};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REVOKE_MS: u64 = 5_000;
/// Time from the copy to the acknowledgement of the revocation.
const COPY_BEFORE: Duration = Duration::from_millis(1_000);
/// Time from the acknowledgement until the store goes away.
const UNTIL_AWAY: Duration = Duration::from_millis(3_000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_000);
/// Time from the return of the store until the operator has written again.
const REWRITE: Duration = Duration::from_millis(2_000);
/// Time between two machines that are stopped.
const GAP: Duration = Duration::from_millis(1_300);
const GRACE: Duration = Duration::from_secs(6);

fn document(version: u64, keys: &str) -> String {
    let services = services(&["ledger"]);
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-ledger\",\"host\":\"ledger.example\",\
         \"prefix\":\"/ledger/\",\"type\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\
         \"priority\":2,\"attempts\":2,\"backend\":\"ledger\",\"allowAnonymous\":false}}],\
         \"services\":[{services}],\"limits\":{LIMITS},\"tenants\":[{{\"name\":\"shop\",\
         \"apiKeys\":[{keys}],\"ratePerS\":0,\"burst\":0}}]}}"
    )
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let bounds = Bounds {
        drain_ms: 5_000,
        config_apply_ms: 5_000,
        revoke_ms: Some(REVOKE_MS),
        zones: "kgl-a=rw-kigali,kgl-b=rw-kigali".to_string(),
    };
    let mut scene = Scene::new(record, &bounds, &["kgl-a", "kgl-b", "kgl-a", "kgl-b"]);
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
    scene.configure(&document(7, "\"key-1\",\"key-2\""));
    if !scene.start() {
        return Verdict::NotRun("machines are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(4));
    let load = Load {
        per_second: 20.0,
        time: Duration::from_secs(13),
        host: "ledger.example".to_string(),
        path: "/ledger/".to_string(),
        deadline_ms: 5_000,
        key: Some("key-1".to_string()),
    };
    let loads: Vec<_> = (0..4)
        .map(|index| scene.load(&load, scene.front(index)))
        .collect();
    thread::sleep(Duration::from_secs(2));
    let copy = scene.store.copy();
    thread::sleep(COPY_BEFORE);
    record.say("the next version revokes key-1");
    let revoked = document(9, "\"key-2\"");
    let acknowledged = scene.configure(&revoked);
    thread::sleep(UNTIL_AWAY);
    if trouble {
        record.say("the store goes away");
        scene.store.go_away();
    }
    let store = Arc::clone(&scene.store);
    let came_back = {
        let record = Arc::clone(record);
        thread::spawn(move || {
            thread::sleep(AWAY);
            if !trouble {
                return;
            }
            store.come_back(copy);
            record.say("the store is back from its copy");
            thread::sleep(REWRITE);
            store.put("op/config", Some(&revoked));
            record.say("operator: the version that revokes key-1 is acknowledged again");
        })
    };
    thread::sleep(Duration::from_millis(200));
    for machine in &mut scene.machines {
        let name = machine.name.clone();
        record.say(format!("{name} gets SIGTERM"));
        machine.stop(GRACE);
        if let Err(error) = machine.start(false) {
            return Verdict::NotRun(format!("{name} does not start: {error}"));
        }
        record.say(format!("{name} is started again"));
        thread::sleep(GAP);
    }
    let _ = came_back.join();
    for load in loads {
        let _ = load.join();
    }
    judge(&scene, acknowledged)
}

/// CONFIG: no request runs that was sent later than `revokeMs` after the acknowledgement.
fn judge(scene: &Scene, acknowledged: u64) -> Verdict {
    let record = &scene.record;
    let sent = scene.sent.lock().unwrap();
    let sent_at: BTreeMap<&str, u64> = sent
        .iter()
        .map(|sent| (sent.id.as_str(), sent.at))
        .collect();
    let runs = scene.field.runs.lock().unwrap();
    let late = runs.iter().filter_map(|run| {
        let after = sent_at.get(run.id.as_str())?.checked_sub(acknowledged)?;
        (after > REVOKE_MS).then_some(after)
    });
    let late: Vec<u64> = late.collect();
    record.say(format!(
        "{} requests ran with key-1 that were sent later than {REVOKE_MS} ms after the \
         acknowledgement, up to {} ms after it; the rule allows none",
        late.len(),
        late.iter().max().copied().unwrap_or(0)
    ));
    for line in scene.log_lines("event=keys").iter().take(60) {
        record.add(format!("log: {line}"));
    }
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
