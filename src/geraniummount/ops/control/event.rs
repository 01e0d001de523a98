//! What the control thread reacts to.

use std::net::SocketAddr;

use crate::core::change_log::Delta;
use crate::core::gossip::{Message, Source};
use crate::prelude::*;

/// One event.
#[derive(Debug)]
pub(super) enum Event {
    /// A datagram came.
    Datagram(Message),
    /// The platform or a peer told of changes.
    ChangesReceived(Delta),
    /// The platform holds no change that this VM lacks.
    LogUpToDate,
    /// A source says whether a leaf is leaving.
    LeafDraining {
        leaf: LeafName,
        source: Source,
        draining: bool,
    },
    /// The platform's list names these peer addresses.
    PeerHints(Vec<SocketAddr>),
    /// This VM stops.
    AnnounceLeaving,
    /// The thread is to end.
    Stop,
}
