//! State of the fleet and the configuration as known to one VM at one moment.

use std::sync::Arc;

use crate::core::leaf::State;
use crate::core::members::Members;
use crate::prelude::*;

/// State that the control thread publishes and the traffic threads read.
#[derive(Clone, Debug)]
pub struct View {
    /// Name of this VM.
    pub me: VmName,
    /// Failure domain of this VM.
    pub failure_domain: DomainName,
    /// Configuration in force, with all resources at one revision.
    pub catalog: Arc<Catalog>,
    /// VMs of the own failure domain, including this one, and the known VMs of other domains
    /// (relays), sorted by name.
    pub vms: Members,
    /// Leaves that are leaving (finish the work in hand and accept no new work), according to the
    /// configuration or any other source, sorted by name.
    pub draining: Vec<LeafName>,
    /// Leaves whose health endpoint reports that they are leaving, sorted by
    /// name.
    pub health_draining: Vec<LeafName>,
    /// Whether this VM is stopping.
    pub stopping: bool,
}

impl View {
    /// Returns whether a leaf accepts no new work, according to the
    /// configuration or any other source.
    pub fn is_leaving(&self, leaf: &LeafName) -> bool {
        let record = self.catalog.leaf(leaf);
        let is_reported = self.draining.binary_search(leaf).is_ok();
        is_reported || record.is_some_and(|record| record.spec.state == State::Draining)
    }

    /// Returns whether a leaf is in another failure domain.
    pub fn is_in_other_domain(&self, leaf: &LeafName) -> bool {
        let record = self.catalog.leaf(leaf);
        record.is_some_and(|record| record.spec.failure_domain != self.failure_domain)
    }
}
