//! Which VM holds a leaf's queue, slots and connections.
//!
//! Each leaf is owned by one live VM of its own failure domain, the first in
//! a rendezvous hash order over the domain's members. All VMs that know the
//! same members agree without a message. Ownership spares load; no promise
//! rests on it, as two VMs that both hold a leaf stay within its connection
//! limit by their shares and within its slots by the leaf's own shedding.
//!
//! Where no VM of the leaf's domain is left, VMs of another domain stand in:
//! the leaf may live though all VMs beside it are lost.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::core::contract::Contract;
use crate::core::known_vms::Candidate;
use crate::core::vm::State;
use crate::prelude::*;

/// VMs that may hold connections to one leaf at the same time.
pub const MAX_CONNECTED_VMS: u16 = 3;

/// Where a part for a leaf goes from this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route<'a> {
    /// This VM owns the leaf.
    Local,
    /// The owner, or in another failure domain a VM that knows the owner.
    Peer(&'a Vm),
    /// No VM is known in the leaf's failure domain, or none answers.
    NoOwner,
}

/// Finds where a part for `leaf` goes.
pub fn route<'a>(view: &'a View, leaf: &Leaf) -> Route<'a> {
    route_excluding(view, leaf, |_| false)
}

/// Finds where a part for `leaf` goes while some VMs are lost to this one.
pub fn route_excluding<'a>(
    view: &'a View,
    leaf: &Leaf,
    is_excluded: impl Fn(&Vm) -> bool,
) -> Route<'a> {
    match preferred_vm(view, &leaf.failure_domain, hash_leaf(leaf), &is_excluded) {
        Some(vm) if vm.name == view.me => Route::Local,
        Some(vm) => Route::Peer(vm),
        // Finishes its own queries while it stops as the last of its domain.
        None if leaf.failure_domain == view.failure_domain => Route::Local,
        None if !has_no_live_vm(view, leaf) => Route::NoOwner,
        None => match fallback_owner(view, leaf, is_excluded) {
            Some(vm) if vm.name == view.me => Route::Local,
            Some(vm) => Route::Peer(vm),
            None => Route::NoOwner,
        },
    }
}

/// Returns whether no VM of the leaf's own domain lives.
fn has_no_live_vm(view: &View, leaf: &Leaf) -> bool {
    let own = view.vms.candidates(&leaf.failure_domain);
    !own.iter().any(|candidate| candidate.state == State::Live)
}

/// Returns the VM that serves a leaf whose own domain has no VM: the first of
/// the domain that comes first in the leaf's order.
fn fallback_owner<'a>(
    view: &'a View,
    leaf: &Leaf,
    is_excluded: impl Fn(&Vm) -> bool,
) -> Option<&'a Vm> {
    let leaf_hash = hash_leaf(leaf);
    let domains = view
        .vms
        .domains()
        .filter(|domain| **domain != leaf.failure_domain);
    let mut domains: Vec<&DomainName> = domains.collect();
    domains.sort_by_key(|domain| std::cmp::Reverse(score(xxh3_64(domain.as_bytes()), leaf_hash)));
    let mut candidates = domains.into_iter();
    candidates.find_map(|domain| preferred_vm(view, domain, leaf_hash, &is_excluded))
}

/// Returns whether VMs of this domain stand in for those of the leaf's own,
/// of which none lives.
fn is_fallback_domain(view: &View, leaf: &Leaf) -> bool {
    let owner = || fallback_owner(view, leaf, |_| false);
    has_no_live_vm(view, leaf) && owner().is_some_and(|vm| vm.failure_domain == view.failure_domain)
}

/// Returns the first VM of a failure domain in the order for a hash, those
/// that are live before those that are suspect.
pub fn preferred_vm<'a>(
    view: &'a View,
    domain: &DomainName,
    hash: u64,
    is_excluded: impl Fn(&Vm) -> bool,
) -> Option<&'a Vm> {
    let first_in_order = |state| {
        let candidates = view.vms.candidates(domain).iter();
        candidates
            .rev()
            .filter(|candidate| candidate.state == state)
            .filter(|candidate| !is_excluded(view.vms.vm(**candidate)))
            // Of equal scores the last one counts, which has the first name.
            .max_by_key(|candidate| score(candidate.name_hash, hash))
    };
    let preferred = first_in_order(State::Live).or_else(|| first_in_order(State::Suspect));
    preferred.map(|candidate| view.vms.vm(*candidate))
}

/// Returns this VM's place in the hash order of the leaf's members that may
/// still hold connections; `None` outside the leaf's failure domain, unless
/// this domain's VMs stand in for its own.
pub fn rank(view: &View, leaf: &Leaf) -> Option<usize> {
    if leaf.failure_domain != view.failure_domain && !is_fallback_domain(view, leaf) {
        return None;
    }
    let leaf_hash = hash_leaf(leaf);
    let own_score = score(xxh3_64(view.me.as_bytes()), leaf_hash);
    let is_ahead = |candidate: &&Candidate| {
        let score = score(candidate.name_hash, leaf_hash);
        // No branch on the first comparison, which can't be predicted.
        (score > own_score) | (score == own_score && view.vms.vm(**candidate).name < view.me)
    };
    let candidates = view.vms.candidates(&view.failure_domain).iter();
    Some(candidates.filter(is_ahead).count())
}

/// Returns how many connections the VM at `rank` may hold to a leaf.
pub fn connection_share(contract: &Contract, rank: usize) -> u16 {
    if rank >= usize::from(MAX_CONNECTED_VMS) {
        return 0;
    }
    let share = contract.connections / MAX_CONNECTED_VMS;
    let remainder = usize::from(contract.connections % MAX_CONNECTED_VMS);
    share + u16::from(rank < remainder)
}

/// Rendezvous score: the highest owns the leaf, the name breaks a tie.
fn score(vm_hash: u64, leaf_hash: u64) -> u64 {
    xxh3_64_with_seed(&vm_hash.to_le_bytes(), leaf_hash)
}

fn hash_leaf(leaf: &Leaf) -> u64 {
    xxh3_64(leaf.name.as_bytes())
}
