//! Entry point of the `geraniummount` executable.

mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;
use geraniummount::ops::exit;

fn main() -> ExitCode {
    match cli::Cli::parse().exec() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprint!("{}", exit::describe(&report));
            ExitCode::from(*report.current_context())
        }
    }
}
