//! Describes the VMs, leaves and links of a fleet.

use std::path::PathBuf;

use crate::leaf::Behaviour;
use crate::proxy::Link;

/// The description of a fleet, built by chained calls.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) binary: PathBuf,
    pub(super) seed: u64,
    pub(super) domains: Vec<Domain>,
    pub(super) leaves: Vec<LeafPlan>,
    pub(super) intra_domain_link: Link,
    pub(super) inter_domain_link: Link,
    pub(super) settings: String,
}

/// A failure domain of the plan.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Name.
    pub name: String,
    /// Number of VMs that start in it.
    pub vms: usize,
}

/// A leaf of the plan.
#[derive(Clone, Debug)]
pub struct LeafPlan {
    /// Name.
    pub name: String,
    /// Failure domain of its backend server.
    pub failure_domain: String,
    /// Limits that its resource declares.
    pub contract: Contract,
    /// Behaviour of the stand-in, with the limits that it enforces.
    pub behaviour: Behaviour,
}

/// Limits that a leaf's resource declares.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Contract {
    /// Number of requests that the leaf runs at once.
    pub slots: u16,
    /// Number of connections that the leaf accepts.
    pub connections: u16,
    /// Time to open a connection, in milliseconds.
    pub open_ms: u32,
}

impl Plan {
    /// Creates a plan without VMs and leaves. The VMs run `binary`.
    pub fn new(binary: impl Into<PathBuf>) -> Plan {
        Plan {
            binary: binary.into(),
            seed: 1,
            domains: Vec::new(),
            leaves: Vec::new(),
            intra_domain_link: Link::default(),
            inter_domain_link: Link::default(),
            settings: String::new(),
        }
    }

    /// Adds a failure domain with the given number of VMs.
    pub fn domain(mut self, name: &str, vms: usize) -> Plan {
        self.domains.push(Domain {
            name: name.to_string(),
            vms,
        });
        self
    }

    /// Adds a leaf. Its resource declares the limits that the behaviour enforces.
    pub fn leaf(mut self, name: &str, failure_domain: &str, behaviour: Behaviour) -> Plan {
        self.leaves.push(LeafPlan {
            name: name.to_string(),
            failure_domain: failure_domain.to_string(),
            contract: Contract {
                slots: behaviour.slots as u16,
                connections: behaviour.connections as u16,
                open_ms: behaviour.open_delay.as_millis() as u32,
            },
            behaviour,
        });
        self
    }

    /// Sets the properties of the links between VMs of different failure domains.
    pub fn inter_domain_link(mut self, link: Link) -> Plan {
        self.inter_domain_link = link;
        self
    }

    /// Sets the properties of the links between VMs of the same failure domain.
    pub fn intra_domain_link(mut self, link: Link) -> Plan {
        self.intra_domain_link = link;
        self
    }

    /// Sets the seed from which the stand-ins and proxies derive their random numbers.
    pub fn seed(mut self, seed: u64) -> Plan {
        self.seed = seed;
        self
    }

    /// Sets INI text that is appended to each VM's settings, such as a `[limits]` section.
    pub fn settings(mut self, text: &str) -> Plan {
        self.settings = text.to_string();
        self
    }
}
