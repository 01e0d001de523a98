//! Arguments of `geraniummount load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use error_stack::Report;
use geraniummount::ops::exit::Exit;
use geraniummount::ops::load;

use super::caller;

const EXAMPLES: &str = "\
Examples:
  geraniummount load shelf --rate 100 --seconds 10
  geraniummount load shelf --seconds 60 --operator 10.0.0.5:9090 --timeline --plot run.svg
  geraniummount load shelf --server 10.0.0.5:8080 --server 10.0.0.6:8080 --deadline-ms 200";

/// Sends queries at a steady rate and shows latency, coverage and refusals.
///
/// Latency is measured from the time at which a query was due, so it includes
/// the time that a query waited to be sent.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(flatten)]
    caller: caller::Args,

    /// Queries per second
    #[arg(default_value_t = 50, long, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    rate: u32,

    /// Duration of the run in seconds
    #[arg(default_value_t = 10, long, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: u64,

    /// Maximum number of queries in flight; further queries wait
    #[arg(default_value_t = 64, long, value_parser = clap::value_parser!(u16).range(1..=1_024))]
    open: u16,

    /// Callers' listener of a VM, as IP:PORT; several are used round-robin
    #[arg(env = "GERANIUMMOUNT_CALLER", long, value_name = "IP:PORT")]
    #[arg(default_value = "127.0.0.1:8080")]
    server: Vec<SocketAddr>,

    /// Operators' listeners of all VMs, to show the extra load on leaves
    #[arg(long, value_name = "IP:PORT")]
    operator: Vec<SocketAddr>,

    /// Show the results of each second of the run
    #[arg(long)]
    timeline: bool,

    /// Plot the run to an SVG file
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(self) -> Result<(), Report<Exit>> {
        let format = self.caller.format();
        let options = load::Options {
            servers: self.server,
            service: self.caller.service,
            body: self.caller.body,
            deadline_ms: self.caller.deadline_ms,
            rate: self.rate,
            duration: Duration::from_secs(self.seconds),
            max_in_flight: self.open.into(),
            operators: self.operator,
            timeline: self.timeline,
            plot: self.plot,
            format,
        };
        load::load(&options, &mut std::io::stdout())
    }
}
