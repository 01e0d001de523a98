//! Events that the control thread handles.
//!
//! The platform consists of two services that the users run: a key-value service, which stores the
//! log of accepted changes, and the membership list (of all processes, VMs and leaves).

use std::net::SocketAddr;

use crate::core::config::change_log::Delta;
use crate::core::gossip::{Message, Source};
use crate::prelude::*;

/// Event for the control thread.
#[derive(Debug)]
pub(super) enum Event {
    /// A datagram of another VM was received.
    Datagram(Message),
    /// Changes were received from the platform, a peer or an operator's request.
    ChangesReceived(Delta),
    /// The platform holds no change that this VM lacks.
    LogUpToDate,
    /// A source reports that a leaf is leaving (draining), or that it is serving again.
    LeafDraining {
        leaf: LeafName,
        source: Source,
        draining: bool,
    },
    /// The platform's membership list contains these addresses, at which peers may be found.
    PeerHints(Vec<SocketAddr>),
    /// This VM begins a planned stop, which the other VMs must be informed of.
    AnnounceLeaving,
    /// The control thread must end.
    Stop,
}
