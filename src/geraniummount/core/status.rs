//! Status of the fleet as seen from one VM.

use serde::{Deserialize, Serialize};

use crate::core::vm::State;
use crate::prelude::*;

/// State of the configuration and the fleet as known to one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// VM that reports the status.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: DomainName,
    /// Revision (position in the log of all accepted changes) of the configuration in force on the
    /// VM.
    pub revision: Revision,
    /// Newest revision that is known to be in force on any VM.
    pub newest_revision: Revision,
    /// Whether the VM is stopping.
    pub stopping: bool,
    /// Failure domains sorted by name.
    pub failure_domains: Vec<Domain>,
    /// Leaves that are known to be leaving: they finish the work in hand and accept no new work.
    pub draining: Vec<LeafName>,
}

/// Status of one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: DomainName,
    /// Whether the newest revision is in force in the domain.
    pub in_force: InForce,
    /// Lowest revision of the VMs that answer.
    pub lowest_revision: Option<Revision>,
    /// Highest revision of the VMs that answer.
    pub highest_revision: Option<Revision>,
    /// VMs that answer and have an older revision than the newest.
    pub lagging: Vec<VmName>,
    /// VMs that do not answer, so their revision is unknown.
    pub unknown: Vec<VmName>,
    /// Whether the reporting VM knows all VMs of the domain, and not only a
    /// few.
    pub all_vms_known: bool,
}

/// Whether the newest known revision is in force in a failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InForce {
    /// In force on every known VM that answers.
    Yes,
    /// Not yet in force on some VM that answers.
    NotYet,
    /// No VM of the domain answers.
    Unknown,
}

impl Status {
    /// Derives the status from a view, what a VM knows of the fleet at one moment.
    pub fn of(view: &View) -> Status {
        let revision = view.catalog.revision;
        let revisions = view.vms.iter().map(|vm| vm.revision);
        let newest = revisions.max().unwrap_or_default().max(revision);
        let mut names: Vec<&DomainName> = view.vms.iter().map(|vm| &vm.failure_domain).collect();
        names.sort();
        names.dedup();
        let domains = names.into_iter().map(|name| Domain::of(view, name, newest));
        Status {
            vm: view.me.clone(),
            failure_domain: view.failure_domain.clone(),
            revision,
            newest_revision: newest,
            stopping: view.stopping,
            failure_domains: domains.collect(),
            draining: view.draining.clone(),
        }
    }
}

impl Domain {
    fn of(view: &View, name: &DomainName, newest: Revision) -> Domain {
        let vms = || view.vms.iter().filter(|vm| vm.failure_domain == *name);
        let answering = || vms().filter(|vm| is_answering(vm));
        let lagging = answering().filter(|vm| vm.revision < newest);
        let lagging: Vec<VmName> = lagging.map(|vm| vm.name.clone()).collect();
        let unknown = vms().filter(|vm| vm.state == State::Suspect);
        Domain {
            name: name.clone(),
            in_force: match (answering().count(), lagging.len()) {
                (0, _) => InForce::Unknown,
                (_, 0) => InForce::Yes,
                _ => InForce::NotYet,
            },
            lowest_revision: answering().map(|vm| vm.revision).min(),
            highest_revision: answering().map(|vm| vm.revision).max(),
            lagging,
            unknown: unknown.map(|vm| vm.name.clone()).collect(),
            all_vms_known: *name == view.failure_domain,
        }
    }
}

/// Returns whether a VM answers. A leaving VM still does.
fn is_answering(vm: &Vm) -> bool {
    matches!(vm.state, State::Leaving | State::Live)
}
