//! Plays random faults against gateways that run as processes of their own,
//! and checks the promises meanwhile.
//!
//!     cargo bench --bench soak -- --seeds 50
//!
//! Each seed that breaks a promise is shown with its faults and its logs, and
//! plays again with `--from SEED --seeds 1`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use geraniummount_test_support::soak::{self, Options};

/// Plays random faults against gateways that run as processes of their own.
#[derive(Debug, Parser)]
struct Arguments {
    /// First seed; drawn where it is left out.
    #[arg(long)]
    from: Option<u64>,
    /// Seeds to play, one after the other.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Gateways.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=200))]
    vms: u16,
    /// Shards, of two leaves each.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=200))]
    shards: u16,
    /// Callers.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=500))]
    callers: u16,
    /// Seconds with faults.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Mean milliseconds between the beginnings of two faults.
    #[arg(long, default_value_t = 350, value_parser = clap::value_parser!(u64).range(10..))]
    gap_ms: u64,
    /// Program that is played; the one of this build where it is left out.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Given by cargo.
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
            seed,
            vms: usize::from(arguments.vms),
            shards: usize::from(arguments.shards),
            callers: usize::from(arguments.callers),
            fault_duration: Duration::from_secs(arguments.seconds),
            mean_fault_interval: Duration::from_millis(arguments.gap_ms),
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
