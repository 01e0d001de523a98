//! Why a shard is missing or a request failed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reason for a failure. The set of reasons is closed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The caller or the query no longer needs the result.
    Cancelled,
    /// No connection to the leaf or to the peer, another VM, could be opened.
    ConnectFailed,
    /// The connection failed after the request may have been sent.
    ConnectionLost,
    /// The deadline passed.
    Deadline,
    /// Another request with the same idempotency key was accepted earlier.
    DuplicateKey,
    /// The leaf answered with an error of its own.
    LeafError,
    /// The leaf is leaving: it finishes the work in hand and accepts no new work.
    Leaving,
    /// No usable VM is known that owns the leaf, that is, holds its queue, or the VM reached has no
    /// share of the leaf's connections.
    NoOwner,
    /// The service's layout (its shards and their replicas) has no such shard, or the shard has no
    /// usable replica.
    NoReplica,
    /// Waiting longer was not worthwhile under the service's preference (low latency or full
    /// coverage).
    NotWorthWaiting,
    /// The platform's key-value service, which the request requires, did not answer.
    PlatformDown,
    /// Leaves have crashed while they ran the request, and it is withheld.
    Quarantined,
    /// The expected wait in the leaf's queue exceeds the remaining time.
    QueueFull,
    /// The reply named another attempt (one try to run the request at one leaf) than the one that
    /// was sent, or none.
    ReplyMismatch,
    /// The leaf or VM shed the request before running it.
    Shed,
    /// The reply was read from a different snapshot (version of the index) than requested.
    SnapshotMismatch,
    /// The leaf does not hold the snapshot.
    SnapshotNotHeld,
    /// The VM has just started and does not have the configuration yet.
    Starting,
    /// The VM is stopping and accepts no new work.
    Stopping,
    /// The reply was incomplete.
    Truncated,
    /// The peer did not answer.
    Unreachable,
}

impl Reason {
    /// Returns the spelling of the reason in response bodies, metrics and logs.
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
            Reason::Quarantined => "quarantined",
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
