//! Arguments of `geraniummount watch`.

use error_stack::Report;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::watch;

use super::operator;

const EXAMPLES: &str = "\
Examples:
  geraniummount watch
  geraniummount watch --from 0 --count 1 --json";

/// Shows changes to the configuration as they come into force.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Show changes after this revision; after the newest one by default
    #[arg(long, value_name = "REVISION")]
    from: Option<u64>,

    /// Exit after this number of updates
    #[arg(long)]
    count: Option<u32>,

    #[command(flatten)]
    operator: operator::Args,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(self) -> Result<(), Report<Exit>> {
        let options = watch::Options {
            server: self.operator.server,
            from: self.from,
            count: self.count,
            format: self.operator.format(),
        };
        watch::watch(&options, &mut std::io::stdout())
    }
}
