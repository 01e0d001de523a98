//! Measures how the cost of the membership and ownership logic grows with the members of a failure
//! domain. No sockets or threads take part. docs/CAPACITY.md uses the resulting slopes.

mod membership;
mod ownership;

use std::process::ExitCode;

fn main() -> ExitCode {
    ownership::run();
    if membership::run() {
        return ExitCode::SUCCESS;
    }
    eprintln!("a VM exceeds its limit for control: 4,096 B/s or 1.1% of a core");
    ExitCode::FAILURE
}
