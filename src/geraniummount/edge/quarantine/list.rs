//! The value of a key-value store that contains the shared list.

use std::fmt;

/// Reads and writes the value that contains the list.
pub trait List {
    /// Returns the value and its version; version 0 and an empty value if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Failed`] if the store did not answer.
    fn read(&mut self) -> Result<(u64, Vec<u8>), Error>;

    /// Writes the value if it still has this version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Changed`] if the value has another version, and [`Error::Failed`] if the
    /// store did not answer; the value may have been written then.
    fn write(&mut self, version: u64, value: &[u8]) -> Result<(), Error>;
}

/// Error of a call on the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Another VM has changed the value since it was read.
    Changed,
    /// The store rejected the call or did not answer.
    Failed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Changed => f.write_str("another VM has changed the list; read it again"),
            Error::Failed(cause) => write!(f, "the call on the store failed: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
