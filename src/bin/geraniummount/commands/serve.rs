//! Arguments of `geraniummount serve`.

use std::path::PathBuf;

use error_stack::Report;
use geraniummount::ops::check;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::serve;

const NOTES: &str = "\
Example:
  geraniummount serve --settings a1.ini

SIGTERM stops it gracefully: it takes no new requests, finishes those in flight
and exits with 0. RUST_LOG overrides the level in the [log] section.";

/// Runs the query tier's process on this VM until it is told to stop.
#[derive(Debug, clap::Args)]
#[command(after_help = NOTES)]
pub struct Args {
    /// INI file with the settings of this VM
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        let settings = check::load(&self.settings)?;
        geraniummount::ops::logs::start(settings.log.level);
        serve::run(settings)
    }
}
