//! Defines the datagrams that VMs exchange.
//!
//! An incarnation is a number that a VM raises with each start and each time that it refutes a
//! suspicion that it has failed. A revision is a position in the log of all accepted changes of the
//! configuration. A leaf is leaving while it finishes the work in hand and accepts no new work. The
//! members of a failure domain are its VMs.

use std::fmt;
use std::net::SocketAddr;

use crate::prelude::*;

/// Maximum number of VM records in one datagram.
pub const MAX_MESSAGE_VMS: usize = 8;
/// Maximum number of leaf notices in one datagram.
pub const MAX_MESSAGE_NOTICES: usize = 8;

/// Largest incarnation, revision or version that is accepted. Incarnations are
/// milliseconds since 1970 and the others count changes, so valid values stay
/// far below it. A record whose counter can't be incremented any more could
/// never be refuted.
pub const MAX_COUNTER: u64 = 1 << 48;

/// One datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Sender. Replies go to its peer address.
    pub from: Vm,
    /// Request or reply of the sender.
    pub body: Body,
    /// Digest of the members of the sender's failure domain, as known to the
    /// sender.
    pub digest: u64,
    /// Updates and random samples of other VMs.
    pub vms: Vec<Vm>,
    /// Updates and random samples of leaf notices.
    pub notices: Vec<Notice>,
}

/// Type of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// Requests an acknowledgement.
    Ping {
        /// Probe id, which the acknowledgement returns.
        probe: u64,
    },
    /// Acknowledges a ping, either for the sender or for the VM that the
    /// sender was asked to probe.
    Ack {
        /// Id of the acknowledged probe.
        probe: u64,
    },
    /// Requests that the receiver probes another VM, which the sender can't reach.
    PingRequest {
        /// Probe id, which the acknowledgement returns.
        probe: u64,
        /// Peer address of the VM to probe.
        target: SocketAddr,
    },
    /// Requests the records of all members and all notices.
    Join,
    /// Carries updates only and expects no reply.
    Push,
}

/// Whether a leaf is leaving, according to one source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Notice {
    /// Leaf that the notice is about.
    pub leaf: LeafName,
    /// Origin of the notice. A source can't withdraw the notice of another
    /// one.
    pub source: Source,
    /// Version that increases with each change. The notice with the higher
    /// version takes precedence.
    pub version: u64,
    /// Whether the leaf is leaving.
    pub draining: bool,
}

/// Origin of the information that a leaf is leaving, apart from the leaf's
/// declared state.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The leaf itself, in a reply or through its health endpoint.
    Leaf,
    /// The leaf's health endpoint. A notice of this source tells a later owner of the leaf (the VM
    /// that holds its queue) that the endpoint reports leaving correctly, and that the endpoint can
    /// be trusted when it reports that the leaf serves again.
    Health,
    /// The platform's membership list, which names all processes, VMs and leaves.
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
    /// Returns whether this notice takes precedence over `other`, which has
    /// the same leaf and source.
    pub fn overrides(&self, other: &Notice) -> bool {
        (self.version, self.draining) > (other.version, other.draining)
    }
}
