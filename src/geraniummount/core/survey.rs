//! Selection of the VMs in other failure domains that are asked which snapshots the leaves of a
//! service hold.
//!
//! A snapshot is a version of the index. The owner of a leaf is the VM that holds its queue and
//! learns its snapshots. Every VM of a failure domain knows all owners in that domain, which makes
//! one VM per domain sufficient. Another one is asked only if the first fails, is slow or omits
//! leaves.

use std::net::SocketAddr;

use crate::core::ownership::{self, Route};
use crate::prelude::*;

/// A survey of one service: the VMs asked and the leaves still unreported, by failure domain.
#[derive(Clone, Debug)]
pub struct Survey {
    /// Failure domains other than this VM's own, sorted by name.
    domains: Vec<Domain>,
}

/// Progress of the survey in one failure domain.
#[derive(Clone, Debug)]
struct Domain {
    /// First leaf of the domain; its name determines the order in which VMs are asked.
    first_leaf: Leaf,
    /// Leaves that no answer has reported yet, sorted by name.
    unreported: Vec<LeafName>,
    /// Peer addresses of the VMs that were asked.
    asked: Vec<SocketAddr>,
}

impl Survey {
    /// Starts a survey of all failure domains other than this VM's own.
    pub fn new(view: &View, service: &Service) -> Survey {
        let mut domains: Vec<Domain> = Vec::new();
        let shards = service.shards.iter();
        for leaf in shards.flat_map(|shard| &shard.replicas) {
            if !view.is_in_other_domain(leaf) {
                continue;
            }
            let Some(record) = view.catalog.leaf(leaf) else {
                continue;
            };
            add_leaf(&mut domains, &record.spec);
        }
        Survey { domains }
    }

    /// Returns the number of failure domains in the survey.
    pub fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Returns the address of the next VM to ask about the failure domain with index `domain`.
    /// VMs for which `is_lost` returns true are skipped. Returns `None` if all leaves there are
    /// reported or no further VM can be asked.
    pub fn next_vm(
        &mut self,
        domain: usize,
        view: &View,
        is_lost: impl Fn(&Vm) -> bool,
    ) -> Option<SocketAddr> {
        let domain = self.domains.get_mut(domain)?;
        if domain.unreported.is_empty() {
            return None;
        }
        let is_skipped = |vm: &Vm| domain.asked.contains(&vm.peer_address) || is_lost(vm);
        match ownership::route_excluding(view, &domain.first_leaf, is_skipped) {
            // A VM that stands in for a domain without live VMs belongs to another domain. It is
            // asked only if no other VM was asked before, and no further VM is asked after it.
            Route::Peer(vm)
                if vm.failure_domain == domain.first_leaf.failure_domain
                    || domain.asked.is_empty() =>
            {
                domain.asked.push(vm.peer_address);
                Some(vm.peer_address)
            }
            Route::Peer(_) | Route::Local | Route::NoOwner => None,
        }
    }

    /// Records an answer about the failure domain with index `domain`.
    pub fn on_answer(&mut self, domain: usize, held: &[Holding]) {
        if let Some(domain) = self.domains.get_mut(domain) {
            let is_reported = |leaf: &LeafName| held.iter().any(|holding| holding.leaf == *leaf);
            domain.unreported.retain(|leaf| !is_reported(leaf));
        }
    }
}

fn add_leaf(domains: &mut Vec<Domain>, leaf: &Leaf) {
    let name = &leaf.failure_domain;
    match domains.binary_search_by(|domain| domain.first_leaf.failure_domain.cmp(name)) {
        Ok(index) => {
            let unreported = &mut domains[index].unreported;
            if let Err(index) = unreported.binary_search(&leaf.name) {
                unreported.insert(index, leaf.name.clone());
            }
        }
        Err(index) => domains.insert(
            index,
            Domain {
                first_leaf: leaf.clone(),
                unreported: vec![leaf.name.clone()],
                asked: Vec::new(),
            },
        ),
    }
}
