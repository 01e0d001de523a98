//! Arguments of `geraniummount status`.

use error_stack::Report;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::status;

use super::operator;

/// Shows the actual state of the fleet: the revision in force in each failure
/// domain, VMs that lag, and what the queried VM can't determine.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  geraniummount status --server 127.0.0.1:9090")]
pub struct Args {
    #[command(flatten)]
    operator: operator::Args,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        let format = self.operator.format();
        status::status(self.operator.server, format, &mut std::io::stdout())
    }
}
