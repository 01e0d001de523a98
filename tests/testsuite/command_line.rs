//! Runs the binary and checks the exit codes and output of its subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use geraniummount_test_support::fleet::{CONVERGENCE_TIMEOUT, Fleet, Plan, wait_until};
use geraniummount_test_support::leaf::{Behaviour, Fault};
use geraniummount_test_support::platform::Outage;
use serde_json::{Value, json};

use crate::operators_listener::Listener;

const BINARY: &str = env!("CARGO_BIN_EXE_geraniummount");

const RESOURCES: &str = r#"[
    {"service": {"name": "all", "deadline_ms": 200, "max_deadline_ms": 2000,
        "includes": ["s1"]}},
    {"service": {"name": "s1", "deadline_ms": 200, "max_deadline_ms": 2000,
        "shards": [{"name": "a", "replicas": ["l1"]}]}},
    {"leaf": {"name": "l1", "address": "10.0.0.9:8000", "failure_domain": "d1",
        "contract": {"slots": 2, "connections": 25, "open_ms": 6}}}
]"#;

const LEAF: &str = r#"{"leaf": {"name": "l1", "address": "10.0.0.9:8001", "failure_domain": "d1",
    "contract": {"slots": 2, "connections": 25, "open_ms": 6}}}"#;

/// Directory with the files of one test, which is removed at the end of the test.
pub struct TestDir {
    path: PathBuf,
}

impl TestDir {
    pub fn new(test: &str) -> TestDir {
        let name = format!("geraniummount-{test}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("create the test directory");
        TestDir { path }
    }

    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path.join(name), text).expect("write the test file");
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        // A directory that cannot be removed does not affect other runs.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Invocation of the binary, with its exit code and a part of its output.
pub struct Case {
    pub name: &'static str,
    pub args: &'static [&'static str],
    pub code: i32,
    pub expected_output: &'static str,
}

pub fn check(dir: &TestDir, server: &str, cases: &[Case]) {
    for case in cases {
        let output = Command::new(BINARY)
            .args(case.args)
            .current_dir(&dir.path)
            .env("GERANIUMMOUNT_SERVER", server)
            .env("GERANIUMMOUNT_CALLER", server)
            .output()
            .expect("run the binary");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8_lossy(&printed);
        let code = output.status.code();
        assert_eq!(code, Some(case.code), "{}: {printed}", case.name);
        assert!(
            printed.contains(case.expected_output),
            "{}: {printed}",
            case.name
        );
    }
}

const WITHOUT_SERVER: &[Case] = &[
    Case {
        name: "no subcommand",
        args: &[],
        code: 2,
        expected_output: "Usage: geraniummount",
    },
    Case {
        name: "unknown kind",
        args: &["get", "shelf"],
        code: 2,
        expected_output: "kind: `shelf` is unknown; allowed: leaf, service",
    },
    Case {
        name: "invalid settings",
        args: &["check", "--settings", "bad.ini"],
        code: 3,
        expected_output: "bad.ini:2: [node] name: found 'a 1'",
    },
    Case {
        name: "serve with invalid settings",
        args: &["serve", "--settings", "bad.ini"],
        code: 3,
        expected_output: "[platform] address: found no such key",
    },
    Case {
        name: "missing settings file",
        args: &["check", "--settings", "no-such.ini"],
        code: 3,
        expected_output: "no-such.ini: (file): found No such file",
    },
    Case {
        name: "missing resource file",
        args: &["apply", "-f", "no-such.json"],
        code: 3,
        expected_output: "no-such.json: can't be read",
    },
    Case {
        name: "item that is not a resource",
        args: &["apply", "-f", "broken.json"],
        code: 3,
        expected_output: "item 1: unknown variant `shelf`, expected `leaf` or `service`",
    },
    Case {
        name: "--if-generation for several resources",
        args: &["apply", "-f", "resources.json", "--if-generation", "1"],
        code: 2,
        expected_output: "has 3 resources, but --if-generation needs exactly one",
    },
    Case {
        name: "get from an unreachable server",
        args: &["get", "leaf"],
        code: 5,
        expected_output: "do: name the operators' listener of a live VM",
    },
    Case {
        name: "query to an unreachable server",
        args: &["query", "s1"],
        code: 5,
        expected_output: "do: name the callers' listener of a live VM",
    },
    Case {
        name: "query with a body that is not JSON",
        args: &["query", "s1", "--body", "rope"],
        code: 3,
        expected_output: "--body is not JSON",
    },
];

#[test]
fn failures_without_a_server_have_their_exit_codes() {
    let dir = TestDir::new("no-server");
    dir.write("bad.ini", "[node]\nname = a 1\n");
    dir.write("resources.json", RESOURCES);
    dir.write(
        "broken.json",
        r#"[{"leaf": {"name": "l1"}}, {"shelf": {}}]"#,
    );
    check(&dir, "127.0.0.1:9", WITHOUT_SERVER);
}

const WITH_SERVER: &[Case] = &[
    Case {
        name: "apply orders leaves before services, and services after those they include",
        args: &["apply", "-f", "resources.json"],
        code: 0,
        expected_output: "KIND     NAME  GENERATION  RESULT\n\
                     leaf     l1    1           applied\n\
                     service  s1    2           applied\n\
                     service  all   3           applied\n",
    },
    Case {
        name: "list of leaves",
        args: &["get", "leaf"],
        code: 0,
        expected_output: "l1    1           d1      10.0.0.9:8000  serving  2      25\n",
    },
    Case {
        name: "one service as JSON",
        args: &["get", "service", "s1", "--json"],
        code: 0,
        expected_output: "\"generation\": 2",
    },
    Case {
        name: "no such resource",
        args: &["get", "leaf", "l9"],
        code: 9,
        expected_output: "no leaf `l9`",
    },
    Case {
        name: "stale generation",
        args: &["apply", "-f", "leaf.json", "--if-generation", "9"],
        code: 4,
        expected_output: "made for generation 9, but the resource has generation 1",
    },
    Case {
        name: "deletion of a leaf in use",
        args: &["delete", "leaf", "l1"],
        code: 3,
        expected_output: "fault: name: in use by service `s1`; \
            allowed: a resource that no service uses",
    },
    Case {
        name: "dump as aligned text",
        args: &["dump"],
        code: 0,
        expected_output: "leaves\n  leaf  queued\n  l1    3\n  l2    10\n",
    },
    Case {
        name: "watch from an earlier revision",
        args: &["watch", "--from", "0", "--count", "1"],
        code: 0,
        expected_output: "revision 3\n",
    },
];

const PLATFORM_DOWN: &[Case] = &[Case {
    name: "platform rejects calls",
    args: &["apply", "-f", "leaf.json"],
    code: 7,
    expected_output: "do: try again in ",
}];

const REPLY_LOST: &[Case] = &[Case {
    name: "lost reply of the platform",
    args: &["delete", "service", "all"],
    code: 6,
    expected_output: "was sent to the platform, but no answer came back",
}];

#[test]
fn server_responses_have_their_exit_codes() {
    let dir = TestDir::new("server");
    dir.write("resources.json", RESOURCES);
    dir.write("leaf.json", LEAF);
    let listener = Listener::start();
    let address = listener.server.address().to_string();
    check(&dir, &address, WITH_SERVER);
    let platform = &listener.platform;
    platform.change(|behaviour| behaviour.outage = Outage::Reject);
    check(&dir, &address, PLATFORM_DOWN);
    platform.change(|behaviour| behaviour.outage = Outage::None);
    listener.lose_reply(|| check(&dir, &address, REPLY_LOST));
}

const QUERIES: &[Case] = &[
    Case {
        name: "query of two shards",
        args: &[
            "query",
            "desk",
            "--body",
            "{\"text\": \"rope\"}",
            "--request-id",
            "r-7",
        ],
        code: 0,
        expected_output: "request   r-7\nsnapshot  1\nrevision  3\ncoverage  2 of 2 shards\n",
    },
    Case {
        name: "owner, replica and attempts of each shard",
        args: &["query", "desk", "--explain"],
        code: 0,
        expected_output: "shard  leaf    owner  attempts  hedges  took_ms\n",
    },
    Case {
        name: "answer as JSON",
        args: &["query", "desk", "--json"],
        code: 0,
        expected_output: "\"missing\": []",
    },
    Case {
        name: "non-idempotent request",
        args: &[
            "query",
            "desk",
            "--non-idempotent",
            "--shard",
            "1",
            "--key",
            "order-7",
        ],
        code: 0,
        expected_output: "coverage  1 of 1 shards\n",
    },
    Case {
        name: "non-idempotent request with the same key",
        args: &[
            "query",
            "desk",
            "--non-idempotent",
            "--shard",
            "1",
            "--key",
            "order-7",
        ],
        code: 8,
        expected_output: "service desk: duplicate-key",
    },
    Case {
        name: "non-idempotent request without a shard",
        args: &["query", "desk", "--non-idempotent"],
        code: 2,
        expected_output: "--shard <SHARD>",
    },
    Case {
        name: "non-idempotent request to an unknown shard",
        args: &["query", "desk", "--non-idempotent", "--shard", "9"],
        code: 9,
        expected_output: "shard `9` is not in the service",
    },
    Case {
        name: "unknown service",
        args: &["query", "shelf"],
        code: 9,
        expected_output: "service `shelf` is not declared",
    },
    Case {
        name: "deadline above the service's maximum",
        args: &["query", "desk", "--deadline-ms", "60000"],
        code: 3,
        expected_output: "send a whole number from 1 to 20000",
    },
    Case {
        name: "load",
        args: &["load", "desk", "--rate", "20", "--seconds", "1"],
        code: 0,
        expected_output: "sent           20\nanswered       20\n",
    },
    Case {
        name: "load with a plot file that cannot be written",
        args: &["load", "desk", "--timeline", "--plot", "nowhere/run.svg"],
        code: 3,
        expected_output: "nowhere/run.svg: can't be written",
    },
    Case {
        name: "load with metrics of an unreachable VM",
        args: &["load", "desk", "--operator", "127.0.0.1:1"],
        code: 5,
        expected_output: "metrics of 127.0.0.1:1",
    },
];

const WRONG_SNAPSHOT: &[Case] = &[Case {
    name: "all answers are from another snapshot than requested",
    args: &["query", "desk", "--deadline-ms", "2000"],
    code: 10,
    expected_output: "it ran, but the answer was lost",
}];

#[test]
fn queries_report_their_outcome() {
    let dir = TestDir::new("queries");
    let mut plan = Plan::new(BINARY).domain("d1", 1);
    for number in 1..=2 {
        let behaviour = Behaviour {
            shards: vec![format!("desk/{number}")],
            ..Behaviour::default()
        };
        plan = plan.leaf(&format!("desk-{number}"), "d1", behaviour);
    }
    let fleet = Fleet::start(plan).expect("start the fleet");
    let entry = &fleet.vms_in("d1")[0];
    let service = json!({
        "name": "desk",
        "shards": [
            {"name": "1", "replicas": ["desk-1"]},
            {"name": "2", "replicas": ["desk-2"]},
        ],
        "deadline_ms": 20_000,
        "max_deadline_ms": 20_000,
    });
    fleet.apply_with_leaves(entry, &[service]);
    // On a busy machine, the leaves may not have been asked for their snapshots yet. Until then,
    // answers are incomplete.
    let is_complete = wait_until(CONVERGENCE_TIMEOUT, || {
        let reply = fleet.caller(entry).query("desk", &[], &json!({}));
        reply.is_ok_and(|reply| reply.body["coverage"]["missing"] == json!([]))
    });
    assert!(is_complete, "no complete answer before the timeout");
    let server = fleet.vm(entry).caller.to_string();
    check(&dir, &server, QUERIES);
    check_load_report(&dir, fleet.vm(entry).caller, fleet.vm(entry).operator);
    for other in &fleet.leaves {
        other.leaf.inject_always(Some(Fault::WrongSnapshot));
    }
    check(&dir, &server, WRONG_SNAPSHOT);
}

/// Checks the report of a load run: totals, one timeline entry per second, extra load and a plot.
fn check_load_report(dir: &TestDir, caller: SocketAddr, operator: SocketAddr) {
    let flags = "load desk --rate 20 --seconds 3 --json --timeline --plot run.svg";
    let output = Command::new(BINARY)
        .args(flags.split(' '))
        .args([
            "--server",
            &caller.to_string(),
            "--operator",
            &operator.to_string(),
        ])
        .current_dir(&dir.path)
        .output()
        .expect("run the binary");
    let result: Value = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    assert_eq!(result["sent"], 60, "{result}");
    assert!(result["extra_percent"].is_number(), "{result}");
    assert_eq!(result["metrics_unknown"], json!([]), "{result}");
    let lines = result["timeline"]
        .as_array()
        .expect("the timeline is an array");
    assert_eq!(lines.len(), 3, "{result}");
    let sent: u64 = lines.iter().filter_map(|line| line["sent"].as_u64()).sum();
    assert_eq!(sent, 60, "{result}");
    let plot = std::fs::read_to_string(dir.path.join("run.svg")).expect("read the plot");
    assert!(plot.starts_with("<svg") && plot.contains("mean coverage"));
}
