//! A VM that runs one process of the query tier.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A VM as another VM knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name from its settings.
    pub name: VmName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Where it talks to peers: TCP for calls, UDP for heartbeats.
    pub peer_address: SocketAddr,
    /// Raised with each start and each refuted suspicion.
    pub incarnation: Incarnation,
    /// What is known of its life.
    pub state: State,
    /// Newest revision of the configuration it is known to have in force.
    pub revision: Revision,
}

/// Life of a VM as seen from outside, in the order in which news overrides
/// older news of the same incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Answers.
    Live,
    /// Did not answer; not yet given up.
    Suspect,
    /// Said that it stops; finishes what it holds.
    Leaving,
    /// Given up.
    Dead,
}
