//! Arguments that the callers' subcommands share.

use geraniummount::ops::output::Format;

use super::operator;

/// What is asked, and the form of the result.
#[derive(Clone, Debug, clap::Args)]
#[group(skip)]
pub struct Args {
    /// Service to ask
    pub service: String,

    /// JSON body of each request
    #[arg(default_value = "{}", long, value_name = "JSON")]
    pub body: String,

    /// Deadline in milliseconds; the service's own by default
    #[arg(long, value_name = "MS")]
    pub deadline_ms: Option<u32>,

    /// Write JSON in place of aligned text
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Form of the result.
    pub fn format(&self) -> Format {
        operator::format(self.json)
    }
}
