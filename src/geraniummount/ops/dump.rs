//! `dump`: shows the state of one process.

use std::io::Write;
use std::net::SocketAddr;

use error_stack::Report;

use crate::ops::exit::Exit;
use crate::ops::output::{self, Form};
use crate::ops::remote::Remote;
use crate::util::table;

/// Shows everything that the process asked holds.
pub fn dump(server: SocketAddr, form: Form, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let answer = Remote::new(server).get("/v1/state")?;
    match form {
        Form::Json => output::json(out, &answer),
        Form::Text => output::text(out, &table::outline(&answer)),
    }
}
