//! The command line as its users meet it: the real binary, its exit codes and
//! the errors that it prints.

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

/// Files of one test, removed at its end.
struct Files {
    folder: PathBuf,
}

impl Files {
    fn new(test: &str) -> Files {
        let name = format!("geraniummount-{test}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("folder");
        Files { folder }
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).expect("file");
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        // What stays behind does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A call of the binary, its exit code and what it prints.
struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    prints: &'static str,
}

fn check(files: &Files, server: &str, cases: &[Case]) {
    for case in cases {
        let output = Command::new(BINARY)
            .args(case.arguments)
            .current_dir(&files.folder)
            .env("GERANIUMMOUNT_SERVER", server)
            .env("GERANIUMMOUNT_CALLER", server)
            .output()
            .expect("binary runs");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8_lossy(&printed);
        let code = output.status.code();
        assert_eq!(code, Some(case.code), "{}: {printed}", case.name);
        assert!(printed.contains(case.prints), "{}: {printed}", case.name);
    }
}

const WITHOUT_SERVER: &[Case] = &[
    Case {
        name: "no subcommand",
        arguments: &[],
        code: 2,
        prints: "Usage: geraniummount",
    },
    Case {
        name: "unknown kind",
        arguments: &["get", "shelf"],
        code: 2,
        prints: "kind: `shelf` is unknown; allowed: leaf, service",
    },
    Case {
        name: "bad settings",
        arguments: &["check", "--settings", "bad.ini"],
        code: 3,
        prints: "bad.ini:2: [node] name: found 'a 1'",
    },
    Case {
        name: "serve with bad settings",
        arguments: &["serve", "--settings", "bad.ini"],
        code: 3,
        prints: "[platform] address: found no such key",
    },
    Case {
        name: "missing settings",
        arguments: &["check", "--settings", "no-such.ini"],
        code: 3,
        prints: "no-such.ini: (file): found No such file",
    },
    Case {
        name: "missing resources",
        arguments: &["apply", "-f", "no-such.json"],
        code: 3,
        prints: "no-such.json: can't be read",
    },
    Case {
        name: "items that are no resources",
        arguments: &["apply", "-f", "broken.json"],
        code: 3,
        prints: "item 1: unknown variant `shelf`, expected `leaf` or `service`",
    },
    Case {
        name: "one generation for three resources",
        arguments: &["apply", "-f", "resources.json", "--if-generation", "1"],
        code: 2,
        prints: "has 3 resources, but --if-generation needs exactly one",
    },
    Case {
        name: "no server",
        arguments: &["get", "leaf"],
        code: 5,
        prints: "do: name the operators' listener of a live VM",
    },
    Case {
        name: "query to no server",
        arguments: &["query", "s1"],
        code: 5,
        prints: "do: name the callers' listener of a live VM",
    },
    Case {
        name: "query that is not JSON",
        arguments: &["query", "s1", "--body", "rope"],
        code: 3,
        prints: "--body is not JSON",
    },
];

#[test]
fn failures_without_a_server_have_their_codes() {
    let files = Files::new("no-server");
    files.write("bad.ini", "[node]\nname = a 1\n");
    files.write("resources.json", RESOURCES);
    files.write(
        "broken.json",
        r#"[{"leaf": {"name": "l1"}}, {"shelf": {}}]"#,
    );
    check(&files, "127.0.0.1:9", WITHOUT_SERVER);
}

const WITH_SERVER: &[Case] = &[
    Case {
        name: "leaves first, then services by what they include",
        arguments: &["apply", "-f", "resources.json"],
        code: 0,
        prints: "KIND     NAME  GENERATION  RESULT\n\
                     leaf     l1    1           applied\n\
                     service  s1    2           applied\n\
                     service  all   3           applied\n",
    },
    Case {
        name: "list",
        arguments: &["get", "leaf"],
        code: 0,
        prints: "l1    1           d1      10.0.0.9:8000  serving  2      25\n",
    },
    Case {
        name: "one in JSON",
        arguments: &["get", "service", "s1", "--json"],
        code: 0,
        prints: "\"generation\": 2",
    },
    Case {
        name: "no such resource",
        arguments: &["get", "leaf", "l9"],
        code: 9,
        prints: "no leaf `l9`",
    },
    Case {
        name: "stale generation",
        arguments: &["apply", "-f", "leaf.json", "--if-generation", "9"],
        code: 4,
        prints: "made for generation 9, but the resource has generation 1",
    },
    Case {
        name: "leaf in use",
        arguments: &["delete", "leaf", "l1"],
        code: 3,
        prints: "fault: name: in use by service `s1`; allowed: a resource that no service uses",
    },
    Case {
        name: "dump as aligned text",
        arguments: &["dump"],
        code: 0,
        prints: "leaves\n  leaf  queued\n  l1    3\n  l2    10\n",
    },
    Case {
        name: "watch of a revision that is past",
        arguments: &["watch", "--from", "0", "--count", "1"],
        code: 0,
        prints: "revision 3\n",
    },
];

const PLATFORM_DOWN: &[Case] = &[Case {
    name: "platform down",
    arguments: &["apply", "-f", "leaf.json"],
    code: 7,
    prints: "do: try again in ",
}];

const REPLY_LOST: &[Case] = &[Case {
    name: "reply of the platform lost",
    arguments: &["delete", "service", "all"],
    code: 6,
    prints: "was sent to the platform, but no answer came back",
}];

#[test]
fn answers_of_a_server_have_their_codes() {
    let files = Files::new("server");
    files.write("resources.json", RESOURCES);
    files.write("leaf.json", LEAF);
    let listener = Listener::start();
    let address = listener.server.address().to_string();
    check(&files, &address, WITH_SERVER);
    let platform = &listener.platform;
    platform.change(|behaviour| behaviour.outage = Outage::Reject);
    check(&files, &address, PLATFORM_DOWN);
    platform.change(|behaviour| behaviour.outage = Outage::None);
    listener.lose_reply(|| check(&files, &address, REPLY_LOST));
}

const QUERIES: &[Case] = &[
    Case {
        name: "query of two shards",
        arguments: &[
            "query",
            "desk",
            "--body",
            "{\"text\": \"rope\"}",
            "--request-id",
            "r-7",
        ],
        code: 0,
        prints: "request   r-7\nsnapshot  1\nrevision  3\ncoverage  2 of 2 shards\n",
    },
    Case {
        name: "owner, replica and attempts of each shard",
        arguments: &["query", "desk", "--explain"],
        code: 0,
        prints: "shard  leaf    owner  attempts  hedges  took_ms\n",
    },
    Case {
        name: "answer in JSON",
        arguments: &["query", "desk", "--json"],
        code: 0,
        prints: "\"missing\": []",
    },
    Case {
        name: "order",
        arguments: &[
            "query",
            "desk",
            "--non-idempotent",
            "--shard",
            "1",
            "--key",
            "order-7",
        ],
        code: 0,
        prints: "coverage  1 of 1 shards\n",
    },
    Case {
        name: "the same order again",
        arguments: &[
            "query",
            "desk",
            "--non-idempotent",
            "--shard",
            "1",
            "--key",
            "order-7",
        ],
        code: 8,
        prints: "service desk: duplicate-key",
    },
    Case {
        name: "order without its shard",
        arguments: &["query", "desk", "--non-idempotent"],
        code: 2,
        prints: "--shard <SHARD>",
    },
    Case {
        name: "order at a shard that does not exist",
        arguments: &["query", "desk", "--non-idempotent", "--shard", "9"],
        code: 9,
        prints: "shard `9` is not in the service",
    },
    Case {
        name: "unknown service",
        arguments: &["query", "shelf"],
        code: 9,
        prints: "service `shelf` is not declared",
    },
    Case {
        name: "deadline beyond the service's longest",
        arguments: &["query", "desk", "--deadline-ms", "60000"],
        code: 3,
        prints: "send a whole number from 1 to 20000",
    },
    Case {
        name: "load",
        arguments: &["load", "desk", "--rate", "20", "--seconds", "1"],
        code: 0,
        prints: "sent           20\nanswered       20\n",
    },
    Case {
        name: "load, second by second, into a picture that can't be written",
        arguments: &["load", "desk", "--timeline", "--plot", "nowhere/run.svg"],
        code: 3,
        prints: "nowhere/run.svg: can't be written",
    },
    Case {
        name: "load, with the extra load of a VM that is not there",
        arguments: &["load", "desk", "--operator", "127.0.0.1:1"],
        code: 5,
        prints: "metrics of 127.0.0.1:1",
    },
];

const RAN: &[Case] = &[Case {
    name: "answers that all were read from another snapshot",
    arguments: &["query", "desk", "--deadline-ms", "2000"],
    code: 10,
    prints: "it ran, but the answer was lost",
}];

#[test]
fn queries_tell_what_became_of_them() {
    let files = Files::new("queries");
    let mut plan = Plan::new(BINARY).domain("d1", 1);
    for number in 1..=2 {
        let behaviour = Behaviour {
            shards: vec![format!("desk/{number}")],
            ..Behaviour::default()
        };
        plan = plan.leaf(&format!("desk-{number}"), "d1", behaviour);
    }
    let fleet = Fleet::start(plan).expect("fleet starts");
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
    // On a busy machine the leaves may not have been asked for their snapshots.
    let whole = wait_until(CONVERGENCE_TIMEOUT, || {
        let reply = fleet.caller(entry).query("desk", &[], &json!({}));
        reply.is_ok_and(|reply| reply.body["coverage"]["missing"] == json!([]))
    });
    assert!(whole, "the first answer is not whole");
    let server = fleet.vm(entry).caller.to_string();
    check(&files, &server, QUERIES);
    check_report(&files, fleet.vm(entry).caller, fleet.vm(entry).operator);
    for other in &fleet.leaves {
        other.leaf.inject_always(Some(Fault::WrongSnapshot));
    }
    check(&files, &server, RAN);
}

/// A run's report: totals, a line a second, extra load and a picture.
fn check_report(files: &Files, caller: SocketAddr, operator: SocketAddr) {
    let flags = "load desk --rate 20 --seconds 3 --json --timeline --plot run.svg";
    let output = Command::new(BINARY)
        .args(flags.split(' '))
        .args([
            "--server",
            &caller.to_string(),
            "--operator",
            &operator.to_string(),
        ])
        .current_dir(&files.folder)
        .output()
        .expect("binary runs");
    let result: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(result["sent"], 60, "{result}");
    assert!(result["extra_percent"].is_number(), "{result}");
    assert_eq!(result["metrics_unknown"], json!([]), "{result}");
    let lines = result["timeline"].as_array().expect("lines");
    assert_eq!(lines.len(), 3, "{result}");
    let sent: u64 = lines.iter().filter_map(|line| line["sent"].as_u64()).sum();
    assert_eq!(sent, 60, "{result}");
    let plot = std::fs::read_to_string(files.folder.join("run.svg")).expect("plot");
    assert!(plot.starts_with("<svg") && plot.contains("mean coverage"));
}
