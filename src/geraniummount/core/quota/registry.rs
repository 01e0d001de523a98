//! The VMs among which quotas are divided, and the order in which they begin to count for
//! their domain.

use std::time::Duration;

use crate::core::boot_time::BootTime;
use crate::core::fingerprint::{self, Fingerprint};
use crate::prelude::*;

/// Time for which quotas are still divided by a number that includes a VM that is no longer
/// registered. Other VMs learn of a change later, and the sum of all portions must not exceed the
/// whole meanwhile.
const RETENTION_TIME: Duration = Duration::from_secs(10);

/// The VMs that are registered, or were until recently.
#[derive(Debug)]
pub(super) struct Registry {
    own_name: VmName,
    own_domain: DomainName,
    /// Sorted by domain and rank.
    known: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    name: VmName,
    domain: DomainName,
    /// Hash by which the VMs of a domain are ordered.
    rank: Fingerprint,
    /// When the VM was found to be no longer registered.
    gone_at: Option<BootTime>,
}

impl Registry {
    pub(super) fn new(own_name: VmName, own_domain: DomainName) -> Registry {
        Registry {
            own_name,
            own_domain,
            known: Vec::new(),
        }
    }

    /// Replaces the registered VMs, given with their domains; returns whether there are new ones.
    pub(super) fn update(&mut self, vms: &[(VmName, DomainName)], now: BootTime) -> bool {
        let before = self.known.len();
        for entry in &mut self.known {
            let is_registered = vms.iter().any(|(name, _)| *name == entry.name);
            entry.gone_at = match is_registered {
                true => None,
                false => entry.gone_at.or(Some(now)),
            };
        }
        for (name, domain) in vms {
            match self.known.iter_mut().find(|entry| entry.name == *name) {
                Some(entry) => entry.domain.clone_from(domain),
                None => self.known.push(Entry::new(name, domain)),
            }
        }
        let has_grown = self.known.len() > before;
        self.known.retain(|entry| entry.is_included(now));
        self.known
            .sort_by(|a, b| (&a.domain, a.rank).cmp(&(&b.domain, b.rank)));
        has_grown
    }

    /// Returns the number of VMs among which the quotas are divided, which is at least 1.
    pub(super) fn count(&self, now: BootTime) -> usize {
        let counted = self.known.iter().filter(|entry| entry.is_included(now));
        counted.count().max(1)
    }

    /// Returns the name of this VM.
    pub(super) fn own_name(&self) -> &VmName {
        &self.own_name
    }

    /// Returns whether this VM is registered.
    pub(super) fn has_own(&self) -> bool {
        let mut own = self.known.iter();
        own.any(|entry| entry.name == self.own_name && entry.gone_at.is_none())
    }

    /// Returns the registered VMs of a domain, in the order in which they begin to count.
    pub(super) fn ranked<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a VmName> {
        let of_domain = self.known.iter().filter(move |vm| vm.domain == domain);
        let registered = of_domain.filter(|entry| entry.gone_at.is_none());
        registered.map(|entry| &entry.name)
    }

    /// Returns the other VMs of this VM's domain.
    pub(super) fn domain_peers(&self) -> impl Iterator<Item = &VmName> {
        let all = self.ranked(&self.own_domain);
        all.filter(|name| **name != self.own_name)
    }

    /// Returns the place of a VM in the order of this VM's domain; `None` if it is of another one.
    pub(super) fn rank(&self, name: &str) -> Option<usize> {
        self.ranked(&self.own_domain).position(|vm| vm == name)
    }

    /// Returns the place of this VM in the order of its domain.
    pub(super) fn own_rank(&self) -> usize {
        self.rank(&self.own_name).unwrap_or_default()
    }

    /// Returns the domain of a registered VM.
    pub(super) fn domain(&self, name: &str) -> Option<&DomainName> {
        let entry = self.known.iter().find(|entry| entry.name == name)?;
        Some(&entry.domain)
    }

    /// Returns the other failure domains.
    pub(super) fn other_domains(&self) -> Vec<DomainName> {
        let domains = self.known.chunk_by(|a, b| a.domain == b.domain);
        let domains = domains.map(|entries| &entries[0].domain);
        let others = domains.filter(|name| **name != self.own_domain);
        others.cloned().collect()
    }
}

impl Entry {
    fn new(name: &VmName, domain: &DomainName) -> Entry {
        Entry {
            name: name.clone(),
            domain: domain.clone(),
            rank: fingerprint::of([domain.as_bytes(), name.as_bytes()]),
            gone_at: None,
        }
    }

    /// Returns whether quotas are still divided by a number that includes the VM.
    fn is_included(&self, now: BootTime) -> bool {
        let age = |at: BootTime| now.saturating_duration_since(at);
        self.gone_at.is_none_or(|at| age(at) < RETENTION_TIME)
    }
}
