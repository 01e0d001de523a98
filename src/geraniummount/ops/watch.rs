//! `watch`: shows changes of the configuration as they come into force.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use serde_json::Value;

use crate::ops::exit::Exit;
use crate::ops::output::{self, Form};
use crate::ops::remote::Remote;
use crate::prelude::*;
use crate::util::table;

/// Time that one request waits for a change.
const WAIT: Duration = Duration::from_secs(20);

/// What to watch and from where.
#[derive(Clone, Debug)]
pub struct Options {
    /// Operators' listener.
    pub server: SocketAddr,
    /// Shows the changes after this revision; the newest where none is given.
    pub from: Option<Revision>,
    /// Ends after so many answers with a change; never where none is given.
    pub count: Option<u32>,
    /// Form of the result.
    pub form: Form,
}

/// Shows changes until the process is ended or the count is reached.
pub fn watch(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let remote = Remote::patient(options.server, WAIT);
    let mut revision = match options.from {
        Some(revision) => revision,
        None => newest(&remote)?,
    };
    if options.form == Form::Text {
        output::text(out, &format!("watching from revision {revision}\n"))?;
    }
    let mut seen = 0;
    while options.count.is_none_or(|count| seen < count) {
        let path = format!(
            "/v1/resources?watch={revision}&wait_ms={}",
            WAIT.as_millis()
        );
        let answer = remote.get(&path)?;
        let reached = answer["revision"].as_u64().unwrap_or(revision);
        if reached <= revision {
            continue;
        }
        revision = reached;
        seen += 1;
        write(&answer, options.form, out)?;
    }
    Ok(())
}

fn newest(remote: &Remote) -> Result<Revision, Report<Exit>> {
    let answer = remote.get("/v1/resources?watch=0&wait_ms=0")?;
    Ok(answer["revision"].as_u64().unwrap_or(0))
}

fn write(answer: &Value, form: Form, out: &mut impl Write) -> Result<(), Report<Exit>> {
    if form == Form::Json {
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
        _ => Ok(()),
    }
}
