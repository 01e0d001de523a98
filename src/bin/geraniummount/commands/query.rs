//! `geraniummount query`.

use std::net::SocketAddr;

use error_stack::Report;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::query;

use super::caller;

const EXAMPLES: &str = "\
Examples:
  geraniummount query shelf --body '{\"text\": \"rope\"}' --deadline-ms 200
  geraniummount query orders --body '{\"item\": 7}' --non-idempotent --shard s1 --key order-7";

/// Sends one request as a caller would and shows its snapshot and coverage.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(flatten)]
    caller: caller::Args,

    /// Name of the request; drawn by the server by default
    #[arg(long, value_name = "ID")]
    request_id: Option<String>,

    /// The request must not run twice
    #[arg(long, requires = "shard")]
    non_idempotent: bool,

    /// The one shard that runs a non-idempotent request
    #[arg(long, requires = "non_idempotent")]
    shard: Option<String>,

    /// Key by which repeated sends of a non-idempotent request are known
    #[arg(long, requires = "non_idempotent")]
    key: Option<String>,

    /// Show which owner, replica and attempt served each shard
    #[arg(long)]
    explain: bool,

    /// Callers' listener of any VM, as IP:PORT
    #[arg(env = "GERANIUMMOUNT_CALLER", long, value_name = "IP:PORT")]
    #[arg(default_value = "127.0.0.1:8080")]
    server: SocketAddr,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(self) -> Result<(), Report<Exit>> {
        let key = self.key;
        let format = self.caller.format();
        let options = query::Options {
            server: self.server,
            service: self.caller.service,
            body: self.caller.body,
            deadline_ms: self.caller.deadline_ms,
            request_id: self.request_id,
            non_idempotent: self.shard.map(|shard| query::NonIdempotent { shard, key }),
            explain: self.explain,
            format,
        };
        query::query(&options, &mut std::io::stdout())
    }
}
