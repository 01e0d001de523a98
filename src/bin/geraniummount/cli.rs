//! Definition of the command line and dispatch to the subcommands.

use clap::{Parser, Subcommand};
use error_stack::Report;
use geraniummount::ops::exit::Exit;

use crate::commands::{
    apply, check, check_routes, delete, dump, gateway, get, load, query, serve, status, trace,
    watch,
};

const AFTER_HELP: &str = "\
Exit codes:
  0   done
  1   another failure
  2   the command line can't be understood
  3   settings, a resource or a request are not valid
  4   the resource was changed by someone else
  5   the server can't be reached
  6   the change was sent, but its outcome is not known
  7   refused; it was not run
  8   failed; it may have run
  9   there is no such resource
  10  it ran, but the answer was lost
  11  the input is valid, but has warnings

First steps:
  geraniummount check --settings a1.ini      check a settings file
  geraniummount serve --settings a1.ini      run a process with it
  geraniummount apply -f resources.json      declare leaves and services
  geraniummount query my-service --body '{}' ask a service";

/// Query tier in front of many shards.
#[derive(Debug, Parser)]
#[command(after_help = AFTER_HELP, name = "geraniummount", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the query tier's process on this VM until it is told to stop
    Serve(serve::Args),
    /// Run a gateway, which sends callers' requests to leaves by host and path, until told to stop
    Gateway(gateway::Args),
    /// Check a settings file as serve would
    Check(check::Args),
    /// Check the configuration document of gateways before it is sent
    CheckRoutes(check_routes::Args),
    /// Declare the resources in a file
    Apply(apply::Args),
    /// Show one resource, or all of a kind
    Get(get::Args),
    /// Show changes to resources as they come into force at one VM
    Watch(watch::Args),
    /// Remove a resource
    Delete(delete::Args),
    /// Show which revision of the resources is in force in each failure domain
    Status(status::Args),
    /// Show the lines about one request in the log files of gateways
    Trace(trace::Args),
    /// Show the internal state of one VM's process
    Dump(dump::Args),
    /// Send one request as a caller would
    Query(query::Args),
    /// Send queries at a steady rate and show latency and coverage (share of shards included)
    Load(load::Args),
}

impl Cli {
    /// Runs the chosen subcommand.
    pub fn exec(self) -> Result<(), Report<Exit>> {
        match self.command {
            Command::Serve(args) => args.exec(),
            Command::Gateway(args) => args.exec(),
            Command::Check(args) => args.exec(),
            Command::CheckRoutes(args) => args.exec(),
            Command::Apply(args) => args.exec(),
            Command::Get(args) => args.exec(),
            Command::Watch(args) => args.exec(),
            Command::Delete(args) => args.exec(),
            Command::Status(args) => args.exec(),
            Command::Trace(args) => args.exec(),
            Command::Dump(args) => args.exec(),
            Command::Query(args) => args.exec(),
            Command::Load(args) => args.exec(),
        }
    }
}
