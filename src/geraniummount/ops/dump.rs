//! `dump`: shows the internal state of one VM's process.

use std::io::Write;
use std::net::SocketAddr;

use error_stack::Report;

use crate::ops::exit::Exit;
use crate::ops::operator_client::OperatorClient;
use crate::ops::output::{self, Format};
use crate::util::table;

/// Writes the internal state of the process behind an operators' listener.
pub fn dump(server: SocketAddr, format: Format, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let answer = OperatorClient::new(server).get("/v1/state")?;
    match format {
        Format::Json => output::json(out, &answer),
        Format::Text => output::text(out, &table::outline(&answer)),
    }
}
