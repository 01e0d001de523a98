//! What VMs tell each other in datagrams.

use std::fmt;
use std::net::SocketAddr;

use crate::prelude::*;

/// Most VMs told of in one datagram.
pub const MAX_MESSAGE_VMS: usize = 8;
/// Most leaves told of in one datagram.
pub const MAX_MESSAGE_NOTICES: usize = 8;

/// Largest incarnation, revision or version that is believed. Incarnations
/// are milliseconds since 1970 and the others count changes: none gets near,
/// and one that could not be raised any more could not be refuted.
pub const MAX_COUNTER: u64 = 1 << 48;

/// One datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender; it is answered at its own peer address.
    pub from: Vm,
    /// What the sender wants.
    pub body: Body,
    /// Digest of the members of the sender's failure domain, as it knows them.
    pub digest: u64,
    /// News and samples of other VMs.
    pub vms: Vec<Vm>,
    /// News and samples of leaves.
    pub notices: Vec<Notice>,
}

/// What the sender of a datagram wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks for a sign of life.
    Ping {
        /// Returned by the answer.
        probe: u64,
    },
    /// Gives a sign of life, the sender's own or that of the VM that it was
    /// asked to probe.
    Ack {
        /// Probe that it answers.
        probe: u64,
    },
    /// Asks to probe another VM, which the sender can't reach itself.
    PingRequest {
        /// Returned by the answer.
        probe: u64,
        /// Peer address of the VM to probe.
        target: SocketAddr,
    },
    /// Asks for all members and notices.
    Join,
    /// Only tells.
    Push,
}

/// Whether a leaf is leaving, as one source says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Notice {
    /// The leaf.
    pub leaf: LeafName,
    /// Who says so; no source takes back what another one says.
    pub source: Source,
    /// Grows with each change; the larger one holds.
    pub version: u64,
    /// Whether the leaf is leaving.
    pub draining: bool,
}

/// Who says that a leaf is leaving, beside its operator.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The leaf, by an answer or its health endpoint.
    Leaf,
    /// The leaf's health endpoint: that it says so shows a later owner that
    /// it does not lie, and may be believed when it takes that back.
    Health,
    /// The platform's membership list.
    Members,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Leaf => "the leaf",
            Source::Health => "its health endpoint",
            Source::Members => "the platform's list",
        })
    }
}

impl Notice {
    /// Whether this notice overrides `other` of the same leaf and source.
    pub fn overrides(&self, other: &Notice) -> bool {
        (self.version, self.draining) > (other.version, other.draining)
    }
}
