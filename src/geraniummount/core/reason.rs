//! Why a shard is missing or a request failed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Closed set of reasons for a failure.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The caller or the query no longer wants it.
    Cancelled,
    /// No connection to the leaf or peer could be opened.
    ConnectFailed,
    /// The connection broke after the request may have left.
    ConnectionLost,
    /// The deadline passed.
    Deadline,
    /// Another request with the same idempotency key was accepted before.
    DuplicateKey,
    /// The leaf answered with an error of its own.
    LeafError,
    /// The leaf is leaving and takes no new work.
    Leaving,
    /// No live VM is known in the leaf's failure domain.
    NoOwner,
    /// The service's layout has no such shard, or the shard no usable replica.
    NoReplica,
    /// Waiting longer was not worth it under the service's preference.
    NotWorthWaiting,
    /// The platform's key-value service, which is needed, did not answer.
    PlatformDown,
    /// The expected wait in the leaf's queue passes the remaining time.
    QueueFull,
    /// The reply carried another attempt's identity.
    ReplyMismatch,
    /// The leaf or VM shed the request before running it.
    Shed,
    /// The reply was read from another snapshot than asked.
    SnapshotMismatch,
    /// The leaf does not hold the snapshot.
    SnapshotNotHeld,
    /// The VM has just started and does not know the configuration yet.
    Starting,
    /// The VM is stopping and takes no new work.
    Stopping,
    /// The reply ended before it was whole.
    Truncated,
    /// The peer did not answer.
    Unreachable,
}

impl Reason {
    /// Returns the reason as it is written in bodies, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Cancelled => "cancelled",
            Reason::ConnectFailed => "connect-failed",
            Reason::ConnectionLost => "connection-lost",
            Reason::Deadline => "deadline",
            Reason::DuplicateKey => "duplicate-key",
            Reason::LeafError => "leaf-error",
            Reason::Leaving => "leaving",
            Reason::NoOwner => "no-owner",
            Reason::NoReplica => "no-replica",
            Reason::NotWorthWaiting => "not-worth-waiting",
            Reason::PlatformDown => "platform-down",
            Reason::QueueFull => "queue-full",
            Reason::ReplyMismatch => "reply-mismatch",
            Reason::Shed => "shed",
            Reason::SnapshotMismatch => "snapshot-mismatch",
            Reason::SnapshotNotHeld => "snapshot-not-held",
            Reason::Starting => "starting",
            Reason::Stopping => "stopping",
            Reason::Truncated => "truncated",
            Reason::Unreachable => "unreachable",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
