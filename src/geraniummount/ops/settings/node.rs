//! Section `[node]`: identity of this process and its addresses for peers, the other VMs.

use std::net::SocketAddr;

use super::section::Section;
use crate::prelude::*;

/// Identity of this process among its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name of this VM, unique in the fleet.
    pub name: VmName,
    /// Failure domain of this VM.
    pub failure_domain: DomainName,
    /// Address to listen on for peers: TCP for requests between VMs, UDP for heartbeats.
    pub peer_listen: SocketAddr,
    /// Address that is advertised to peers.
    pub peer_advertise: SocketAddr,
    /// Addresses of peers to contact at start, so that this VM can start while the platform,
    /// which lists all VMs, is unreachable.
    pub first_peers: Vec<SocketAddr>,
}

impl Node {
    /// Reads the section, or returns `None` after rejecting a value.
    pub(super) fn read(section: &mut Section<'_>) -> Option<Node> {
        section.check_keys(&[
            "name",
            "failure_domain",
            "peer_listen",
            "peer_advertise",
            "first_peers",
        ]);
        let name = section.name("name");
        let failure_domain = section.name("failure_domain");
        let peer_listen = section.listener("peer_listen");
        let peer_advertise = section.optional_target("peer_advertise");
        let first_peers = section.targets("first_peers");
        let peer_listen = peer_listen?;
        Some(Node {
            peer_advertise: advertised_address(section, peer_listen, peer_advertise?)?,
            name: name?,
            failure_domain: failure_domain?,
            peer_listen,
            first_peers: first_peers?,
        })
    }
}

/// Returns the address to advertise: `advertise` if given, else that of the listener. Returns
/// `None` after rejecting the listener's address.
fn advertised_address(
    section: &mut Section<'_>,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
) -> Option<SocketAddr> {
    if listen.port() == 0 {
        let allowed = "a fixed port, the same for TCP and UDP";
        section.reject("peer_listen", format!("'{listen}'"), allowed);
        return None;
    }
    if advertise.is_none() && listen.ip().is_unspecified() {
        let allowed = "an address that peers can dial, or one in peer_advertise";
        section.reject("peer_listen", format!("'{listen}'"), allowed);
        return None;
    }
    Some(advertise.unwrap_or(listen))
}
