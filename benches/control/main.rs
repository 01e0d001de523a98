//! Measures, on nine processes, the time from the acceptance of a configuration change until it is
//! in force on all VMs, and the cost of control for a VM and for the platform.
//!
//! The processes form four failure domains with the link delays of the arusha deployment and 1%
//! loss between them. The whole configuration of that deployment is declared, and there is no
//! query traffic. Fails if a change is not in force within [`MAX_IN_FORCE_DELAY`] or a VM exceeds
//! its limits for control.

mod watchers;

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use geraniummount_test_support::client::Client;
use geraniummount_test_support::deployment::{Deployment, Layout};
use geraniummount_test_support::fleet::{Fleet, Plan, VmSelector};
use geraniummount_test_support::proxy::{Flow, Link};
use serde_json::{Value, json};

use self::watchers::Watchers;

/// Number of VMs in each failure domain.
const VMS_PER_DOMAIN: [usize; 4] = [3, 2, 2, 2];
const JITTER: Duration = Duration::from_millis(1);
const LOSS_PROBABILITY: f64 = 0.01;
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
const CHANGE_COUNT: u64 = 60;
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
const SETTLE_DELAY: Duration = Duration::from_secs(5);
const IDLE_DURATION: Duration = Duration::from_secs(30);
/// Interval between changes during the idle measurement, which makes ten times the target's 2,700
/// changes per day.
const IDLE_CHANGE_INTERVAL: Duration = Duration::from_millis(3_200);
/// Limits from the target.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(5);
const MAX_CORE_SHARE: f64 = 0.011;
const MAX_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;
const MAX_BYTES_PER_SECOND: f64 = 4_096.0;

fn main() -> ExitCode {
    let deployment = Deployment::arusha();
    let mut fleet = start(&deployment);
    println!(
        "cost with a change every {IDLE_CHANGE_INTERVAL:?}, most of any VM; platform: all VMs"
    );
    println!(
        "                     % of a core   MiB  sent B/s  received B/s  writes/s  reads/s  watches/s"
    );
    let mut is_within_bounds = measure_idle_cost(&fleet, "nothing declared", 0);
    declare(&fleet, &deployment);
    is_within_bounds &= measure_idle_cost(&fleet, "arusha, leaves down", 500);
    println!(
        "\naccepted to in force on {} processes",
        fleet.vm_names().len()
    );
    println!("                        changes     p50     p99     max  accept p50");
    is_within_bounds &= measure_propagation(&fleet, "all connected");
    let cut = VmSelector::domain(deployment.failure_domains[3]);
    fleet.cut_platform(&cut, Flow::Cut);
    is_within_bounds &= measure_propagation(&fleet, "one domain cut from platform");
    if is_within_bounds {
        return ExitCode::SUCCESS;
    }
    eprintln!("a limit was exceeded; see the rows above");
    ExitCode::FAILURE
}

fn start(deployment: &Deployment) -> Fleet {
    let between = Link {
        delay: Duration::from_millis(deployment.inter_domain_delay_ms),
        jitter: JITTER,
        loss: LOSS_PROBABILITY,
        retransmission_delay: RETRANSMISSION_DELAY,
        ..Link::default()
    };
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount")).inter_domain_link(between);
    for (name, vms) in deployment.failure_domains.iter().zip(VMS_PER_DOMAIN) {
        plan = plan.domain(name, vms);
    }
    Fleet::start(plan).expect("fleet failed to start")
}

/// Declares the whole deployment. No leaf processes run, because no queries are sent.
fn declare(fleet: &Fleet, deployment: &Deployment) {
    let operator = first_operator(fleet);
    for (index, leaf) in deployment.leaves(Layout::Replicas).iter().enumerate() {
        let address = ([127, 0, 0, 1], 20_000 + index as u16).into();
        put(&operator, "leaf", &leaf.resource(address));
    }
    for service in deployment.services(Layout::Replicas) {
        put(&operator, "service", &service);
    }
}

fn first_operator(fleet: &Fleet) -> Client {
    fleet.operator(&fleet.vm_names()[0])
}

/// Declares a resource and returns the revision that contains it.
fn put(operator: &Client, kind: &str, spec: &Value) -> u64 {
    let path = format!(
        "/v1/resources/{kind}/{}",
        spec["name"].as_str().expect("name")
    );
    let reply = operator
        .call("PUT", &path, &[], spec.to_string())
        .expect("reply");
    assert!(reply.is_success(), "{path}: {}", reply.text);
    reply.body["revision"].as_u64().expect("revision")
}

/// Changes a leaf through each VM of the first domain in turn and prints how long the change takes
/// to reach all VMs. Returns whether every change was in force in time.
fn measure_propagation(fleet: &Fleet, name: &str) -> bool {
    // A VM that is cut off from the platform cannot accept a change.
    let names = fleet.vms_in("arusha-a");
    let watchers = Watchers::start(fleet);
    let mut in_force = Vec::new();
    let mut accept = Vec::new();
    for change in 0..CHANGE_COUNT {
        let vm = &names[change as usize % names.len()];
        let operator = fleet.operator(vm);
        let sent = Instant::now();
        let revision = put(&operator, "leaf", &changed_leaf(change));
        let accepted = Instant::now();
        accept.push(accepted - sent);
        let Some(seen) = watchers.wait_for(revision, MAX_IN_FORCE_DELAY) else {
            println!("{name}: revision {revision} is not in force after {MAX_IN_FORCE_DELAY:?}");
            return false;
        };
        in_force.push(seen.saturating_duration_since(accepted));
        thread::sleep(CHANGE_INTERVAL);
    }
    in_force.sort_unstable();
    accept.sort_unstable();
    let at =
        |times: &[Duration], share: f64| millis(times[((times.len() - 1) as f64 * share) as usize]);
    println!(
        "{name:28} {CHANGE_COUNT:3}  {:>4} ms {:>4} ms {:>4} ms  {:>4} ms",
        at(&in_force, 0.5),
        at(&in_force, 0.99),
        at(&in_force, 1.0),
        at(&accept, 0.5),
    );
    true
}

/// Returns a leaf that belongs to no service and differs for each change.
fn changed_leaf(change: u64) -> Value {
    json!({
        "name": "bench",
        "address": "127.0.0.1:19999",
        "failure_domain": "arusha-a",
        "contract": {"slots": 1, "connections": 3, "open_ms": change % 1_000},
    })
}

/// Prints the cost of control without query traffic; returns whether every VM is within its limits.
fn measure_idle_cost(fleet: &Fleet, name: &str, mut change: u64) -> bool {
    let operator = first_operator(fleet);
    thread::sleep(SETTLE_DELAY);
    let before: Vec<Usage> = usages(fleet);
    let calls_before = fleet.platform.calls();
    let began = Instant::now();
    while began.elapsed() < IDLE_DURATION {
        put(&operator, "leaf", &changed_leaf(change));
        change += 1;
        thread::sleep(IDLE_CHANGE_INTERVAL);
    }
    let seconds = began.elapsed().as_secs_f64();
    let after = usages(fleet);
    let calls_after = fleet.platform.calls();
    let max_per_vm = |cost: fn(&Usage, &Usage) -> f64| {
        let pairs = before.iter().zip(&after);
        pairs.map(|(from, to)| cost(from, to)).fold(0.0, f64::max)
    };
    let core = max_per_vm(|from, to| to.cpu_seconds - from.cpu_seconds) / seconds;
    let memory = max_per_vm(|_, to| to.memory_bytes);
    let sent = max_per_vm(|from, to| to.sent_bytes - from.sent_bytes) / seconds;
    let received = max_per_vm(|from, to| to.received_bytes - from.received_bytes) / seconds;
    let rate = |from: u64, to: u64| (to - from) as f64 / seconds;
    println!(
        "{name:19}  {:11.2}  {:4.1}  {sent:8.0}  {received:12.0}  {:8.2}  {:7.2}  {:9.2}",
        core * 100.0,
        memory / 1024.0 / 1024.0,
        rate(calls_before.writes, calls_after.writes),
        rate(calls_before.reads, calls_after.reads),
        rate(calls_before.watches, calls_after.watches),
    );
    core <= MAX_CORE_SHARE && memory <= MAX_MEMORY_BYTES && sent + received <= MAX_BYTES_PER_SECOND
}

/// Resources that a VM has used since its start, and its current resident memory.
struct Usage {
    cpu_seconds: f64,
    memory_bytes: f64,
    sent_bytes: f64,
    received_bytes: f64,
}

fn usages(fleet: &Fleet) -> Vec<Usage> {
    fleet.running().map(usage).collect()
}

fn usage(vm: &geraniummount_test_support::fleet::Vm) -> Usage {
    /// Unit of the processor time in /proc/PID/stat.
    const TICKS_PER_SECOND: f64 = 100.0;
    let pid = vm.process_id().expect("VM has a running process");
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect(file);
    let stat = read("stat");
    let (_, fields) = stat
        .rsplit_once(") ")
        .expect("/proc/PID/stat has fields after the name");
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
    let status = read("status");
    let resident = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = resident.and_then(|line| line.split_whitespace().nth(1));
    let metrics = Client::new(vm.operator)
        .get("/metrics")
        .expect("metrics")
        .text;
    let counter = |name: &str| {
        let line = metrics.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or_default()
    };
    Usage {
        cpu_seconds: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        memory_bytes: kilobytes.map_or(0.0, |text| text.parse::<f64>().expect("a number") * 1024.0),
        sent_bytes: counter("geraniummount_control_sent_bytes_total"),
        received_bytes: counter("geraniummount_control_received_bytes_total"),
    }
}

fn millis(time: Duration) -> u128 {
    time.as_millis()
}
