//! Arguments that all operators' subcommands share.

use std::net::SocketAddr;

use geraniummount::ops::output::Format;

/// Which process to ask, and the form of its answer.
#[derive(Clone, Copy, Debug, clap::Args)]
#[group(skip)]
pub struct Args {
    /// Operators' listener of any VM, as IP:PORT
    #[arg(env = "GERANIUMMOUNT_SERVER", long, value_name = "IP:PORT")]
    #[arg(default_value = "127.0.0.1:9090")]
    pub server: SocketAddr,

    /// Write JSON in place of aligned text
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Form of the result.
    pub fn format(&self) -> Format {
        format(self.json)
    }
}

/// Form that `--json` stands for.
pub fn format(json: bool) -> Format {
    if json { Format::Json } else { Format::Text }
}
