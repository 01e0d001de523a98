//! Why a call on the store failed.

use std::fmt;
use std::io;

/// Why a call on the store failed.
#[derive(Debug)]
pub enum Error {
    /// No connection, or no answer in time.
    Unreachable(io::Error),
    /// A watch was told nothing of changes that there are.
    StalledWatch,
    /// The store turned the call away; nothing was done.
    Refused(u16),
    /// The history before this point is no longer kept.
    Compacted,
    /// The answer can't be understood.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable(cause) => write!(f, "the store can't be reached: {cause}"),
            Error::StalledWatch => f.write_str("the watch was not told of changes"),
            Error::Refused(status) => write!(f, "the store refused the call with {status}"),
            Error::Compacted => f.write_str("the store no longer keeps this history"),
            Error::Malformed(what) => write!(f, "the store's answer can't be read: {what}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// An answer that did not come in time.
    pub(super) fn timed_out() -> Error {
        Error::Unreachable(io::ErrorKind::TimedOut.into())
    }
}

impl From<io::Error> for Error {
    fn from(cause: io::Error) -> Error {
        Error::Unreachable(cause)
    }
}
