//! Arguments of `geraniummount check-routes`.

use std::path::PathBuf;

use clap::ValueEnum;
use error_stack::Report;
use geraniummount::ops::check_routes::{self, Input};
use geraniummount::ops::exit::Exit;
use geraniummount::ops::output;

/// Checks the configuration document of gateways before it is sent: errors, entries that no request
/// matches, contradicting limits, and differences to the version in force.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  geraniummount check-routes new.json --in-force old.json")]
pub struct Args {
    /// Document to check
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Document in force, whose differences are shown
    #[arg(long, value_name = "FILE")]
    in_force: Option<PathBuf>,
    /// Regions of the failure domains, as in the gateways' settings
    #[arg(long, value_delimiter = ',', value_name = "DOMAIN=REGION,...", value_parser = parse_pair)]
    regions: Vec<(String, String)>,
    /// Output format
    #[arg(long, default_value = "text", value_enum)]
    format: Format,
}

/// Output format.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    Text,
    Json,
}

impl Args {
    /// Runs the subcommand.
    pub fn exec(&self) -> Result<(), Report<Exit>> {
        let input = Input {
            file: &self.file,
            in_force: self.in_force.as_deref(),
            regions: &self.regions,
        };
        let format = match self.format {
            Format::Text => output::Format::Text,
            Format::Json => output::Format::Json,
        };
        check_routes::check(input, format, &mut std::io::stdout())
    }
}

fn parse_pair(text: &str) -> Result<(String, String), String> {
    let pair = text
        .split_once('=')
        .map(|(domain, region)| (domain.trim(), region.trim()));
    match pair {
        Some((domain, region)) if !domain.is_empty() && !region.is_empty() => {
            Ok((domain.to_string(), region.to_string()))
        }
        _ => Err("use DOMAIN=REGION".to_string()),
    }
}
