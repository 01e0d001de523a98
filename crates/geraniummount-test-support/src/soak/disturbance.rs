//! Spans in which a promise with a time bound does not hold.

use std::time::{Duration, Instant};

/// Whom a disturbance concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// One VM: its process or its link to the store.
    Vm(usize),
    /// One VM: it was told to stop.
    Stop(usize),
    /// The leaves, as all VMs see them.
    Leaves,
    /// The store, or this whole machine.
    All,
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
    pub fn add(&mut self, scope: Scope, from: Instant, lasts: Duration) {
        self.spans.push(Disturbance {
            scope,
            from,
            to: from + lasts,
        });
    }

    /// Returns whether nothing befell a VM, the store or this machine in a
    /// span.
    pub fn is_calm(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let stopped = self.none(from, to, |scope| scope == Scope::Stop(vm));
        stopped && self.is_calm_but_for_stops(vm, from, to)
    }

    /// Returns the same, but for being told to stop.
    pub fn is_calm_but_for_stops(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.none(from, to, |scope| {
            scope == Scope::Vm(vm) || scope == Scope::All
        })
    }

    /// Returns whether nothing befell any leaf in a span.
    pub fn are_leaves_calm(&self, from: Instant, to: Instant) -> bool {
        self.none(from, to, |scope| scope == Scope::Leaves)
    }

    fn none(&self, from: Instant, to: Instant, concerns: impl Fn(Scope) -> bool) -> bool {
        let concerning = self.spans.iter().filter(|span| concerns(span.scope));
        let mut overlapping = concerning.filter(|span| span.from <= to && span.to >= from);
        overlapping.next().is_none()
    }
}
