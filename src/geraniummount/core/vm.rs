//! Describes a VM that runs one process of the query tier.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Record of a VM as known to another VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name from the settings of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub failure_domain: DomainName,
    /// Address for peers: TCP for calls, UDP for membership datagrams.
    pub peer_address: SocketAddr,
    /// Number that the VM increases with each start and each time that it refutes a suspicion that
    /// it has failed.
    pub incarnation: Incarnation,
    /// State of the VM.
    pub state: State,
    /// Newest configuration revision (position in the log of all accepted changes) that is known to
    /// be in force on the VM.
    pub revision: Revision,
}

/// State of a VM as seen by other VMs. Among records of the same incarnation, a state that is
/// declared later here overrides an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM answers.
    Live,
    /// The VM did not answer and is not yet declared dead.
    Suspect,
    /// The VM announced that it is stopping and completes the work in
    /// progress.
    Leaving,
    /// The VM was declared dead.
    Dead,
}
