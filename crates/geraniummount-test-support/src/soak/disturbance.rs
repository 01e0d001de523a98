//! Spans in which a promise with a time bound does not hold.

use std::time::{Duration, Instant};

/// Whom a disturbance concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The process of one VM.
    Vm(usize),
    /// The process of one VM: it was told to stop.
    Stop(usize),
    /// One VM's link to the store.
    StoreLink(usize),
    /// The store.
    Store,
    /// One leaf, or its link.
    Leaf(usize),
    /// This whole machine.
    TestHost,
}

/// A span with a fault.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Whom it concerns.
    pub scope: Scope,
    /// Its beginning.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
}

/// All spans with a fault, in the order of their beginnings.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    spans: Vec<Disturbance>,
}

impl Disturbances {
    /// Adds a span.
    pub fn add(&mut self, scope: Scope, from: Instant, duration: Duration) {
        self.spans.push(Disturbance {
            scope,
            from,
            to: from + duration,
        });
    }

    /// Returns whether nothing befell a VM, its link to the store, the store or
    /// this machine in a span.
    pub fn is_vm_undisturbed(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| match scope {
            Scope::Vm(other) | Scope::Stop(other) | Scope::StoreLink(other) => other == vm,
            Scope::Store | Scope::TestHost => true,
            Scope::Leaf(_) => false,
        })
    }

    /// Returns whether a VM's process was let run in a span, but for being told
    /// to stop.
    pub fn is_process_undisturbed(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| {
            scope == Scope::Vm(vm) || scope == Scope::TestHost
        })
    }

    /// Returns whether nothing befell a leaf in a span.
    pub fn is_leaf_undisturbed(&self, leaf: usize, from: Instant, to: Instant) -> bool {
        self.has_none(from, to, |scope| scope == Scope::Leaf(leaf))
    }

    fn has_none(&self, from: Instant, to: Instant, concerns: impl Fn(Scope) -> bool) -> bool {
        let concerning = self.spans.iter().filter(|span| concerns(span.scope));
        let mut overlapping = concerning.filter(|span| span.from <= to && span.to >= from);
        overlapping.next().is_none()
    }
}
