//! `status`: shows the actual state of the fleet, as far as one VM knows it.

use std::io::Write;
use std::net::SocketAddr;

use error_stack::Report;

use crate::ops::exit::Exit;
use crate::ops::operator_client::OperatorClient;
use crate::ops::output::{self, Format};
use crate::util::table;

/// Writes the state of the fleet, such as the revision (position in the log of accepted changes) in
/// force in each failure domain and the VMs that lag.
pub fn status(
    server: SocketAddr,
    format: Format,
    out: &mut impl Write,
) -> Result<(), Report<Exit>> {
    let answer = OperatorClient::new(server).get("/v1/status")?;
    match format {
        Format::Json => output::json(out, &answer),
        Format::Text => output::text(out, &table::outline(&answer)),
    }
}
