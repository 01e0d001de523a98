//! Why a process could not start.

use std::fmt;

/// Part of the process that did not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The callers' listener.
    Callers,
    /// The operators' listener.
    Operators,
    /// The peers' listener, TCP or UDP.
    Peers,
    /// The threads of the control state.
    Threads,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Callers => {
                "can't listen for callers; free the port of [caller] listen or change it"
            }
            Error::Operators => {
                "can't listen for operators; free the port of [operator] listen or change it"
            }
            Error::Peers => {
                "can't listen for peers; free the port of [node] peer_listen or change it"
            }
            Error::Threads => "can't start the control threads; raise the limit of threads",
        })
    }
}

impl std::error::Error for Error {}
