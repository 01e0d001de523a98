//! Measures the traffic policies under load and faults in simulated time.
//!
//! Runs the product's decision logic at the current sizes of both deployments with open-loop
//! arrivals, and compares it with simpler policies. Simulated time makes the figures the same on
//! every machine. The bounds come from the target. If a run exceeds a bound, the bench exits with
//! code 1.

mod fifo;
mod figures;
mod losses;
mod queue;
mod scenario;
mod simulation;

use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::figures::Figures;
use crate::scenario::{Loss, Policy, Run, WORKLOADS, Workload};
use crate::simulation::Simulation;

const THREAD_COUNT: usize = 3;

/// Maximum ratio of the p99 latency with stragglers to that without.
const MAX_STRAGGLER_P99_RATIO: f64 = 2.0;
/// Maximum requests to leaves beyond the needed ones.
const MAX_EXTRA_PERCENT: f64 = 5.0;
/// Minimum goodput above full load, as a share of the goodput at 100% load.
const MIN_GOODPUT_SHARE: f64 = 0.9;
/// Maximum time to refuse a query on arrival, as a share of its deadline.
const MAX_REFUSAL_SHARE: f64 = 0.1;

fn runs_of(workload: Workload) -> Vec<Run> {
    let run = |policy, load, stragglers, loss| Run {
        workload,
        policy,
        load,
        stragglers,
        loss,
    };
    let mut runs = vec![
        run(Policy::Product, 0.5, 0.0, Loss::None),
        run(Policy::Product, 0.5, 0.01, Loss::None),
        run(Policy::NoHedge, 0.5, 0.01, Loss::None),
        run(Policy::OwnConnections, 0.5, 0.01, Loss::None),
        run(Policy::Product, 0.8, 0.01, Loss::None),
        run(Policy::NoHedge, 0.8, 0.01, Loss::None),
        run(Policy::OwnConnections, 0.8, 0.01, Loss::None),
        run(Policy::Fifo, 0.8, 0.01, Loss::None),
        run(Policy::Product, 1.0, 0.01, Loss::None),
        run(Policy::Product, 1.2, 0.01, Loss::None),
        run(Policy::OwnConnections, 1.2, 0.01, Loss::None),
        run(Policy::Fifo, 1.2, 0.01, Loss::None),
        run(Policy::Product, 0.5, 0.01, Loss::KilledVm),
    ];
    if workload.name != "counter-desk" && workload.name != "csaladi-bolt" {
        runs.retain(|run| run.policy == Policy::Product);
    }
    runs
}

fn main() -> ExitCode {
    // Arguments that begin with `--`, such as cargo's `--bench`, do not name a workload.
    let only = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    let workloads = WORKLOADS.into_iter();
    let chosen = workloads.filter(|w| only.as_ref().is_none_or(|name| w.name == name));
    let runs: Vec<Run> = chosen.flat_map(runs_of).collect();
    let figures = measure(&runs);
    print_table(&runs, &figures);
    let mut faults = faults(&runs, &figures);
    faults.extend(losses::measure(only.as_deref()));
    for fault in &faults {
        println!("outside its bound: {fault}");
    }
    if faults.is_empty() {
        println!("all bounds hold");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

/// Runs the simulations on [`THREAD_COUNT`] threads; returns their figures in the order of `runs`.
pub(crate) fn measure(runs: &[Run]) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, Figures)>> = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREAD_COUNT {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = runs.get(index) else {
                        return;
                    };
                    let figures = Simulation::new(*run).run();
                    eprintln!("run {} of {} is done", index + 1, runs.len());
                    done.lock().expect("no run panics").push((index, figures));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no run panics");
    done.sort_by_key(|run| run.0);
    done.into_iter().map(|run| run.1).collect()
}

fn print_table(runs: &[Run], figures: &[Figures]) {
    println!(
        "{:<15} {:<15} {:>5} {:>5} {:>4} {:>7} {:>7} {:>7} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>5} {:>5}",
        "service",
        "policy",
        "load",
        "strag",
        "kill",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "coverage",
        "extra %",
        "whole/s",
        "queries",
        "part",
        "refuse",
        "fail",
        "conn"
    );
    for (run, f) in runs.iter().zip(figures) {
        println!(
            "{:<15} {:<15} {:>4.0}% {:>4.0}% {:>4} {:>7.1} {:>7.1} {:>7.1} {:>7.2}% {:>7.2} {:>7.1} {:>7} {:>6} {:>6} {:>5} {:>5}",
            run.workload.name,
            run.policy.name(),
            run.load * 100.0,
            run.stragglers * 100.0,
            if run.loss == Loss::KilledVm {
                "yes"
            } else {
                "no"
            },
            f.millis(0.5),
            f.millis(0.99),
            f.millis(0.999),
            f.coverage(),
            f.extra_percent(),
            f.goodput(),
            f.queries,
            f.partial,
            f.refused,
            f.failed + f.lost,
            f.connections,
        );
    }
}

/// Describes each violated promise, and each run of the product's policy that exceeds a bound.
fn faults(runs: &[Run], figures: &[Figures]) -> Vec<String> {
    let mut faults = Vec::new();
    let find = |of: &Run, load: f64, stragglers: f64| {
        let index = runs.iter().position(|run| {
            run.workload.name == of.workload.name
                && run.policy == Policy::Product
                && run.load == load
                && run.stragglers == stragglers
                && run.loss == Loss::None
        });
        index.map(|index| &figures[index])
    };
    for (run, f) in runs.iter().zip(figures) {
        let name = format!(
            "{} {} at {:.0}%",
            run.workload.name,
            run.policy.name(),
            run.load * 100.0
        );
        for violation in &f.violations {
            faults.push(format!("{name}: {violation}"));
        }
        if run.policy != Policy::Product {
            continue;
        }
        check_run(run, f, &name, &mut faults);
        if run.load == 0.5
            && run.stragglers > 0.0
            && run.loss == Loss::None
            && run.workload.replicas > 1
        {
            let without = find(run, 0.5, 0.0).map_or(f64::MAX, |f| f.millis(0.99));
            let with = f.millis(0.99);
            if with > without * MAX_STRAGGLER_P99_RATIO {
                faults.push(format!(
                    "{name}: p99 {with:.1} ms with stragglers, {without:.1} ms without"
                ));
            }
        }
        if run.load > 1.0 {
            let full = find(run, 1.0, run.stragglers).map_or(0.0, Figures::goodput);
            let over = f.goodput();
            if over < full * MIN_GOODPUT_SHARE {
                faults.push(format!(
                    "{name}: {over:.1} whole answers/s, {full:.1} at 100%"
                ));
            }
        }
    }
    faults
}

/// Adds a fault for each bound that a single run exceeds.
pub(crate) fn check_run(run: &Run, f: &Figures, name: &str, faults: &mut Vec<String>) {
    if f.extra_percent() > MAX_EXTRA_PERCENT {
        faults.push(format!("{name}: extra load {:.2}%", f.extra_percent()));
    }
    if f.connections > usize::from(run.workload.connections) {
        faults.push(format!("{name}: {} connections", f.connections));
    }
    if f.late > 0 {
        faults.push(format!("{name}: {} answers after their deadline", f.late));
    }
    let max_refusal_time = run.workload.deadline.mul_f64(MAX_REFUSAL_SHARE);
    if f.slowest_refusal > max_refusal_time {
        let took = f.slowest_refusal;
        faults.push(format!("{name}: a refusal on arrival took {took:?}"));
    }
}
