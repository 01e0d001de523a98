//! Records the time spans in which faults affect parts of a cluster. The check of a promise leaves
//! out what such a fault excuses.

use std::time::{Duration, Instant};

use super::fault::LostLinks;

/// What a disturbance affects. Numbers are indices of VMs and leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The process of one VM.
    Vm(usize),
    /// The process of one VM, which was requested to stop.
    Stop(usize),
    /// One VM's link to the store.
    StoreLink(usize),
    /// One VM's links to all leaves, which are lost in this way.
    AllLinks(usize, LostLinks),
    /// The store.
    Store,
    /// The store, which comes back from an older copy of itself.
    StoreCopy,
    /// One leaf or its link.
    Leaf(usize),
    /// The machine that runs the test.
    TestHost,
}

/// Time after the end of a loss of all links in which other VMs may still serve the VM's requests.
const REGAIN_TIME: Duration = Duration::from_secs(1);

/// A time span with a fault.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// What the fault affects.
    pub scope: Scope,
    /// When the fault begins.
    pub from: Instant,
    /// When the fault ends.
    pub to: Instant,
}

/// All disturbances of a run, in the order in which they began.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    spans: Vec<Disturbance>,
}

impl Disturbances {
    /// Adds a disturbance that begins at `from`.
    pub fn add(&mut self, scope: Scope, from: Instant, duration: Duration) {
        self.spans.push(Disturbance {
            scope,
            from,
            to: from + duration,
        });
    }

    /// Returns whether no fault affected a VM, its link to the store, the store or the test machine
    /// between two times.
    pub fn is_vm_undisturbed(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| match scope {
            Scope::Vm(other) | Scope::Stop(other) | Scope::StoreLink(other) => other == vm,
            Scope::AllLinks(other, _) => other == vm,
            Scope::Store | Scope::StoreCopy | Scope::TestHost => true,
            Scope::Leaf(_) => false,
        })
    }

    /// As [`Disturbances::is_vm_undisturbed`], but does not count that the store went back to an
    /// older copy of itself: what a gateway has learnt it still knows.
    pub fn is_vm_undisturbed_save_copies(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| match scope {
            Scope::Vm(other) | Scope::Stop(other) | Scope::StoreLink(other) => other == vm,
            Scope::AllLinks(other, _) => other == vm,
            Scope::Store | Scope::TestHost => true,
            Scope::StoreCopy | Scope::Leaf(_) => false,
        })
    }

    /// Returns whether the store went back to an older copy of itself between two times.
    pub fn has_copy(&self, from: Instant, to: Instant) -> bool {
        !self.has_none(from, to, |scope| scope == Scope::StoreCopy)
    }

    /// Returns whether no fault affected a VM's process or the test machine between two times. A
    /// request to stop is not such a fault.
    pub fn is_process_undisturbed(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| {
            scope == Scope::Vm(vm) || scope == Scope::TestHost
        })
    }

    /// Returns whether a VM did not lose its links to all leaves between two times, nor shortly
    /// before.
    pub fn has_links(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(REGAIN_TIME).unwrap_or(from);
        self.has_none(
            from,
            to,
            |scope| matches!(scope, Scope::AllLinks(other, _) if other == vm),
        )
    }

    /// Returns the loss of a VM's links to all leaves that lasts throughout a span, and how they
    /// are lost.
    pub fn lost_links(
        &self,
        vm: usize,
        from: Instant,
        to: Instant,
    ) -> Option<(Disturbance, LostLinks)> {
        let covering = |span: &&Disturbance| span.from <= from && span.to >= to;
        let mut lost = self.spans.iter().filter(covering);
        lost.find_map(|span| match span.scope {
            Scope::AllLinks(other, fault) if other == vm => Some((*span, fault)),
            _ => None,
        })
    }

    /// Returns whether no fault affected any part of the cluster between two times, save that VMs
    /// lost their links to all leaves.
    pub fn has_only_lost_links(&self, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| !matches!(scope, Scope::AllLinks(..)))
    }

    /// Returns whether no fault affected a leaf or its link between two times.
    pub fn is_leaf_undisturbed(&self, leaf: usize, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| scope == Scope::Leaf(leaf))
    }

    /// Returns whether no disturbance with a selected scope overlaps a span.
    fn has_none(&self, from: Instant, to: Instant, concerns: impl Fn(Scope) -> bool) -> bool {
        let concerning = self.spans.iter().filter(|span| concerns(span.scope));
        let mut overlapping = concerning.filter(|span| span.from <= to && span.to >= from);
        overlapping.next().is_none()
    }
}
