//! Measures claims of idempotency keys by many VMs in simulated time.
//!
//! Runs the product's claim logic against a simulated platform with the rate limits and latency of
//! the real one. Requests arrive at random VMs, each with a distinct idempotency key. The baseline
//! is a policy in which each VM writes its own claims to the platform as JSON, without forwarding
//! or write limiting. Simulated time makes the figures the same on every machine. The bounds come
//! from the platform's limits and the request deadline. If a run of the product exceeds a bound,
//! the bench exits with code 1.

mod figures;
mod fleet;
mod platform;
mod simulation;

use std::process::ExitCode;

use crate::figures::{Figures, Run};
use crate::simulation::Simulation;

/// Numbers of VMs that claim keys.
const CLAIMER_COUNTS: [usize; 4] = [1, 9, 100, 900];
const REQUESTS_PER_SECOND: [f64; 5] = [5.0, 100.0, 300.0, 1_000.0, 1_600.0];

/// Minimum share of requests whose key is granted.
const MIN_GRANTED_SHARE: f64 = 0.999;
/// Maximum ratio of the product's p99 claim time to the baseline's at a low request rate, at which
/// forwarding claims brings no benefit and must not add latency.
const MAX_LOW_RATE_P99_RATIO: f64 = 1.0;
/// Highest request rate at which [`MAX_LOW_RATE_P99_RATIO`] applies.
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
