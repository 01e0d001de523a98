//! `status`: shows what actually holds in the fleet, as far as one VM knows.

use std::io::Write;
use std::net::SocketAddr;

use error_stack::Report;

use crate::ops::exit::Exit;
use crate::ops::operator_client::OperatorClient;
use crate::ops::output::{self, Format};
use crate::util::table;

/// Shows the revision in force per failure domain, the VMs that lag and the rest.
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
