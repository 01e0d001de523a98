//! `watch`: shows changes to the configuration as they take effect at the VM that is queried
//! ([`Options::server`]).

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use serde_json::Value;

use crate::ops::exit::Exit;
use crate::ops::operator_client::OperatorClient;
use crate::ops::output::{self, Format};
use crate::prelude::*;
use crate::util::table;

/// Time that the server holds a request while there is no change.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of `watch`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address at which a VM accepts operators' requests.
    pub server: SocketAddr,
    /// Revision (position in the log of accepted changes) after which changes are shown; the newest
    /// one if `None`.
    pub from: Option<Revision>,
    /// Number of answers with a newer revision, each of which may hold several changes, after which
    /// the command ends; unlimited if `None`.
    pub count: Option<u32>,
    /// Output format.
    pub format: Format,
}

/// Writes changes until the process is terminated or the count is reached.
pub fn watch(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let client = OperatorClient::for_long_poll(options.server, LONG_POLL_TIMEOUT);
    let mut revision = match options.from {
        Some(revision) => revision,
        None => newest_revision(&client)?,
    };
    if options.format == Format::Text {
        output::text(out, &format!("watching from revision {revision}\n"))?;
    }
    let mut shown = 0;
    while options.count.is_none_or(|count| shown < count) {
        let path = format!(
            "/v1/resources?watch={revision}&wait_ms={}",
            LONG_POLL_TIMEOUT.as_millis()
        );
        let answer = client.get(&path)?;
        let new_revision = answer["revision"].as_u64().unwrap_or(revision);
        if new_revision <= revision {
            continue;
        }
        revision = new_revision;
        shown += 1;
        write(&answer, options.format, out)?;
    }
    Ok(())
}

/// Returns the newest revision at the server, which each of its answers states.
fn newest_revision(client: &OperatorClient) -> Result<Revision, Report<Exit>> {
    let answer = client.get("/v1/resources?watch=0&wait_ms=0")?;
    Ok(answer["revision"].as_u64().unwrap_or(0))
}

fn write(answer: &Value, format: Format, out: &mut impl Write) -> Result<(), Report<Exit>> {
    if format == Format::Json {
        return output::text(out, &format!("{answer}\n"));
    }
    output::text(
        out,
        &format!("revision {}\n", table::cell(&answer["revision"])),
    )?;
    match answer["changes"].as_array() {
        Some(changes) if !changes.is_empty() => {
            output::text(out, &table::outline(&answer["changes"]))
        }
        // The server's log no longer reaches back to the previous revision, so the answer states
        // only the new one.
        _ => Ok(()),
    }
}
