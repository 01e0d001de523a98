//! Arguments of `geraniummount get`.

use error_stack::Report;
use geraniummount::core::config::resource::Kind;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::get;

use super::operator;

const EXAMPLES: &str = "\
Examples:
  geraniummount get service
  geraniummount get leaf shelf-1 --json";

/// Shows one resource, or all of a kind, as in force at the queried VM.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Kind of the resources: leaf or service
    kind: Kind,

    /// Name of the resource; all of the kind if omitted
    name: Option<String>,

    #[command(flatten)]
    operator: operator::Args,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(self) -> Result<(), Report<Exit>> {
        let options = get::Options {
            server: self.operator.server,
            kind: self.kind,
            name: self.name,
            format: self.operator.format(),
        };
        get::get(&options, &mut std::io::stdout())
    }
}
