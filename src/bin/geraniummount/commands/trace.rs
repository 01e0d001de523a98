//! `geraniummount trace`.

use std::path::PathBuf;

use error_stack::Report;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::trace;

const NOTES: &str = "\
Example:
  geraniummount trace 9c41d07be2a35f68 a1.log b1.log

Without files it reads standard input. Columns: time since the first line, VM,
kind of line, and the rest of the line.";

/// Shows what the logs of gateways say of one request, in order.
#[derive(Debug, clap::Args)]
#[command(after_help = NOTES)]
pub struct Args {
    /// Id of the request, as its caller sent it
    id: String,
    /// Logs of gateways
    files: Vec<PathBuf>,
    /// Write a JSON object a line
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        trace::run(&self.id, &self.files, self.json, &mut std::io::stdout())
    }
}
