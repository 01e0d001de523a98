//! Arguments of `geraniummount gateway`.

use std::path::PathBuf;

use error_stack::Report;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::gateway;

const NOTES: &str = "\
Example:
  geraniummount gateway --settings /etc/geraniummount/settings.ini

SIGTERM stops it gracefully: readiness fails, open requests are answered, and
it exits with 0. SIGHUP reads the settings again.";

/// Routes callers' requests by host and path until it is told to stop.
#[derive(Debug, clap::Args)]
#[command(after_help = NOTES)]
pub struct Args {
    /// INI file with the settings of this VM
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        if self.check {
            return gateway::check(&self.settings, &mut std::io::stdout());
        }
        gateway::run(&self.settings)
    }
}
