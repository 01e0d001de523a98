//! Injects random faults into gateways that run as separate processes and checks that they keep
//! their promises.
//!
//!     cargo bench --bench soak -- --seeds 50
//!
//! For each seed that violates a promise the bench prints the faults and the logs. Run it with
//! `--from SEED --seeds 1` to repeat that seed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use geraniummount_test_support::soak::{self, Options};

/// Injects random faults into gateways that run as separate processes and checks their promises.
#[derive(Debug, Parser)]
struct Arguments {
    /// First seed; random by default.
    #[arg(long)]
    from: Option<u64>,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Number of gateways.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=200))]
    vms: u16,
    /// Number of shards, with two leaves each.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=200))]
    shards: u16,
    /// Number of callers.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=500))]
    callers: u16,
    /// Seconds for which faults are injected.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Mean time between the starts of two faults, in milliseconds.
    #[arg(long, default_value_t = 350, value_parser = clap::value_parser!(u64).range(10..))]
    gap_ms: u64,
    /// Leave out the store that goes back and the leaves that ask for something.
    #[arg(long)]
    without_platform_faults: bool,
    /// Leave out the leaves that name limits.
    #[arg(long)]
    without_limits: bool,
    /// Leave out the gateways that lose their links to all leaves.
    #[arg(long)]
    without_lost_links: bool,
    /// Leave out the request that crashes leaves.
    #[arg(long)]
    without_crashes: bool,
    /// Add tenants with keys and quotas, and what the operator does to them and to failure domains.
    #[arg(long)]
    with_tenants: bool,
    /// Program to test; the binary of this build by default.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Another build of the program. Half of the gateways begin with it, and each start of a gateway
    /// runs the build that it did not run before.
    #[arg(long)]
    other_program: Option<PathBuf>,
    /// Passed by cargo and ignored.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() -> std::io::Result<ExitCode> {
    let arguments = Arguments::parse();
    let from = arguments
        .from
        .unwrap_or_else(|| rand::random_range(0..1_000_000_000));
    let program = arguments.program;
    let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_geraniummount").into());
    let mut violating_seeds = Vec::new();
    for seed in from..from.saturating_add(arguments.seeds) {
        let options = Options {
            binary: program.clone(),
            other_binary: arguments.other_program.clone(),
            seed,
            vms: usize::from(arguments.vms),
            shards: usize::from(arguments.shards),
            callers: usize::from(arguments.callers),
            fault_duration: Duration::from_secs(arguments.seconds),
            mean_fault_interval: Duration::from_millis(arguments.gap_ms),
            has_platform_faults: !arguments.without_platform_faults,
            has_limits: !arguments.without_limits,
            has_lost_links: !arguments.without_lost_links,
            has_crashes: !arguments.without_crashes,
            has_tenants: arguments.with_tenants,
        };
        let report = soak::run(&options)?;
        print!("{report}");
        if !report.violations.is_empty() {
            violating_seeds.push(seed);
        }
    }
    println!(
        "{} of {} seeds broke a promise: {violating_seeds:?}",
        violating_seeds.len(),
        arguments.seeds
    );
    Ok(match violating_seeds.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
