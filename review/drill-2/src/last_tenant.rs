//! New versions of the configuration take the keys of both tenants away, those of the last one too.

use std::thread;
use std::time::Duration;

use crate::fleet::{Gateway, Terms};
use crate::leaf::Leaves;
use crate::store::Store;
use crate::{Place, Verdict, client};

/// Keys of the two tenants, and one that no configuration has ever held.
const FIRST_KEY: &str = "buc7takhi73vr5y2dexh";
const LAST_KEY: &str = "rodo4wimu81ca0zeqalu";
const UNKNOWN_KEY: &str = "neverheldbyanyone000";

/// Bound on the use of a key after it was taken away, as in the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Requests with each key that are sent after the bound.
const REQUESTS: usize = 10;

pub fn play(place: &Place) -> Verdict {
    let record = &place.record;
    let store = Store::start();
    let leaves = Leaves::new(record);
    for (id, zone) in [("i-1", "za"), ("i-2", "zb")] {
        let leaf = leaves.start(id, zone, "desk", 5..=5);
        store.put(&leaf.key(), &leaf.registration(1, "ready"));
    }
    let first = format!(r#"{{"name":"ralo620","apiKeys":["{FIRST_KEY}"],"ratePerS":0}}"#);
    let last = format!(r#"{{"name":"zeku411","apiKeys":["{LAST_KEY}"],"ratePerS":0}}"#);
    store.put("op/config", &config(3, &format!("{first},{last}")));
    let terms = Terms {
        bounds: format!("revoke_ms = {}\n", REVOKE.as_millis()),
        ..Terms::default()
    };
    let vms = [("a1", "za"), ("a2", "za"), ("b1", "zb")];
    let start = |(number, vm)| {
        Gateway::start(
            &place.root,
            &place.scratch,
            vm,
            number,
            store.address,
            &terms,
        )
    };
    let mut gateways: Vec<Gateway> = (1..).zip(vms).map(start).collect();
    for gateway in &mut gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            record.say(&format!("vm={} is not ready", gateway.name));
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(2));
    let served = send(place, &gateways[0], &leaves, LAST_KEY, 200);
    if served != 0 {
        record.say("requests with a valid key were not served");
        return Verdict::NotRun;
    }
    store.put("op/config", &config(7, &last));
    record.say("version 7 takes the first tenant away");
    thread::sleep(REVOKE + Duration::from_millis(500));
    let mut wrong = send(place, &gateways[0], &leaves, FIRST_KEY, 401);
    if place.has_trouble {
        store.put("op/config", &config(12, ""));
        record.say("version 12 takes the last tenant away");
        thread::sleep(REVOKE + Duration::from_millis(500));
        for gateway in &gateways {
            wrong += send(place, gateway, &leaves, FIRST_KEY, 401);
            wrong += send(place, gateway, &leaves, LAST_KEY, 401);
        }
    }
    for gateway in &gateways {
        wrong += send(place, gateway, &leaves, UNKNOWN_KEY, 401);
    }
    record.say(&format!(
        "requests that ran though their key must not be used: {wrong}"
    ));
    match wrong {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn config(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"desk","host":"shop.example","prefix":"/desk/","type":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":1,"backend":"desk","attempts":2,"allowAnonymous":false}}],"services":[{{"name":"desk","healthPath":"/health","maxConns":62,"protocol":"h1","tls":false}}],"tenants":[{tenants}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Sends requests with a key; returns how many of them ran although the key must not be used, or were
/// not answered with the status that is expected of a valid one.
fn send(place: &Place, vm: &Gateway, leaves: &Leaves, key: &str, expected: u16) -> usize {
    let Ok(mut connection) = client::connect(vm.front, Duration::from_secs(3)) else {
        place
            .record
            .say(&format!("vm={} refuses connections", vm.name));
        return 0;
    };
    let mut wrong = 0;
    for _ in 0..REQUESTS {
        let id = client::next_id();
        let answer = client::ask_with_key(&mut connection, ("GET", "/desk/2f"), &id, key);
        let status = answer.map_or(0, |answer| answer.status());
        let runs = leaves.runs_of(&id);
        let shown = runs.iter().filter(|run| run.has_key).count();
        let tenant = runs.first().and_then(|run| run.tenant.clone());
        place.record.add(&format!(
            "sent request={id} key={key} vm={} answered={status} runs={} shows_key={shown} tenant={tenant:?}",
            vm.name,
            runs.len()
        ));
        wrong += match expected {
            200 => usize::from(status != 200),
            _ => usize::from(!runs.is_empty()),
        };
    }
    wrong
}
