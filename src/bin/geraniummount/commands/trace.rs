//! Arguments of `geraniummount trace`.

use std::path::PathBuf;

use error_stack::Report;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::trace;

const NOTES: &str = "\
Example:
  geraniummount trace 9c41d07be2a35f68 a1.log b1.log

Without files it reads standard input. Columns: time since the first line, VM,
event, and the remaining keys.";

/// Shows the log lines of gateways about one request, in order of time.
#[derive(Debug, clap::Args)]
#[command(after_help = NOTES)]
pub struct Args {
    /// Id of the request, as sent by its caller
    id: String,
    /// Log files of gateways
    files: Vec<PathBuf>,
    /// Write one JSON object per line
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        trace::run(&self.id, &self.files, self.json, &mut std::io::stdout())
    }
}
