//! Time from the acceptance of a change until it is in force everywhere, and
//! what control costs a VM and the platform, on nine processes.
//!
//! Four failure domains with the delays of the arusha deployment and 1% loss
//! between them, its whole configuration declared and no traffic. Fails where
//! a change is not in force within [`MAX_IN_FORCE`] or a VM passes its share
//! for control.

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

/// VMs of each failure domain.
const VMS: [usize; 4] = [3, 2, 2, 2];
const JITTER: Duration = Duration::from_millis(1);
const LOSS: f64 = 0.01;
const RETRANSMISSION: Duration = Duration::from_millis(200);
const CHANGES: u64 = 60;
const PAUSE: Duration = Duration::from_millis(100);
const SETTLE: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(30);
/// Pause between changes while idle: ten times the target's 2,700 a day.
const IDLE_CHANGE_EVERY: Duration = Duration::from_millis(3_200);
/// Bounds as the target states them.
const MAX_IN_FORCE: Duration = Duration::from_secs(5);
const MAX_CORE_SHARE: f64 = 0.011;
const MAX_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;
const MAX_BYTES_PER_SECOND: f64 = 4_096.0;

fn main() -> ExitCode {
    let deployment = Deployment::arusha();
    let mut fleet = start(&deployment);
    println!("cost with a change every {IDLE_CHANGE_EVERY:?}, most of any VM; platform: all VMs");
    println!(
        "                     % of a core   MiB  sent B/s  received B/s  writes/s  reads/s  watches/s"
    );
    let mut within = cost(&fleet, "nothing declared", 0);
    declare(&fleet, &deployment);
    within &= cost(&fleet, "arusha, leaves down", 500);
    println!(
        "\naccepted to in force on {} processes",
        fleet.vm_names().len()
    );
    println!("                        changes     p50     p99     max  accept p50");
    within &= spread(&fleet, "all connected");
    let cut = VmSelector::domain(deployment.failure_domains[3]);
    fleet.cut_platform(&cut, Flow::Cut);
    within &= spread(&fleet, "one domain cut from platform");
    if within {
        return ExitCode::SUCCESS;
    }
    eprintln!("a bound was passed");
    ExitCode::FAILURE
}

fn start(deployment: &Deployment) -> Fleet {
    let between = Link {
        delay: Duration::from_millis(deployment.inter_domain_delay_ms),
        jitter: JITTER,
        loss: LOSS,
        retransmission_delay: RETRANSMISSION,
        ..Link::default()
    };
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount")).inter_domain_link(between);
    for (name, vms) in deployment.failure_domains.iter().zip(VMS) {
        plan = plan.domain(name, vms);
    }
    Fleet::start(plan).expect("fleet starts")
}

/// Declares the whole deployment; its leaves get no work here.
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

/// Declares a resource; returns the revision from which it is in force.
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

/// Changes a service through each VM in turn; prints how soon all have it.
fn spread(fleet: &Fleet, name: &str) -> bool {
    // A VM that is cut off from the platform can't take a change.
    let names = fleet.vms_in("arusha-a");
    let watchers = Watchers::start(fleet);
    let mut in_force = Vec::new();
    let mut accept = Vec::new();
    for change in 0..CHANGES {
        let vm = &names[change as usize % names.len()];
        let operator = fleet.operator(vm);
        let sent = Instant::now();
        let revision = put(&operator, "leaf", &changed(change));
        let accepted = Instant::now();
        accept.push(accepted - sent);
        let Some(seen) = watchers.wait_for(revision, MAX_IN_FORCE) else {
            println!("{name}: revision {revision} is not in force after {MAX_IN_FORCE:?}");
            return false;
        };
        in_force.push(seen.saturating_duration_since(accepted));
        thread::sleep(PAUSE);
    }
    in_force.sort_unstable();
    accept.sort_unstable();
    let at =
        |times: &[Duration], share: f64| millis(times[((times.len() - 1) as f64 * share) as usize]);
    println!(
        "{name:28} {CHANGES:3}  {:>4} ms {:>4} ms {:>4} ms  {:>4} ms",
        at(&in_force, 0.5),
        at(&in_force, 0.99),
        at(&in_force, 1.0),
        at(&accept, 0.5),
    );
    true
}

/// A leaf in no service that differs with each change.
fn changed(change: u64) -> Value {
    json!({
        "name": "bench",
        "address": "127.0.0.1:19999",
        "failure_domain": "arusha-a",
        "contract": {"slots": 1, "connections": 3, "open_ms": change % 1_000},
    })
}

/// Prints what control costs without traffic.
fn cost(fleet: &Fleet, name: &str, mut change: u64) -> bool {
    let operator = first_operator(fleet);
    thread::sleep(SETTLE);
    let before: Vec<Usage> = usages(fleet);
    let calls = fleet.platform.calls();
    let began = Instant::now();
    while began.elapsed() < IDLE {
        put(&operator, "leaf", &changed(change));
        change += 1;
        thread::sleep(IDLE_CHANGE_EVERY);
    }
    let seconds = began.elapsed().as_secs_f64();
    let after = usages(fleet);
    let now = fleet.platform.calls();
    let most = |cost: fn(&Usage, &Usage) -> f64| {
        let pairs = before.iter().zip(&after);
        pairs.map(|(from, to)| cost(from, to)).fold(0.0, f64::max)
    };
    let core = most(|from, to| to.busy - from.busy) / seconds;
    let memory = most(|_, to| to.memory);
    let sent = most(|from, to| to.sent - from.sent) / seconds;
    let received = most(|from, to| to.received - from.received) / seconds;
    let rate = |from: u64, to: u64| (to - from) as f64 / seconds;
    println!(
        "{name:19}  {:11.2}  {:4.1}  {sent:8.0}  {received:12.0}  {:8.2}  {:7.2}  {:9.2}",
        core * 100.0,
        memory / 1024.0 / 1024.0,
        rate(calls.writes, now.writes),
        rate(calls.reads, now.reads),
        rate(calls.watches, now.watches),
    );
    core <= MAX_CORE_SHARE && memory <= MAX_MEMORY_BYTES && sent + received <= MAX_BYTES_PER_SECOND
}

/// What a VM has used so far.
struct Usage {
    busy: f64,
    memory: f64,
    sent: f64,
    received: f64,
}

fn usages(fleet: &Fleet) -> Vec<Usage> {
    fleet.running().map(usage).collect()
}

fn usage(vm: &geraniummount_test_support::fleet::Vm) -> Usage {
    /// Processor time is counted in these.
    const TICKS_PER_SECOND: f64 = 100.0;
    let pid = vm.process_id().expect("a process");
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect(file);
    let stat = read("stat");
    let (_, fields) = stat.rsplit_once(") ").expect("fields after the name");
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
        busy: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        memory: kilobytes.map_or(0.0, |text| text.parse::<f64>().expect("a number") * 1024.0),
        sent: counter("geraniummount_control_sent_bytes_total"),
        received: counter("geraniummount_control_received_bytes_total"),
    }
}

fn millis(time: Duration) -> u128 {
    time.as_millis()
}
