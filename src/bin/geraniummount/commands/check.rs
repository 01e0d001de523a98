//! Arguments of `geraniummount check`.

use std::path::PathBuf;

use error_stack::Report;
use geraniummount::ops::check;
use geraniummount::ops::exit::Exit;

/// Checks a whole settings file and reports every fault with its line.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  geraniummount check --settings a1.ini")]
pub struct Args {
    /// INI file with the settings of one VM
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        check::check(&self.settings, &mut std::io::stdout())
    }
}
