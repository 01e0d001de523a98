//! Arguments of `geraniummount delete`.

use error_stack::Report;
use geraniummount::core::config::resource::Kind;
use geraniummount::ops::delete;
use geraniummount::ops::exit::Exit;

use super::operator;

const EXAMPLES: &str = "\
Examples:
  geraniummount delete service shelf
  geraniummount delete leaf shelf-1 --if-generation 3";

/// Removes a resource; fails if a service still refers to it.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Kind of the resource: leaf or service
    kind: Kind,

    /// Name of the resource
    name: String,

    /// Remove the resource only if its generation, as `get` shows it, is this
    #[arg(long, value_name = "GENERATION")]
    if_generation: Option<u64>,

    #[command(flatten)]
    operator: operator::Args,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(self) -> Result<(), Report<Exit>> {
        let options = delete::Options {
            server: self.operator.server,
            kind: self.kind,
            name: self.name,
            if_generation: self.if_generation,
            format: self.operator.format(),
        };
        delete::delete(&options, &mut std::io::stdout())
    }
}
