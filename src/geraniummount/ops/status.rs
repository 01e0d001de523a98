//! `status`: shows what actually holds in the fleet, as far as one VM knows.

use std::io::Write;
use std::net::SocketAddr;

use error_stack::Report;

use crate::ops::exit::Exit;
use crate::ops::output::{self, Form};
use crate::ops::remote::Remote;
use crate::util::table;

/// Shows the revision in force per failure domain, the VMs that lag and the rest.
pub fn status(server: SocketAddr, form: Form, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let answer = Remote::new(server).get("/v1/status")?;
    match form {
        Form::Json => output::json(out, &answer),
        Form::Text => output::text(out, &table::outline(&answer)),
    }
}
