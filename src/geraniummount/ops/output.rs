//! Writes the results of subcommands.

use std::io::Write;

use error_stack::{Report, ResultExt};
use serde_json::Value;

use crate::ops::exit::Exit;

/// Output format of a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Aligned text for reading.
    Text,
    /// JSON for programs.
    Json,
}

/// Writes text unchanged and flushes the output.
pub fn text(out: &mut impl Write, text: &str) -> Result<(), Report<Exit>> {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written
        .change_context(Exit::Other)
        .attach("the result can't be written to the output")
}

/// Writes pretty-printed JSON.
pub fn json(out: &mut impl Write, value: &Value) -> Result<(), Report<Exit>> {
    text(out, &format!("{value:#}\n"))
}
