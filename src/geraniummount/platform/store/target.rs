//! Target (path and query) of a call on the key-value store of the users' platform.
//!
//! Any writer can choose the name of a key. Each value of a query is therefore encoded: a key that
//! contains `&`, `#`, `%`, `+` or a blank would otherwise end its parameter or the request line, and
//! the store would answer another call than the one meant, or none.

use std::fmt::{self, Display, Write};

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are encoded in the value of a parameter: all but those that mean nothing in a
/// query.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Target of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Target(String);

impl Target {
    /// Creates the target of a call without parameters.
    pub(super) fn new(path: impl Into<String>) -> Target {
        Target(path.into())
    }

    /// Adds a parameter.
    pub(super) fn with(mut self, name: &str, value: impl Display) -> Target {
        let separator = if self.0.contains('?') { '&' } else { '?' };
        let value = value.to_string();
        let value = utf8_percent_encode(&value, ENCODED);
        // Writing to a string cannot fail.
        let _ = write!(self.0, "{separator}{name}={value}");
        self
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
