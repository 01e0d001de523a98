//! Arguments common to the subcommands that send queries: the query and the output format.

use geraniummount::ops::output::Format;

use super::operator;

/// Query to send and output format.
#[derive(Clone, Debug, clap::Args)]
#[group(skip)]
pub struct Args {
    /// Service to query
    pub service: String,

    /// JSON body of each request
    #[arg(default_value = "{}", long, value_name = "JSON")]
    pub body: String,

    /// Deadline in milliseconds; the service's default if omitted
    #[arg(long, value_name = "MS")]
    pub deadline_ms: Option<u32>,

    /// Write JSON instead of aligned text
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Returns the output format selected by `--json`.
    pub fn format(&self) -> Format {
        operator::format(self.json)
    }
}
