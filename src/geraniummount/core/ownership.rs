//! Which VM holds a leaf's queue, slots and connections.
//!
//! Each leaf is owned by one live VM of its own failure domain, the first in
//! a rendezvous hash order over the domain's members. All VMs that know the
//! same members agree without a message. Ownership spares load; no promise
//! rests on it, as two VMs that both hold a leaf stay within its connection
//! limit by their shares and within its slots by the leaf's own shedding.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::contract::Contract;
use crate::core::vm::State;
use crate::prelude::*;

/// VMs that may hold connections to one leaf at the same time.
pub const CONNECTED_VMS: u16 = 3;

/// Where a part for a leaf goes from this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// This VM owns the leaf.
    Local,
    /// The owner, or in another failure domain a VM that knows the owner.
    Peer(Vm),
    /// No VM is known in the leaf's failure domain, or none answers.
    Nowhere,
}

/// Finds where a part for `leaf` goes.
pub fn route(view: &View, leaf: &Leaf) -> Route {
    route_around(view, leaf, |_| false)
}

/// Finds where a part for `leaf` goes while some VMs are lost to this one.
pub fn route_around(view: &View, leaf: &Leaf, is_lost: impl Fn(&Vm) -> bool) -> Route {
    let first = [State::Live, State::Suspect]
        .into_iter()
        .find_map(|state| first_in_order(view, leaf, state, &is_lost));
    match first {
        Some(vm) if vm.name == view.me => Route::Local,
        Some(vm) => Route::Peer(vm.clone()),
        // Finishes its own queries while it stops as the last of its domain.
        None if leaf.failure_domain == view.failure_domain => Route::Local,
        None => Route::Nowhere,
    }
}

/// Returns this VM's place in the hash order of the leaf's members that may
/// still hold connections; `None` outside the leaf's failure domain.
pub fn rank(view: &View, leaf: &Leaf) -> Option<usize> {
    if leaf.failure_domain != view.failure_domain {
        return None;
    }
    let mine = order_key(&view.me, leaf);
    let ahead = members(view, leaf)
        .filter(|vm| vm.state != State::Dead && vm.name != view.me)
        .filter(|vm| order_key(&vm.name, leaf) < mine);
    Some(ahead.count())
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

fn first_in_order<'a>(
    view: &'a View,
    leaf: &Leaf,
    state: State,
    is_lost: impl Fn(&Vm) -> bool,
) -> Option<&'a Vm> {
    members(view, leaf)
        .filter(|vm| vm.state == state && !is_lost(vm))
        .min_by_key(|vm| order_key(&vm.name, leaf))
}

fn members<'a>(view: &'a View, leaf: &Leaf) -> impl Iterator<Item = &'a Vm> {
    view.vms
        .iter()
        .filter(|vm| vm.failure_domain == leaf.failure_domain)
}

/// Rendezvous score, highest first; the name breaks a tie.
fn order_key<'a>(vm: &'a str, leaf: &Leaf) -> (Reverse<u64>, &'a str) {
    let leaf_hash = xxh3_64_with_seed(leaf.name.as_bytes(), 0);
    (Reverse(xxh3_64_with_seed(vm.as_bytes(), leaf_hash)), vm)
}
