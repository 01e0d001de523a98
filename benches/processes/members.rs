//! Measures the control cost of an idle process by the number of members of its failure domain.

use std::thread;
use std::time::Duration;

use geraniummount_test_support::platform::Platform;
use serde_json::Value;

use geraniummount_test_support::process::Process;

use crate::{BINARY, MAX_MEMORY_BYTES};

const MEMBER_COUNTS: [u16; 4] = [10, 30, 100, 200];
const SETTLE_DELAY: Duration = Duration::from_secs(5);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);

/// Limits for the control cost of one VM, from the target.
const MAX_CORE_SHARE: f64 = 0.011;
const MAX_BYTES_PER_SECOND: f64 = 4_096.0;

/// Prints the table; returns whether every row is within the limits.
pub fn run() -> bool {
    println!("members  core %  memory MB  threads  sent B/s  received B/s  platform calls/s (all)");
    let rows = MEMBER_COUNTS.map(measure);
    rows.into_iter().all(|is_within_bounds| is_within_bounds)
}

fn measure(size: u16) -> bool {
    let folder = tempfile::tempdir().unwrap();
    let platform = Platform::start().unwrap();
    let start = |index| Process::start(BINARY, index, platform.address(), folder.path());
    let processes: Vec<Process> = (0..size).map(start).collect();
    let live = |state: &Value| {
        let vms = state["vms"].as_array();
        vms.is_some_and(|vms| vms.iter().filter(|vm| vm["state"] == "live").count() >= size.into())
    };
    processes
        .iter()
        .for_each(|process| process.wait_until(live));
    thread::sleep(SETTLE_DELAY);
    let totals = || {
        let busy: Duration = processes.iter().map(|p| p.usage().cpu_time).sum();
        let sum = |name| processes.iter().map(|p| p.counter(name)).sum::<f64>();
        let calls = platform.calls();
        (
            busy.as_secs_f64(),
            sum("geraniummount_control_sent_bytes_total"),
            sum("geraniummount_control_received_bytes_total"),
            calls.reads + calls.watches + calls.writes + calls.members,
        )
    };
    let before = totals();
    thread::sleep(MEASUREMENT_DURATION);
    let after = totals();
    let per_process =
        |from: f64, to: f64| (to - from) / f64::from(size) / MEASUREMENT_DURATION.as_secs_f64();
    let core = per_process(before.0, after.0);
    let sent = per_process(before.1, after.1);
    let received = per_process(before.2, after.2);
    let calls = (after.3 - before.3) as f64 / MEASUREMENT_DURATION.as_secs_f64();
    let usage = processes.iter().map(Process::usage);
    let memory = usage
        .clone()
        .map(|usage| usage.memory_bytes)
        .max()
        .unwrap_or(0) as f64;
    let threads = usage.map(|usage| usage.threads).max().unwrap_or(0);
    println!(
        "{size:7}  {:6.2}  {:9.1}  {threads:7}  {sent:8.0}  {received:12.0}  {calls:22.2}",
        core * 100.0,
        memory / 1024.0 / 1024.0
    );
    core <= MAX_CORE_SHARE
        && memory <= MAX_MEMORY_BYTES
        && sent.max(received) <= MAX_BYTES_PER_SECOND
}
