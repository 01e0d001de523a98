//! Measures the resource usage of a real process by the members of its failure domain, the declared
//! resources, the leaves that it owns, the queries per second and the shards of a query.
//!
//! Each table gives one slope of docs/CAPACITY.md. The stand-ins for the platform and the leaves
//! run in the bench process, which keeps their cost out of the figures of the measured processes.
//! To run only some tables, name them: `cargo bench --bench processes -- members leaves`. Fails if
//! a process exceeds its limits for control, either idle or with all resources declared.

mod configuration;
mod leaves;
mod members;
mod queries;

use std::process::ExitCode;

/// Path of the measured program.
const BINARY: &str = env!("CARGO_BIN_EXE_geraniummount");

/// Maximum memory of a VM for control, from the target.
const MAX_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// A table that the command line can select by name.
struct Table {
    name: &'static str,
    /// Prints the table; returns whether all rows are within their limits.
    run: fn() -> bool,
}

const TABLES: [Table; 4] = [
    Table {
        name: "members",
        run: members::run,
    },
    Table {
        name: "configuration",
        run: configuration::run,
    },
    Table {
        name: "leaves",
        run: leaves::run,
    },
    Table {
        name: "queries",
        run: queries::run,
    },
];

fn main() -> ExitCode {
    // Cargo passes flags such as `--bench`; only arguments without a dash are table names.
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| !word.starts_with('-'))
        .collect();
    let wanted = |table: &&Table| words.is_empty() || words.iter().any(|word| word == table.name);
    let mut is_within_bounds = true;
    for table in TABLES.iter().filter(wanted) {
        println!("\n{}", table.name);
        is_within_bounds &= (table.run)();
    }
    if is_within_bounds {
        return ExitCode::SUCCESS;
    }
    eprintln!("a limit was exceeded; see the tables above");
    ExitCode::FAILURE
}
