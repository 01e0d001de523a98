//! The VMs that one VM knows, arranged for the search for a leaf's owner.
//!
//! Each part needs that search twice, while the VMs change every few minutes.
//! So what depends on the VMs alone is worked out once a view: their groups by
//! failure domain and the hashes of their names.

use serde::{Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::vm::State;
use crate::prelude::*;

/// VMs by name.
#[derive(Clone, Debug, Default)]
pub struct KnownVms {
    vms: Vec<Vm>,
    /// By name.
    domains: Vec<Domain>,
}

/// A VM that may own leaves of its failure domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Hash of its name.
    pub(super) name_hash: u64,
    /// Its index among all VMs, which is the order of the names too.
    pub(super) index: usize,
    /// What is known of its life.
    pub(super) state: State,
}

#[derive(Clone, Debug)]
struct Domain {
    name: DomainName,
    /// By index.
    candidates: Vec<Candidate>,
}

impl KnownVms {
    /// Returns all VMs by name.
    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter()
    }

    /// Returns the VM at a candidate's index.
    pub(super) fn vm(&self, candidate: Candidate) -> &Vm {
        &self.vms[candidate.index]
    }

    /// Returns the VMs of a failure domain that are not given up.
    pub(super) fn candidates(&self, domain: &str) -> &[Candidate] {
        match self.domain_index(domain) {
            Ok(index) => &self.domains[index].candidates,
            Err(_) => &[],
        }
    }

    /// Returns the failure domains that have VMs which are not given up.
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

impl From<Vec<Vm>> for KnownVms {
    fn from(mut vms: Vec<Vm>) -> KnownVms {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let mut known = KnownVms {
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

impl FromIterator<Vm> for KnownVms {
    fn from_iter<I: IntoIterator<Item = Vm>>(vms: I) -> KnownVms {
        KnownVms::from(Vec::from_iter(vms))
    }
}

impl Serialize for KnownVms {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.vms.serialize(serializer)
    }
}
