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
use crate::core::members::Candidate;
use crate::core::vm::State;
use crate::prelude::*;

/// VMs that may hold connections to one leaf at the same time.
pub const CONNECTED_VMS: u16 = 3;

/// Where a part for a leaf goes from this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route<'a> {
    /// This VM owns the leaf.
    Local,
    /// The owner, or in another failure domain a VM that knows the owner.
    Peer(&'a Vm),
    /// No VM is known in the leaf's failure domain, or none answers.
    Nowhere,
}

/// Finds where a part for `leaf` goes.
pub fn route<'a>(view: &'a View, leaf: &Leaf) -> Route<'a> {
    route_around(view, leaf, |_| false)
}

/// Finds where a part for `leaf` goes while some VMs are lost to this one.
pub fn route_around<'a>(view: &'a View, leaf: &Leaf, is_lost: impl Fn(&Vm) -> bool) -> Route<'a> {
    match first_of(view, &leaf.failure_domain, hash(leaf), &is_lost) {
        Some(vm) if vm.name == view.me => Route::Local,
        Some(vm) => Route::Peer(vm),
        // Finishes its own queries while it stops as the last of its domain.
        None if leaf.failure_domain == view.failure_domain => Route::Local,
        None if !is_deserted(view, leaf) => Route::Nowhere,
        None => match substitute(view, leaf, is_lost) {
            Some(vm) if vm.name == view.me => Route::Local,
            Some(vm) => Route::Peer(vm),
            None => Route::Nowhere,
        },
    }
}

/// Returns whether no VM of the leaf's own domain lives.
fn is_deserted(view: &View, leaf: &Leaf) -> bool {
    let own = view.vms.candidates(&leaf.failure_domain);
    !own.iter().any(|candidate| candidate.state == State::Live)
}

/// Returns the VM that serves a leaf whose own domain has no VM: the first of
/// the domain that comes first in the leaf's order.
fn substitute<'a>(view: &'a View, leaf: &Leaf, is_lost: impl Fn(&Vm) -> bool) -> Option<&'a Vm> {
    let leaf_hash = hash(leaf);
    let domains = view
        .vms
        .domains()
        .filter(|domain| **domain != leaf.failure_domain);
    let mut domains: Vec<&DomainName> = domains.collect();
    domains.sort_by_key(|domain| std::cmp::Reverse(score(xxh3_64(domain.as_bytes()), leaf_hash)));
    let mut firsts = domains.into_iter();
    firsts.find_map(|domain| first_of(view, domain, leaf_hash, &is_lost))
}

/// Returns whether VMs of this domain stand in for those of the leaf's own,
/// of which none lives.
fn stands_in(view: &View, leaf: &Leaf) -> bool {
    let first = || substitute(view, leaf, |_| false);
    is_deserted(view, leaf) && first().is_some_and(|vm| vm.failure_domain == view.failure_domain)
}

/// Returns the first VM of a failure domain in the order for a hash, those
/// that are live before those that are suspect.
pub fn first_of<'a>(
    view: &'a View,
    domain: &DomainName,
    hash: u64,
    is_lost: impl Fn(&Vm) -> bool,
) -> Option<&'a Vm> {
    let first_in_order = |state| {
        let candidates = view.vms.candidates(domain).iter();
        candidates
            .rev()
            .filter(|candidate| candidate.state == state)
            .filter(|candidate| !is_lost(view.vms.vm(**candidate)))
            // Of equal scores the last one counts, which has the first name.
            .max_by_key(|candidate| score(candidate.hash, hash))
    };
    let first = first_in_order(State::Live).or_else(|| first_in_order(State::Suspect));
    first.map(|candidate| view.vms.vm(*candidate))
}

/// Returns this VM's place in the hash order of the leaf's members that may
/// still hold connections; `None` outside the leaf's failure domain, unless
/// this domain's VMs stand in for its own.
pub fn rank(view: &View, leaf: &Leaf) -> Option<usize> {
    if leaf.failure_domain != view.failure_domain && !stands_in(view, leaf) {
        return None;
    }
    let leaf_hash = hash(leaf);
    let mine = score(xxh3_64(view.me.as_bytes()), leaf_hash);
    let is_ahead = |candidate: &&Candidate| {
        let score = score(candidate.hash, leaf_hash);
        // No branch on the first comparison, which can't be predicted.
        (score > mine) | (score == mine && view.vms.vm(**candidate).name < view.me)
    };
    let candidates = view.vms.candidates(&view.failure_domain).iter();
    Some(candidates.filter(is_ahead).count())
}

/// Returns how many connections the VM at `rank` may hold to a leaf.
pub fn connection_share(contract: &Contract, rank: usize) -> u16 {
    if rank >= usize::from(CONNECTED_VMS) {
        return 0;
    }
    let share = contract.connections / CONNECTED_VMS;
    let remainder = usize::from(contract.connections % CONNECTED_VMS);
    share + u16::from(rank < remainder)
}

/// Rendezvous score: the highest owns the leaf, the name breaks a tie.
fn score(vm_hash: u64, leaf_hash: u64) -> u64 {
    xxh3_64_with_seed(&vm_hash.to_le_bytes(), leaf_hash)
}

fn hash(leaf: &Leaf) -> u64 {
    xxh3_64(leaf.name.as_bytes())
}
