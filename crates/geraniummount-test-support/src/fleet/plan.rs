//! What a fleet consists of.

use std::path::PathBuf;

use crate::leaf::Behaviour;
use crate::proxy::Link;

/// Plan of a fleet, written as the scenario reads.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) binary: PathBuf,
    pub(super) seed: u64,
    pub(super) domains: Vec<Domain>,
    pub(super) leaves: Vec<LeafPlan>,
    pub(super) within: Link,
    pub(super) between: Link,
    pub(super) settings: String,
}

/// A failure domain.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Name.
    pub name: String,
    /// VMs that start in it.
    pub vms: usize,
}

/// A leaf.
#[derive(Clone, Debug)]
pub struct LeafPlan {
    /// Name.
    pub name: String,
    /// Failure domain of its backend server.
    pub failure_domain: String,
    /// Limits that its resource declares.
    pub contract: Contract,
    /// How it behaves, with its own limits.
    pub behaviour: Behaviour,
}

/// Limits that a leaf's resource declares.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Contract {
    /// Requests at once.
    pub slots: u16,
    /// Connections.
    pub connections: u16,
    /// Time to open a connection, in milliseconds.
    pub open_ms: u32,
}

impl Plan {
    /// A fleet without VMs, of processes of `binary`.
    pub fn new(binary: impl Into<PathBuf>) -> Plan {
        Plan {
            binary: binary.into(),
            seed: 1,
            domains: Vec::new(),
            leaves: Vec::new(),
            within: Link::default(),
            between: Link::default(),
            settings: String::new(),
        }
    }

    /// Adds a failure domain with its VMs.
    pub fn domain(mut self, name: &str, vms: usize) -> Plan {
        self.domains.push(Domain {
            name: name.to_string(),
            vms,
        });
        self
    }

    /// Adds a leaf whose resource declares the behaviour's own limits.
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

    /// Sets the links between VMs of different failure domains.
    pub fn between(mut self, link: Link) -> Plan {
        self.between = link;
        self
    }

    /// Sets the links between VMs of one failure domain.
    pub fn within(mut self, link: Link) -> Plan {
        self.within = link;
        self
    }

    /// Sets the seed of every random draw in stand-ins and proxies.
    pub fn seed(mut self, seed: u64) -> Plan {
        self.seed = seed;
        self
    }

    /// Adds INI text to each VM's settings, such as a `[limits]` section.
    pub fn settings(mut self, text: &str) -> Plan {
        self.settings = text.to_string();
        self
    }
}
