//! Measures the effect of losing a VM, leaf or failure domain on later queries while each shard has
//! a healthy replica elsewhere.

use geraniummount::core::service::Preference;

use crate::figures::Figures;
use crate::scenario::{Loss, Policy, Run, WORKLOADS, Workload};

/// Share of the leaves' capacity, low enough for the healthy replicas to serve the whole load.
const LOAD_SHARE: f64 = 0.3;

/// Share of the leaf requests that straggle.
const STRAGGLER_SHARE: f64 = 0.01;

const LOSSES: [Loss; 4] = [
    Loss::FrozenLeaf,
    Loss::FrozenLeaves,
    Loss::CutDomain,
    Loss::FrozenOwner,
];

fn runs_of(workload: Workload) -> impl Iterator<Item = Run> {
    let preferences = [Preference::Latency, Preference::Coverage];
    preferences.into_iter().flat_map(move |prefer| {
        let workload = Workload { prefer, ..workload };
        LOSSES.into_iter().map(move |loss| Run {
            workload,
            policy: Policy::Product,
            load: LOAD_SHARE,
            stragglers: STRAGGLER_SHARE,
            loss,
        })
    })
}

/// Runs every loss with a workload of each deployment and prints the figures; returns the bounds
/// that were exceeded.
pub fn measure(only: Option<&str>) -> Vec<String> {
    let workloads = WORKLOADS.into_iter();
    let two = workloads.filter(|w| w.name == "counter-desk" || w.name == "csaladi-bolt");
    let chosen = two.filter(|w| only.is_none_or(|name| [w.name, "losses"].contains(&name)));
    let runs: Vec<Run> = chosen.flat_map(runs_of).collect();
    let figures = crate::measure(&runs);
    println!(
        "\n{:<13} {:<9} {:<14} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6}",
        "service",
        "prefer",
        "loss",
        "lack 1 s",
        "lack 2 s",
        "later",
        "p99 ms",
        "p99.9",
        "extra %",
        "queries",
        "fail"
    );
    let mut faults = Vec::new();
    for (run, f) in runs.iter().zip(&figures) {
        print_row(run, f);
        let name = format!("{} {}", run.workload.name, run.loss.name());
        for violation in &f.violations {
            faults.push(format!("{name}: {violation}"));
        }
        crate::check_run(run, f, &name, &mut faults);
    }
    faults
}

fn print_row(run: &Run, f: &Figures) {
    let after = &f.after_loss;
    println!(
        "{:<13} {:<9} {:<14} {:>8} {:>8} {:>8} {:>7.1} {:>7.1} {:>7.2} {:>7} {:>6}",
        run.workload.name,
        format!("{:?}", run.workload.prefer).to_lowercase(),
        run.loss.name(),
        after.missing[0],
        after.missing[1],
        after.missing[2],
        after.millis(0.99),
        after.millis(0.999),
        f.extra_percent(),
        after.latency.len(),
        f.failed + f.lost + f.refused,
    );
}
