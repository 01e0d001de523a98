//! Arguments of `geraniummount dump`.

use error_stack::Report;
use geraniummount::ops::dump;
use geraniummount::ops::exit::Exit;

use super::operator;

/// Shows the state of one process: members, leaves and their queues.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  geraniummount dump --server 127.0.0.1:9090 --json")]
pub struct Args {
    #[command(flatten)]
    operator: operator::Args,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        let format = self.operator.format();
        dump::dump(self.operator.server, format, &mut std::io::stdout())
    }
}
