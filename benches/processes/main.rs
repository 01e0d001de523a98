//! What a real process costs, by size: members of its failure domain,
//! resources, leaves that it owns, queries a second, shards of a query.
//!
//! Each table is one slope of docs/CAPACITY.md. Stand-ins run in this process,
//! so that the figures of the started processes are theirs alone. Name tables
//! to run only these: `cargo bench --bench processes -- members leaves`.
//! Fails where a process passes its share for control, idle or with all
//! resources declared.

mod configuration;
mod leaves;
mod members;
mod queries;

use std::process::ExitCode;

/// The program that is measured.
const BINARY: &str = env!("CARGO_BIN_EXE_geraniummount");

/// Memory of a VM for control, as the target states it, in bytes.
const MAX_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// A table by name.
struct Table {
    name: &'static str,
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
    // Cargo adds flags of its own; only words name tables.
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
    eprintln!("a bound was passed");
    ExitCode::FAILURE
}
