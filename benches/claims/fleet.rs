//! Simulated VMs in failure domains, and the view that each VM has of the others.

use std::sync::Arc;
use std::time::Duration;

use geraniummount::core::relays::MAX_RELAYS_PER_DOMAIN;
use geraniummount::core::vm::State;
use geraniummount::prelude::*;

/// Number of VMs in a failure domain until [`MAX_DOMAINS`] domains are in use; more VMs are
/// distributed evenly.
const VMS_PER_DOMAIN: usize = 3;
const MAX_DOMAINS: usize = 10;
/// One-way delays of links.
const INTRA_DOMAIN_DELAY: Duration = Duration::from_micros(250);
const INTER_DOMAIN_DELAY: Duration = Duration::from_millis(5);

/// Returns the view of each VM.
pub fn views(count: usize) -> Vec<View> {
    let domains = count.div_ceil(VMS_PER_DOMAIN).min(MAX_DOMAINS);
    let vms: Vec<Vm> = (0..count).map(|index| vm(index, index % domains)).collect();
    let view = |me: &Vm| {
        let known = vms.iter().enumerate().filter(|(index, vm)| {
            let is_relay = index / domains < MAX_RELAYS_PER_DOMAIN;
            vm.failure_domain == me.failure_domain || is_relay
        });
        View {
            me: me.name.clone(),
            failure_domain: me.failure_domain.clone(),
            catalog: Arc::default(),
            vms: known.map(|(_, vm)| vm.clone()).collect::<Vec<_>>().into(),
            draining: Vec::new(),
            health_draining: Vec::new(),
            stopping: false,
        }
    };
    vms.iter().map(view).collect()
}

/// Returns the index of a VM, which its name encodes.
pub fn vm_index(vm: &Vm) -> usize {
    vm.name.parse().expect("VM names are numbers")
}

/// Returns the one-way delay between two VMs.
pub fn link_delay(one: &View, other: &View) -> Duration {
    if one.failure_domain == other.failure_domain {
        INTRA_DOMAIN_DELAY
    } else {
        INTER_DOMAIN_DELAY
    }
}

fn vm(index: usize, domain: usize) -> Vm {
    Vm {
        name: format!("{index:05}"),
        failure_domain: format!("domain-{domain}"),
        peer_address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        state: State::Live,
        revision: 1,
    }
}
