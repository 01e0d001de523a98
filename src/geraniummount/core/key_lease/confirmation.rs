//! Proof that the configuration in force was the newest one.

use crate::core::boot_time::BootTime;

/// Proof that the configuration in force was the newest at some moment after a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// Time after which the configuration in force was the newest.
    pub began: BootTime,
    /// Where the proof comes from.
    pub source: Source,
}

/// Where a confirmation comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A read of the platform's store.
    Store,
    /// Another VM.
    Peer,
}

impl Source {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
        }
    }
}
