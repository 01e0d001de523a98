//! Runs a platform and four leaves for trying out the command line.
//!
//! `cargo run --release --example stand_ins -- FOLDER` starts them on free loopback ports, writes
//! the settings of four VMs and matching resources into FOLDER, and runs until it is killed.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;

use geraniummount_test_support::leaf::{Behaviour, Leaf};
use geraniummount_test_support::platform::Platform;
use serde_json::{Value, json};

/// Names, failure domains and shards of the leaves.
const LEAVES: [(&str, &str, &str); 4] = [
    ("shelf-1", "d1", "shelf/1"),
    ("shelf-2", "d2", "shelf/1"),
    ("desk-1", "d1", "desk/1"),
    ("desk-2", "d2", "desk/2"),
];

/// Names and failure domains of the VMs.
const VMS: [(&str, &str); 4] = [("a1", "d1"), ("b1", "d2"), ("a2", "d1"), ("b2", "d2")];

fn main() -> Result<(), Box<dyn Error>> {
    let dir = std::env::args().nth(1);
    let dir = dir.ok_or("name a folder: cargo run --example stand_ins -- FOLDER")?;
    let dir = Path::new(&dir);
    std::fs::create_dir_all(dir)?;
    let platform = Platform::start()?;
    let leaves = LEAVES
        .iter()
        .map(|(name, _, shard)| start_leaf(name, shard));
    let leaves = leaves.collect::<Result<Vec<Leaf>, _>>()?;
    for (index, (name, domain)) in (0..).zip(VMS) {
        let text = settings(name, domain, index, platform.address());
        std::fs::write(dir.join(format!("{name}.ini")), text)?;
    }
    let resources = format!("{:#}\n", resources(&leaves));
    std::fs::write(dir.join("resources.json"), resources)?;
    println!(
        "platform at {}, {} leaves; wrote settings of {} VMs and resources.json to {}",
        platform.address(),
        leaves.len(),
        VMS.len(),
        dir.display()
    );
    loop {
        std::thread::park();
    }
}

fn start_leaf(name: &str, shard: &str) -> std::io::Result<Leaf> {
    let behaviour = Behaviour {
        shards: vec![shard.to_string()],
        ..Behaviour::default()
    };
    Leaf::start(name, behaviour, 1)
}

fn settings(name: &str, domain: &str, index: u16, platform: SocketAddr) -> String {
    let (peer, caller, operator) = (7001 + index, 8080 + index, 9090 + index);
    format!(
        "[node]\n\
         name = {name}\n\
         failure_domain = {domain}\n\
         peer_listen = 127.0.0.1:{peer}\n\
         first_peers = 127.0.0.1:7001, 127.0.0.1:7002, 127.0.0.1:7003\n\
         \n\
         [caller]\n\
         listen = 127.0.0.1:{caller}\n\
         \n\
         [operator]\n\
         listen = 127.0.0.1:{operator}\n\
         \n\
         [platform]\n\
         address = {platform}\n"
    )
}

fn resources(leaves: &[Leaf]) -> Value {
    let leaf = |((name, domain, _), leaf): (&(&str, &str, &str), &Leaf)| {
        json!({"leaf": {
            "name": name,
            "address": leaf.address(),
            "failure_domain": domain,
            "contract": {"slots": 2, "connections": 25, "open_ms": 1},
        }})
    };
    let mut resources: Vec<Value> = LEAVES.iter().zip(leaves).map(leaf).collect();
    resources.push(json!({"service": {
        "name": "shelf",
        "shards": [{"name": "1", "replicas": ["shelf-1", "shelf-2"]}],
        "deadline_ms": 200,
        "max_deadline_ms": 2_000,
        "prefer": "latency",
    }}));
    resources.push(json!({"service": {
        "name": "desk",
        "shards": [
            {"name": "1", "replicas": ["desk-1"]},
            {"name": "2", "replicas": ["desk-2"]},
        ],
        "deadline_ms": 500,
        "max_deadline_ms": 5_000,
        "prefer": "coverage",
    }}));
    resources.push(json!({"service": {
        "name": "all",
        "includes": ["shelf", "desk"],
        "deadline_ms": 500,
        "max_deadline_ms": 5_000,
    }}));
    Value::Array(resources)
}
