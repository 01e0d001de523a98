//! Arguments of `geraniummount apply`.

use std::path::PathBuf;

use error_stack::Report;
use geraniummount::ops::apply;
use geraniummount::ops::exit::Exit;

use super::operator;

const EXAMPLES: &str = "\
Examples:
  geraniummount apply -f resources.json
  geraniummount apply -f leaf.json --if-generation 3

A file with one leaf and one service:
  [{\"leaf\": {\"name\": \"shelf-1\", \"address\": \"10.0.0.9:8000\",
             \"failure_domain\": \"arusha-a\",
             \"contract\": {\"slots\": 2, \"connections\": 25, \"open_ms\": 6}}},
   {\"service\": {\"name\": \"shelf\", \"deadline_ms\": 200, \"max_deadline_ms\": 2000,
                \"shards\": [{\"name\": \"s1\", \"replicas\": [\"shelf-1\"]}]}}]";

/// Declares the resources of a JSON file: one resource, or a list of them.
///
/// Leaves are applied before services, whatever the order in the file. The
/// result of each resource is shown.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// JSON file with the resources
    #[arg(long, short, value_name = "FILE")]
    file: PathBuf,

    /// Apply the only resource of the file if it has this generation (0: create)
    #[arg(long, value_name = "GENERATION")]
    if_generation: Option<u64>,

    #[command(flatten)]
    operator: operator::Args,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(self) -> Result<(), Report<Exit>> {
        let options = apply::Options {
            server: self.operator.server,
            file: self.file,
            if_generation: self.if_generation,
            format: self.operator.format(),
        };
        apply::apply(&options, &mut std::io::stdout())
    }
}
