//! Errors of starting a process.

use std::fmt;

/// Part of the process that failed to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The callers' listener.
    Callers,
    /// The operators' listener.
    Operators,
    /// The peers' TCP listener or UDP socket.
    Peers,
    /// The control threads.
    Threads,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Callers => {
                "failed to listen for callers; change `listen` in [caller] or free its port"
            }
            Error::Operators => {
                "failed to listen for operators; change `listen` in [operator] or free its port"
            }
            Error::Peers => {
                "failed to listen for peers; change `peer_listen` in [node] or free its port"
            }
            Error::Threads => "failed to start the control threads; raise the thread limit",
        })
    }
}

impl std::error::Error for Error {}
