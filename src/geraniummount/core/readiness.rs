//! Decides when a starting VM is ready for callers.
//!
//! A VM that has just started knows neither the configuration nor the VMs of
//! the other failure domains. It would answer that a service is not declared,
//! or omit shards whose replicas work. It is therefore ready only when it has
//! the newest configuration revision (position in the log of all accepted
//! changes) that it knows of and knows a VM in every failure domain that has
//! leaves. A failure domain may be cut off, so after
//! [`STARTUP_GRACE`] the VM serves what it can, but never before it knows a
//! configuration or that the platform holds none. A VM that was ready once stays ready.

use std::time::{Duration, Instant};

use crate::core::vm::State;
use crate::prelude::*;

/// Time for which a starting VM waits for the data that it lacks.
pub const STARTUP_GRACE: Duration = Duration::from_secs(5);

/// Readiness of one VM.
#[derive(Clone, Debug)]
pub struct Readiness {
    /// When the VM started.
    started: Instant,
    /// Whether this VM has every change that the platform holds.
    is_confirmed: bool,
    /// Whether the VM was ready once.
    is_ready: bool,
}

impl Readiness {
    /// Creates the readiness of a VM that knows nothing yet.
    pub fn new(now: Instant) -> Readiness {
        Readiness {
            started: now,
            is_confirmed: false,
            is_ready: false,
        }
    }

    /// Records that the platform (the key-value store that the users run) holds no change that this
    /// VM lacks.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns whether the VM is ready, given its current configuration and
    /// known VMs.
    pub fn update(&mut self, catalog: &Catalog, vms: &[Vm], now: Instant) -> bool {
        if !self.is_ready {
            let has_configuration = self.is_confirmed || catalog.revision > 0;
            let is_grace_over = now.saturating_duration_since(self.started) >= STARTUP_GRACE;
            let is_complete = is_newest(catalog, vms) && knows_domains(catalog, vms);
            self.is_ready = has_configuration && (is_complete || is_grace_over);
        }
        self.is_ready
    }
}

fn is_newest(catalog: &Catalog, vms: &[Vm]) -> bool {
    vms.iter().all(|vm| vm.revision <= catalog.revision)
}

/// Returns whether a VM that is not dead is known in every failure domain that has leaves.
fn knows_domains(catalog: &Catalog, vms: &[Vm]) -> bool {
    let is_known = |domain: &DomainName| {
        let mut not_dead = vms.iter().filter(|vm| vm.state != State::Dead);
        not_dead.any(|vm| vm.failure_domain == *domain)
    };
    catalog.failure_domains().iter().all(is_known)
}
