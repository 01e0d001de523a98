//! Arguments that all operators' subcommands share.

use std::net::SocketAddr;

use geraniummount::ops::output::Form;

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
    pub fn form(&self) -> Form {
        form(self.json)
    }
}

/// Form that `--json` stands for.
pub fn form(json: bool) -> Form {
    if json { Form::Json } else { Form::Text }
}
