//! Tests a query across processes: from the entry VM to a remote owner, a leaf, and back.

use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, Fleet, Plan, wait_until};
use geraniummount_test_support::leaf::Behaviour;
use serde_json::{Value, json};

const LEAVES: usize = 8;
const SNAPSHOT: u64 = 42;

fn plan() -> Plan {
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount"))
        .domain("arusha-a", 1)
        .domain("arusha-b", 2);
    for number in 1..=LEAVES {
        let domain = if number % 2 == 0 {
            "arusha-a"
        } else {
            "arusha-b"
        };
        let behaviour = Behaviour {
            shards: vec![format!("counter-desk/{number}")],
            snapshots: vec![SNAPSHOT],
            ..Behaviour::default()
        };
        plan = plan.leaf(&format!("leaf-{number}"), domain, behaviour);
    }
    plan
}

fn counter_desk() -> Value {
    let shards: Vec<Value> = (1..=LEAVES)
        .map(|number| json!({"name": number.to_string(), "replicas": [format!("leaf-{number}")]}))
        .collect();
    json!({
        "name": "counter-desk",
        "shards": shards,
        "deadline_ms": 1_000,
        "max_deadline_ms": 10_000,
        "prefer": "coverage",
    })
}

#[test]
fn query_path_crosses_three_processes_in_two_failure_domains() {
    let fleet = Fleet::start(plan()).expect("the fleet starts");
    let entry = &fleet.vms_in("arusha-a")[0];
    fleet.apply_with_leaves(entry, &[counter_desk()]);
    let caller = fleet.caller(entry);
    let mut answer = Value::Null;
    let is_complete = wait_until(CONVERGENCE_TIMEOUT, || {
        let body = json!({"ticket": "rope"});
        let path = "/v1/services/counter-desk/query?explain=true";
        let headers = [("Request-Id", "rope-1")];
        if let Ok(reply) = caller.call("POST", path, &headers, body.to_string()) {
            answer = reply.body;
        }
        answer["coverage"]["missing"] == json!([])
    });
    assert!(is_complete, "the answer lacks shards: {answer}");
    let shards: Vec<String> = (1..=LEAVES).map(|number| number.to_string()).collect();
    assert_eq!(answer["request_id"], "rope-1");
    assert_eq!(answer["snapshot"], SNAPSHOT);
    assert_eq!(answer["coverage"]["included"], json!(shards));
    let results = answer["results"]
        .as_array()
        .expect("the answer has results");
    assert_eq!(results.len(), LEAVES);
    for result in results {
        let shard = result["shard"]
            .as_str()
            .expect("the result names its shard");
        assert_eq!(result["body"]["snapshot"], SNAPSHOT);
        assert_eq!(result["body"]["leaf"], format!("leaf-{shard}"));
        assert_eq!(result["body"]["query"], json!({"ticket": "rope"}));
        let log = fleet.leaf(&format!("leaf-{shard}")).leaf.log();
        assert!(log.iter().any(|entry| entry.request == "rope-1"));
    }
    check_owners(&fleet, &answer);
}

/// Checks that each leaf was reached through a VM of its own failure domain.
fn check_owners(fleet: &Fleet, answer: &Value) {
    let traces = answer["explain"]
        .as_array()
        .expect("the answer has an explanation");
    assert_eq!(traces.len(), LEAVES);
    for trace in traces {
        let leaf = fleet.leaf(trace["leaf"].as_str().expect("the trace names the leaf"));
        let owner = fleet.vm(trace["owner"].as_str().expect("the trace names the owner"));
        assert_eq!(owner.failure_domain, leaf.failure_domain, "{trace}");
    }
}
