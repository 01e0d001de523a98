//! Determines which VM owns a leaf and therefore holds its queue, slots and
//! connections.
//!
//! Each leaf is owned by one live VM of its own failure domain: the first one in a rendezvous hash
//! order over the VMs of the domain. All VMs that know the same VMs agree without exchanging
//! messages. Ownership reduces load, but correctness does not depend on it: two VMs that both
//! consider themselves owner stay within the connections of the leaf's contract (what the leaf
//! grants) through their connection shares, how many of these connections each VM may open, and
//! within its slots (the requests that it runs at a time) because the leaf itself sheds load. A
//! [`View`] is what this VM knows of all VMs and of the configuration at one moment.
//!
//! If the leaf's domain has no live VM left, VMs of another domain take over,
//! because the leaf may outlive all VMs of its domain.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::core::config::contract::Contract;
use crate::core::members::Candidate;
use crate::core::vm::State;
use crate::prelude::*;

/// Maximum number of VMs that may hold connections to one leaf at the same
/// time.
pub const MAX_CONNECTED_VMS: u16 = 3;

/// Rank of the VM that leaves a part of its connections to a VM of another failure domain.
const LAST_CONNECTED_RANK: usize = MAX_CONNECTED_VMS as usize - 1;

/// Destination of a part (the share of a request that goes to one shard) that is sent from this VM
/// to a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route<'a> {
    /// This VM owns the leaf, or serves it because the leaf is in its domain and no usable VM is
    /// known there.
    Local,
    /// The owner, or a VM of another failure domain that knows the owner.
    Peer(&'a Vm),
    /// No usable VM is known that owns the leaf.
    NoOwner,
}

/// Determines the destination of a part for `leaf`.
pub fn route<'a>(view: &'a View, leaf: &Leaf) -> Route<'a> {
    route_excluding(view, leaf, |_| false)
}

/// Determines the destination of a part for `leaf` without the VMs for which
/// `is_excluded` returns true.
pub fn route_excluding<'a>(
    view: &'a View,
    leaf: &Leaf,
    is_excluded: impl Fn(&Vm) -> bool,
) -> Route<'a> {
    match preferred_vm(view, &leaf.failure_domain, hash_leaf(leaf), &is_excluded) {
        Some(vm) if vm.name == view.me => Route::Local,
        Some(vm) => Route::Peer(vm),
        // The last VM of a domain still completes its own queries while it is
        // stopping.
        None if leaf.failure_domain == view.failure_domain => Route::Local,
        None if !has_no_live_vm(view, leaf) => Route::NoOwner,
        None => match fallback_owner(view, leaf, is_excluded) {
            Some(vm) if vm.name == view.me => Route::Local,
            Some(vm) => Route::Peer(vm),
            None => Route::NoOwner,
        },
    }
}

/// Determines which VM serves a part for `leaf` in place of those that can't: the first of the VMs
/// that may hold connections to the leaf. If all of these respond and have declined, as they have
/// lost their links, it is a VM of another failure domain.
pub fn stand_in<'a>(
    view: &'a View,
    leaf: &Leaf,
    is_unable: impl Fn(&Vm) -> bool,
    has_declined: impl Fn(&Vm) -> bool,
) -> Route<'a> {
    let leaf_hash = hash_leaf(leaf);
    let mut tried: Vec<&VmName> = Vec::new();
    let mut have_all_declined = true;
    for _ in 0..MAX_CONNECTED_VMS {
        let is_tried = |vm: &Vm| tried.contains(&&vm.name);
        let Some(vm) = preferred_vm(view, &leaf.failure_domain, leaf_hash, is_tried) else {
            break;
        };
        if !is_unable(vm) {
            return route_to(view, vm);
        }
        tried.push(&vm.name);
        have_all_declined &= has_declined(vm);
    }
    if tried.is_empty() || !have_all_declined {
        return route_excluding(view, leaf, is_unable);
    }
    let has_share = stand_in_share(&leaf.contract) > 0;
    match fallback_owner(view, leaf, is_unable).filter(|_| has_share) {
        Some(vm) => route_to(view, vm),
        None => Route::NoOwner,
    }
}

fn route_to<'a>(view: &'a View, vm: &'a Vm) -> Route<'a> {
    if vm.name == view.me {
        Route::Local
    } else {
        Route::Peer(vm)
    }
}

/// Returns whether the leaf's own failure domain has no live VM.
fn has_no_live_vm(view: &View, leaf: &Leaf) -> bool {
    let own = view.vms.candidates(&leaf.failure_domain);
    !own.iter().any(|candidate| candidate.state == State::Live)
}

/// Returns the VM that owns a leaf whose own domain has no live VM. The other
/// domains are ranked by rendezvous hash, and the first domain with a usable
/// VM provides the owner.
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

/// Returns whether the leaf's own domain has no live VM and the leaf's owner is a VM of this VM's
/// domain.
fn is_fallback_domain(view: &View, leaf: &Leaf) -> bool {
    let owner = || fallback_owner(view, leaf, |_| false);
    has_no_live_vm(view, leaf) && owner().is_some_and(|vm| vm.failure_domain == view.failure_domain)
}

/// Returns the VM of a failure domain with the highest rendezvous score for `hash`, the hash of a
/// leaf's name or of another key. Suspect VMs (which did not answer and are not yet declared dead)
/// are considered only if no live VM qualifies.
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
            // `max_by_key` returns the last of several equal maxima. The
            // candidates are reversed, so the first name wins a tie.
            .max_by_key(|candidate| score(candidate.name_hash, hash))
    };
    let preferred = first_in_order(State::Live).or_else(|| first_in_order(State::Suspect));
    preferred.map(|candidate| view.vms.vm(*candidate))
}

/// Returns the number of VMs that come before this one in the leaf's
/// rendezvous order. Counts all VMs of this VM's domain that are not dead, because they may still
/// hold connections. Returns `None` if the leaf is in another failure domain, unless this VM's
/// domain has taken the leaf over.
pub fn rank(view: &View, leaf: &Leaf) -> Option<usize> {
    if leaf.failure_domain != view.failure_domain && !is_fallback_domain(view, leaf) {
        return None;
    }
    let leaf_hash = hash_leaf(leaf);
    let own_score = score(xxh3_64(view.me.as_bytes()), leaf_hash);
    let is_ahead = |candidate: &&Candidate| {
        let score = score(candidate.name_hash, leaf_hash);
        // The non-short-circuiting `|` avoids a branch on the first
        // comparison, which the CPU can't predict.
        (score > own_score) | (score == own_score && view.vms.vm(**candidate).name < view.me)
    };
    let candidates = view.vms.candidates(&view.failure_domain).iter();
    Some(candidates.filter(is_ahead).count())
}

/// Returns how many connections the VM at `rank` may hold to a leaf.
pub fn connection_share(contract: &Contract, rank: usize) -> u16 {
    let third = third_of_connections(contract, rank);
    match rank {
        LAST_CONNECTED_RANK => third - stand_in_share(contract),
        _ => third,
    }
}

/// Returns how many connections a VM of another failure domain may hold to a leaf while no VM of
/// the leaf's own domain reaches it. The leaf may still count the connections of these.
pub fn stand_in_share(contract: &Contract) -> u16 {
    third_of_connections(contract, LAST_CONNECTED_RANK) / 2
}

fn third_of_connections(contract: &Contract, rank: usize) -> u16 {
    if rank >= usize::from(MAX_CONNECTED_VMS) {
        return 0;
    }
    let share = contract.connections / MAX_CONNECTED_VMS;
    let remainder = usize::from(contract.connections % MAX_CONNECTED_VMS);
    share + u16::from(rank < remainder)
}

/// Returns the rendezvous score. The VM with the highest score owns the leaf;
/// the name breaks a tie.
fn score(vm_hash: u64, leaf_hash: u64) -> u64 {
    xxh3_64_with_seed(&vm_hash.to_le_bytes(), leaf_hash)
}

fn hash_leaf(leaf: &Leaf) -> u64 {
    xxh3_64(leaf.name.as_bytes())
}
