//! What holds across the fleet, as one VM can tell.

use serde::{Deserialize, Serialize};

use crate::core::vm::State;
use crate::prelude::*;

/// State of the configuration and the fleet, as far as one VM knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The VM that tells.
    pub vm: VmName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Revision in force on it.
    pub revision: Revision,
    /// Newest revision that any VM is known to have in force.
    pub newest_revision: Revision,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Failure domains by name.
    pub failure_domains: Vec<Domain>,
    /// Leaves that are known to be leaving.
    pub draining: Vec<LeafName>,
}

/// A failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Domain {
    /// Its name.
    pub name: DomainName,
    /// What is known of the newest revision's being in force there.
    pub in_force: InForce,
    /// Lowest revision of its VMs that answer.
    pub lowest_revision: Option<Revision>,
    /// Highest revision of its VMs that answer.
    pub highest_revision: Option<Revision>,
    /// VMs that answer and lag behind the newest revision.
    pub lagging: Vec<VmName>,
    /// VMs that do not answer, so that their revision can't be known.
    pub unknown: Vec<VmName>,
    /// Whether all VMs of the domain are known here, and not only a few.
    pub all_vms_known: bool,
}

/// Whether the newest known revision is in force in a failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InForce {
    /// On every VM that is known and is_answering.
    Yes,
    /// Not yet on some VM that is_answering.
    NotYet,
    /// No VM there is_answering.
    Unknown,
}

impl Status {
    /// Tells what `view` shows.
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

fn is_answering(vm: &Vm) -> bool {
    matches!(vm.state, State::Leaving | State::Live)
}
