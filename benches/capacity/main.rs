//! Slopes that docs/CAPACITY.md works with, measured on the decisions alone:
//! membership and ownership by the members of a failure domain.

mod membership;
mod ownership;

use std::process::ExitCode;

fn main() -> ExitCode {
    ownership::run();
    if membership::run() {
        return ExitCode::SUCCESS;
    }
    eprintln!("a VM's share for control is passed: 4,096 B/s or 1.1% of a core");
    ExitCode::FAILURE
}
