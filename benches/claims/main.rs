//! Claims of idempotency keys by many VMs, in simulated time.
//!
//! The product's own decisions drive a platform with its rates and latency:
//! keyed requests arrive at VMs at random, each with a key of its own. Beside
//! the product stands each VM claiming for itself, value by value, with every
//! claim as JSON. Time is simulated, so that the figures are the same on every
//! machine. The bounds come from the platform's limits and the deadline; a run
//! of the product outside one ends the bench with exit code 1.

mod figures;
mod fleet;
mod platform;
mod simulation;

use std::process::ExitCode;

use crate::figures::{Figures, Run};
use crate::simulation::Simulation;

const CLAIMER_COUNTS: [usize; 4] = [1, 9, 100, 900];
const REQUESTS_PER_SECOND: [f64; 5] = [5.0, 100.0, 300.0, 1_000.0, 1_600.0];

/// Share of requests whose key has to be granted.
const MIN_GRANTED_SHARE: f64 = 0.999;
/// Where claims are forwarded for nothing the time to claim may not grow.
const MAX_LOW_RATE_P99_RATIO: f64 = 1.0;
const LOW_REQUESTS_PER_SECOND: f64 = 5.0;

fn main() -> ExitCode {
    println!(
        "{:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} {:>9} {:>9} {:>7} {:>7}",
        "claimers",
        "wanted/s",
        "policy",
        "granted",
        "p50 ms",
        "p99 ms",
        "writes/s",
        "reads/s",
        "calls/clm",
        "KB/claim",
        "value",
        "MB/s"
    );
    let mut faults = Vec::new();
    for claimers in CLAIMER_COUNTS {
        for rate in REQUESTS_PER_SECOND {
            let run = |is_product| Run {
                claimers,
                rate,
                is_product,
            };
            let (alone, product) = (run(false), run(true));
            let before = Simulation::new(alone).run();
            let figures = Simulation::new(product).run();
            print(&alone, &before);
            print(&product, &figures);
            check(&product, &figures, &before, &mut faults);
        }
    }
    for fault in &faults {
        println!("outside its bound: {fault}");
    }
    if faults.is_empty() {
        println!("all bounds hold");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn print(run: &Run, f: &Figures) {
    let calls = (f.writes + f.reads) / f.granted_per_second().max(f64::MIN_POSITIVE);
    println!(
        "{:>8} {:>8} {:>8} {:>7.2}% {:>7.1} {:>7.1} {:>8.0} {:>8.0} {:>9.2} {:>9.1} {:>6.0}K {:>7.1}",
        run.claimers,
        run.rate,
        if run.is_product { "product" } else { "alone" },
        f.granted * 100.0,
        f.millis(0.5),
        f.millis(0.99),
        f.writes,
        f.reads,
        calls,
        f.bytes_per_second / f.granted_per_second().max(f64::MIN_POSITIVE) / 1e3,
        f.value_bytes as f64 / 1e3,
        f.bytes_per_second / 1e6,
    );
}

fn check(run: &Run, f: &Figures, alone: &Figures, faults: &mut Vec<String>) {
    let name = format!("{} claimers at {}/s", run.claimers, run.rate);
    if f.granted < MIN_GRANTED_SHARE {
        faults.push(format!("{name}: {:.2}% granted", f.granted * 100.0));
    }
    if f.own_duplicates > 0 {
        faults.push(format!("{name}: {} own duplicates", f.own_duplicates));
    }
    if f.value_bytes > platform::MAX_VALUE_BYTES {
        faults.push(format!("{name}: a value of {} bytes", f.value_bytes));
    }
    let grown = f.millis(0.99) / alone.millis(0.99);
    if run.rate <= LOW_REQUESTS_PER_SECOND && grown > MAX_LOW_RATE_P99_RATIO {
        faults.push(format!("{name}: p99 is {grown:.2} of that alone"));
    }
}
