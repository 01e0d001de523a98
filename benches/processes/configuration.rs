//! Measures memory, change times and start times by the number of declared resources.

use std::time::Instant;

use geraniummount_test_support::platform::Platform;
use serde_json::{Value, json};

use geraniummount_test_support::process::Process;

use crate::{BINARY, MAX_MEMORY_BYTES};

const LEAF_COUNTS: [u64; 4] = [100, 1_000, 4_000, 11_000];

/// Grows one configuration and prints a row for each number of leaves. Returns whether both VMs
/// stay within their memory limit.
pub fn run() -> bool {
    println!(
        "leaves  memory MB  of a VM that started  ms a change  ms of a core a change  start s  \
         platform MB"
    );
    let folder = tempfile::tempdir().unwrap();
    let platform = Platform::start().unwrap();
    let first = Process::start(BINARY, 0, platform.address(), folder.path());
    let operator = first.operator();
    let mut declared = 0;
    let mut is_within_bounds = true;
    for size in LEAF_COUNTS {
        let (started, busy) = (Instant::now(), first.usage().cpu_time);
        let added = (size - declared) as f64;
        while declared < size {
            first.put(&operator, &format!("leaf/leaf-{declared}"), &leaf(declared));
            declared += 1;
        }
        let change_ms = started.elapsed().as_secs_f64() * 1e3 / added;
        let core_ms = (first.usage().cpu_time - busy).as_secs_f64() * 1e3 / added;
        let started = Instant::now();
        let second = Process::start(BINARY, 1, platform.address(), folder.path());
        second.wait_until(|state: &Value| state["revision"] == declared);
        let start = started.elapsed().as_secs_f64();
        let memory = [&first, &second].map(|process| process.usage().memory_bytes as f64);
        is_within_bounds &= memory.iter().all(|memory| *memory <= MAX_MEMORY_BYTES);
        let [memory, started] = memory.map(|memory| memory / 1024.0 / 1024.0);
        let keys = platform.keys();
        let bytes = keys.iter().filter_map(|key| platform.value(key));
        let stored: usize = bytes.map(|(_, value)| value.len()).sum();
        let stored = stored as f64 / 1024.0 / 1024.0;
        println!(
            "{size:6}  {memory:9.1}  {started:20.1}  {change_ms:11.2}  {core_ms:21.2}  \
             {start:7.2}  {stored:11.2}"
        );
    }
    is_within_bounds
}

fn leaf(index: u64) -> Value {
    let [.., a, b, c] = index.to_be_bytes();
    json!({
        "name": format!("leaf-{index}"),
        "address": format!("10.{a}.{b}.{c}:8000"),
        "failure_domain": "d2",
        "contract": {"slots": 2, "connections": 25, "open_ms": 6},
    })
}
