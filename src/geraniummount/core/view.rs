//! What one VM knows of the fleet and the configuration at one moment.

use std::sync::Arc;

use crate::core::known_vms::KnownVms;
use crate::core::leaf::State;
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
    pub vms: KnownVms,
    /// Leaves that are known to be leaving, whoever said so, by name.
    pub draining: Vec<LeafName>,
    /// Leaves whose health endpoint says that they are leaving, by name.
    pub health_draining: Vec<LeafName>,
    /// Whether this VM is stopping.
    pub stopping: bool,
}

impl View {
    /// Returns whether a leaf takes no new work, whoever said so.
    pub fn is_leaving(&self, leaf: &LeafName) -> bool {
        let record = self.catalog.leaf(leaf);
        let is_reported = self.draining.binary_search(leaf).is_ok();
        is_reported || record.is_some_and(|record| record.spec.state == State::Draining)
    }

    /// Returns whether a leaf is in another failure domain.
    pub fn is_far(&self, leaf: &LeafName) -> bool {
        let record = self.catalog.leaf(leaf);
        record.is_some_and(|record| record.spec.failure_domain != self.failure_domain)
    }
}
