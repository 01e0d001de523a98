//! VMs of the fleet that this VM knows, of all failure domains and including itself, indexed for
//! the lookup of a leaf's owner, the VM that holds its queue.
//!
//! Each part of a query needs this lookup twice, while the VMs change only every few minutes. Data
//! that depends on the VMs alone is therefore computed once per view (the state of the fleet at one
//! moment): the groups by failure domain and the hashes of the names.

use serde::{Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::vm::State;
use crate::prelude::*;

/// Known VMs sorted by name, with an index by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Members {
    vms: Vec<Vm>,
    /// Failure domains with at least one VM that is not dead, sorted by name.
    domains: Vec<Domain>,
}

/// A VM that is not dead. Its state decides whether it may own leaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Hash of the VM's name.
    pub(super) name_hash: u64,
    /// Index among all VMs, which are sorted by name.
    pub(super) index: usize,
    /// State of the VM.
    pub(super) state: State,
}

#[derive(Clone, Debug)]
struct Domain {
    name: DomainName,
    /// VMs of the domain that are not dead, sorted by index.
    candidates: Vec<Candidate>,
}

impl Members {
    /// Returns all VMs sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter()
    }

    /// Returns the VM of a candidate.
    pub(super) fn vm(&self, candidate: Candidate) -> &Vm {
        &self.vms[candidate.index]
    }

    /// Returns the VMs of a failure domain that are not dead.
    pub(super) fn candidates(&self, domain: &str) -> &[Candidate] {
        match self.domain_index(domain) {
            Ok(index) => &self.domains[index].candidates,
            Err(_) => &[],
        }
    }

    /// Returns the failure domains with at least one VM that is not dead.
    pub(super) fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.iter().map(|domain| &domain.name)
    }

    fn add(&mut self, index: usize) {
        let vm = &self.vms[index];
        let candidate = Candidate {
            name_hash: xxh3_64(vm.name.as_bytes()),
            index,
            state: vm.state,
        };
        match self.domain_index(&vm.failure_domain) {
            Ok(domain) => self.domains[domain].candidates.push(candidate),
            Err(domain) => {
                let first = Domain {
                    name: vm.failure_domain.clone(),
                    candidates: vec![candidate],
                };
                self.domains.insert(domain, first);
            }
        }
    }

    fn domain_index(&self, name: &str) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|domain| domain.name.as_str().cmp(name))
    }
}

impl From<Vec<Vm>> for Members {
    fn from(mut vms: Vec<Vm>) -> Members {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let mut known = Members {
            vms,
            domains: Vec::new(),
        };
        for index in 0..known.vms.len() {
            if known.vms[index].state != State::Dead {
                known.add(index);
            }
        }
        known
    }
}

impl FromIterator<Vm> for Members {
    fn from_iter<I: IntoIterator<Item = Vm>>(vms: I) -> Members {
        Members::from(Vec::from_iter(vms))
    }
}

impl Serialize for Members {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.vms.serialize(serializer)
    }
}
