//! What one VM knows of the fleet and the configuration at one moment.

use std::sync::Arc;

use crate::prelude::*;

/// State that the control thread publishes and traffic threads read.
#[derive(Clone, Debug)]
pub struct View {
    /// This VM.
    pub me: VmName,
    /// This VM's failure domain.
    pub failure_domain: DomainName,
    /// Configuration in force.
    pub catalog: Arc<Catalog>,
    /// VMs of the own failure domain, this one among them, and known relays of
    /// the others, by name.
    pub vms: Vec<Vm>,
    /// Leaves that are known to be leaving, whoever said so, by name.
    pub draining: Vec<LeafName>,
    /// Whether this VM is stopping.
    pub stopping: bool,
}
