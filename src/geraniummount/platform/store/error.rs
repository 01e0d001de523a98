//! Errors of calls on the key-value store of the users' platform.

use std::fmt;
use std::io;

/// Error of a call on the store.
#[derive(Debug)]
pub enum Error {
    /// No connection was possible, the connection failed, or no answer arrived before the timeout.
    Unreachable(io::Error),
    /// A watch did not report changes that the store has.
    StalledWatch,
    /// The store rejected the call with this status; the call had no effect.
    Refused(u16),
    /// The store no longer keeps the changes after the requested revision (position of a change
    /// among all changes).
    Compacted,
    /// The store has come back from an older copy of itself since the last call. Its revisions are
    /// given out again.
    Restored,
    /// The lease has ended.
    LeaseEnded,
    /// A page of a list states that more keys follow, but does not lead to them.
    Incomplete,
    /// The answer is invalid.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable(cause) => write!(f, "the store can't be reached: {cause}"),
            Error::StalledWatch => {
                f.write_str("the watch did not report changes that the store has")
            }
            Error::Refused(status) => write!(f, "the store rejected the call with status {status}"),
            Error::Compacted => {
                f.write_str("the store no longer keeps the changes after the requested revision")
            }
            Error::Restored => f.write_str("the store has come back from an older copy of itself"),
            Error::LeaseEnded => f.write_str("the lease has ended"),
            Error::Incomplete => {
                f.write_str("a page of the list of keys does not lead to the next one; look for entries that can't be read")
            }
            Error::Malformed(what) => write!(f, "the store's answer is invalid: {what}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Creates the error for an answer that did not arrive before the timeout.
    pub(super) fn timed_out() -> Error {
        Error::Unreachable(io::ErrorKind::TimedOut.into())
    }
}

impl From<io::Error> for Error {
    fn from(cause: io::Error) -> Error {
        Error::Unreachable(cause)
    }
}
