//! Arguments common to the operators' subcommands: server and output format.

use std::net::SocketAddr;

use geraniummount::ops::output::Format;

/// Process to query and output format.
#[derive(Clone, Copy, Debug, clap::Args)]
#[group(skip)]
pub struct Args {
    /// Operators' listener of any VM, as IP:PORT
    #[arg(env = "GERANIUMMOUNT_SERVER", long, value_name = "IP:PORT")]
    #[arg(default_value = "127.0.0.1:9090")]
    pub server: SocketAddr,

    /// Write JSON instead of aligned text
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Returns the output format selected by `--json`.
    pub fn format(&self) -> Format {
        format(self.json)
    }
}

/// Returns the output format that the value of `--json` selects.
pub fn format(json: bool) -> Format {
    if json { Format::Json } else { Format::Text }
}
