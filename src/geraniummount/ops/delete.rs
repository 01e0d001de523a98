//! `delete`: removes a resource.

use std::io::Write;
use std::net::SocketAddr;

use error_stack::Report;

use crate::core::config::resource::Kind;
use crate::ops::exit::Exit;
use crate::ops::operator_client::OperatorClient;
use crate::ops::output::{self, Format};
use crate::prelude::*;
use crate::util::table;

/// Options of `delete`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the operators' listener.
    pub server: SocketAddr,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: String,
    /// Generation that the resource must have, which is the revision (position in the log of
    /// accepted changes) at which it was last changed; any if `None`.
    pub if_generation: Option<Generation>,
    /// Output format.
    pub format: Format,
}

/// Removes a resource and writes the revision of the change.
pub fn delete(options: &Options, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let client = OperatorClient::new(options.server);
    let path = format!("/v1/resources/{}/{}", options.kind, options.name);
    let answer = client.change("DELETE", &path, options.if_generation, Vec::new())?;
    if options.format == Format::Json {
        return output::json(out, &answer);
    }
    let revision = table::cell(&answer["revision"]);
    let text = format!(
        "{} {} deleted, revision {revision}\n",
        options.kind, options.name
    );
    output::text(out, &text)
}
