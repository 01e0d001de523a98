//! A VM that requests can be delegated to.

use std::net::SocketAddr;

use crate::prelude::*;

/// A VM that requests can be delegated to, as registered in the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address on which the VM accepts delegated requests.
    pub address: SocketAddr,
    /// Secret that a delegated request has to contain. Only VMs can read it.
    pub key: String,
    /// Processor share of the VM.
    pub millicores: Millicores,
}
