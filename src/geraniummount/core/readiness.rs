//! When a VM that starts may be sent callers.
//!
//! A VM that has just started knows neither the configuration nor the VMs of
//! the other failure domains. It would answer that a service is not declared,
//! or leave out shards whose replicas are well. So it is ready once it has the
//! newest revision that it has heard of and knows a VM wherever leaves are.
//! Where that takes too long it serves what it can, as a failure domain may be
//! cut off; but never before it has heard of any configuration. What was ready
//! once stays so.

use std::time::{Duration, Instant};

use crate::core::vm::State;
use crate::prelude::*;

/// Time for which a VM that starts looks for what it lacks.
pub const STARTUP_GRACE: Duration = Duration::from_secs(5);

/// How far the start of one VM has come.
#[derive(Clone, Debug)]
pub struct Readiness {
    started: Instant,
    is_confirmed: bool,
    is_ready: bool,
}

impl Readiness {
    /// Begins with a VM that knows nothing yet.
    pub fn new(now: Instant) -> Readiness {
        Readiness {
            started: now,
            is_confirmed: false,
            is_ready: false,
        }
    }

    /// Notes that the platform holds no change that this VM lacks.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns whether the VM is ready, given what it knows now.
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

fn knows_domains(catalog: &Catalog, vms: &[Vm]) -> bool {
    let is_known = |domain: &DomainName| {
        let mut not_dead = vms.iter().filter(|vm| vm.state != State::Dead);
        not_dead.any(|vm| vm.failure_domain == *domain)
    };
    catalog.failure_domains().iter().all(is_known)
}
